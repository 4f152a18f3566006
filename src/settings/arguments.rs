//! Option parsers and value conversion shared by the command lines of several binaries.
//!
//! Options are parsed as strings and converted afterwards, so that all invalid settings
//! are reported at once.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Parser, long};
use derive_more::Display;

/// Invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("--{flag}: {reason}")]
pub struct Finding {
    /// Flag without its dashes.
    pub flag: &'static str,
    pub reason: String,
}

/// Option with a default value.
pub fn text(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
    default: &'static str,
) -> impl Parser<String> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<String>(meta)
        .fallback(default.to_owned())
        .display_fallback()
}

/// Repeatable option whose values are comma-separated lists.
pub fn list(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Vec<String>> {
    repeated(flag, env, meta, help)
        .map(|values| values.iter().flat_map(|value| split_list(value)).collect())
}

/// Repeatable option whose values may contain commas.
pub fn repeated(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Vec<String>> {
    long(flag).env(env).help(help).argument::<String>(meta).many()
}

fn split_list(value: &str) -> Vec<String> {
    value.split(',').map(str::trim).filter(|item| !item.is_empty()).map(str::to_owned).collect()
}

/// Converts values and collects a finding for each invalid one.
#[derive(Debug, Default)]
pub struct Validator {
    findings: Vec<Finding>,
}

impl Validator {
    pub fn fail(&mut self, flag: &'static str, reason: String) {
        self.findings.push(Finding { flag, reason });
    }

    /// Integer from `min` to `max`.
    pub fn number(&mut self, flag: &'static str, value: &str, min: u64, max: u64) -> u64 {
        match value.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                self.fail(flag, format!("`{value}` is not an integer from {min} to {max}"));
                min
            }
        }
    }

    /// Number from 0 to `max`.
    pub fn decimal(&mut self, flag: &'static str, value: &str, max: f64) -> f64 {
        match value.parse::<f64>() {
            Ok(number) if (0.0..=max).contains(&number) => number,
            _ => {
                self.fail(flag, format!("`{value}` is not a number from 0 to {max}"));
                0.0
            }
        }
    }

    /// IP address with a port.
    pub fn addr(&mut self, flag: &'static str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.fail(flag, format!("`{value}` is not of the form IP:PORT"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Reports a name that is empty or contains a separator of lists or pairs.
    pub fn name(&mut self, flag: &'static str, value: &str) {
        if value.is_empty() || value.contains(['=', ',', ' ']) {
            self.fail(flag, format!("`{value}` is empty or contains `=`, `,` or a space"));
        }
    }

    /// Contents of a file without trailing white space.
    pub fn file(&mut self, flag: &'static str, path: &PathBuf) -> Option<String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Some(text.trim_end().to_owned()),
            Err(error) => {
                self.fail(flag, format!("cannot read {}: {error}", path.display()));
                None
            }
        }
    }

    /// Secret from a file, if one is given, or from the command line or environment.
    pub fn secret(
        &mut self,
        flag: &'static str,
        value: Option<&String>,
        file: Option<&PathBuf>,
    ) -> Option<String> {
        match file {
            Some(path) => self.file(flag, path),
            None => value.cloned(),
        }
    }

    /// Returns the settings, or all findings if there are any.
    pub fn finish<T>(self, settings: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() { Ok(settings) } else { Err(self.findings) }
    }
}
