//! Invalid settings, which are collected and reported together.

use std::process::ExitCode;

use derive_more::Display;

/// Invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{flag}: invalid value `{value}`: {reason}")]
pub struct SettingFinding {
    /// Flag including its dashes.
    pub flag: &'static str,
    pub value: String,
    /// Allowed values, or the error that the value caused.
    pub reason: String,
}

/// Findings for all settings of a process.
#[derive(Debug, Default)]
pub struct SettingFindings(Vec<SettingFinding>);

impl SettingFindings {
    pub fn add(&mut self, flag: &'static str, value: impl ToString, reason: impl ToString) {
        let finding = SettingFinding { flag, value: value.to_string(), reason: reason.to_string() };
        self.0.push(finding);
    }

    /// Returns the value of `result`, or adds a finding with its error.
    pub fn ok_or_add<T, E: ToString>(
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

    pub fn into_vec(self) -> Vec<SettingFinding> {
        self.0
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Exit code of a process with invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Returns the validated settings, or the exit code if the process must exit. This is
/// the case if there are findings, which are printed, or if `check_only` is set.
pub fn settings_or_exit<T, F: std::fmt::Display>(
    validated: Result<T, Vec<F>>,
    check_only: bool,
) -> Result<T, ExitCode> {
    match validated {
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Err(ExitCode::from(EXIT_INVALID_SETTINGS))
        }
        Ok(_) if check_only => {
            println!("settings are valid");
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}
