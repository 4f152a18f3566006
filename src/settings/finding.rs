//! Settings that cannot be used, reported together.

use std::process::ExitCode;

use derive_more::Display;

/// Setting that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{flag}: `{value}` is not allowed; {allowed}")]
pub struct SettingFinding {
    /// Flag with its dashes.
    pub flag: &'static str,
    pub value: String,
    /// Allowed values or range.
    pub allowed: String,
}

/// Findings of all settings of a process.
#[derive(Debug, Default)]
pub struct SettingFindings(Vec<SettingFinding>);

impl SettingFindings {
    /// Adds a finding for `flag`.
    pub fn add(&mut self, flag: &'static str, value: impl ToString, allowed: impl ToString) {
        let finding =
            SettingFinding { flag, value: value.to_string(), allowed: allowed.to_string() };
        self.0.push(finding);
    }

    /// Value of `result`, or a finding with its error.
    pub fn take<T, E: ToString>(
        &mut self,
        flag: &'static str,
        value: impl ToString,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(flag, value, error.to_string());
                None
            }
        }
    }

    /// All findings.
    pub fn into_vec(self) -> Vec<SettingFinding> {
        self.0
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Exit code of a process whose settings cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Settings to run with, or the exit code of a process that stops here: it has
/// printed all findings, or was only asked to check.
pub fn settings_or_exit<T, F: std::fmt::Display>(
    checked: Result<T, Vec<F>>,
    check_only: bool,
) -> Result<T, ExitCode> {
    match checked {
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Err(ExitCode::from(EXIT_SETTINGS))
        }
        Ok(_) if check_only => {
            println!("settings are valid");
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}
