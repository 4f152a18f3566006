//! Parts that the command lines of several binaries share.
//!
//! Values stay text until all of them are converted, so that all faulty settings
//! are reported at once.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Parser, long};
use derive_more::Display;

/// Setting that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("--{flag}: {reason}")]
pub struct Finding {
    pub flag: &'static str,
    pub reason: String,
}

/// Option with a default.
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

/// Option that may be repeated; one value may hold several parts between commas.
pub fn list(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Vec<String>> {
    lines(flag, env, meta, help)
        .map(|values| values.iter().flat_map(|value| split_list(value)).collect())
}

/// Option that may be repeated; values may hold commas.
pub fn lines(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Vec<String>> {
    long(flag).env(env).help(help).argument::<String>(meta).many()
}

fn split_list(value: &str) -> Vec<String> {
    value.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// Collects findings while values are converted.
#[derive(Debug, Default)]
pub struct Validator {
    findings: Vec<Finding>,
}

impl Validator {
    /// Adds a finding.
    pub fn fail(&mut self, flag: &'static str, reason: String) {
        self.findings.push(Finding { flag, reason });
    }

    /// Whole number between `min` and `max`.
    pub fn number(&mut self, flag: &'static str, value: &str, min: u64, max: u64) -> u64 {
        match value.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                self.fail(flag, format!("`{value}` is not a whole number from {min} to {max}"));
                min
            }
        }
    }

    /// Number between 0 and `max`.
    pub fn decimal(&mut self, flag: &'static str, value: &str, max: f64) -> f64 {
        match value.parse::<f64>() {
            Ok(number) if (0.0..=max).contains(&number) => number,
            _ => {
                self.fail(flag, format!("`{value}` is not a number from 0 to {max}"));
                0.0
            }
        }
    }

    /// Address with a port.
    pub fn addr(&mut self, flag: &'static str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.fail(flag, format!("`{value}` is not of the form IP:PORT"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Reports a text that cannot be a name.
    pub fn name(&mut self, flag: &'static str, value: &str) {
        if value.is_empty() || value.contains(['=', ',', ' ']) {
            self.fail(flag, format!("`{value}` is not a name"));
        }
    }

    /// Contents of a file without white space at the end.
    pub fn file(&mut self, flag: &'static str, path: &PathBuf) -> Option<String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Some(text.trim_end().to_owned()),
            Err(error) => {
                self.fail(flag, format!("cannot read {}: {error}", path.display()));
                None
            }
        }
    }

    /// Secret from a file, or else from the command line or environment.
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

    /// Settings, unless there are findings.
    pub fn finish<T>(self, settings: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() { Ok(settings) } else { Err(self.findings) }
    }
}
