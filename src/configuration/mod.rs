//! Operators' files: parsing, checks and differences.

pub mod check;
pub mod diff;
pub mod edit;
pub mod fields;
pub mod finding;
pub mod parse;

use crate::state::model::DesiredState;
use finding::{Finding, Findings};

/// File without faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version that the file becomes when it is accepted.
    pub version: u64,
    pub desired: DesiredState,
}

/// Reads an operator's file.
///
/// # Errors
///
/// Returns all faults in the order of their places.
pub fn read(text: &str) -> Result<Configuration, Vec<Finding>> {
    let mut findings = Findings::new(text);
    let file = parse::parse(text, &mut findings);
    let desired = check::check(&file, &mut findings);
    let findings = findings.into_sorted();
    match file.version {
        Some(version) if findings.is_empty() => Ok(Configuration { version, desired }),
        _ => Err(findings),
    }
}

/// Reads a file that is to replace version `expected`.
///
/// # Errors
///
/// Returns all faults; a version other than the one after `expected` is one.
pub fn read_successor(text: &str, expected: u64) -> Result<Configuration, Vec<Finding>> {
    let configuration = read(text)?;
    let next = expected.saturating_add(1);
    if configuration.version == next {
        return Ok(configuration);
    }
    let mut findings = Findings::new(text);
    let found = configuration.version;
    findings.add(
        edit::version_offset(text),
        format!("`version` must be {next}, one above the replaced version, found {found}"),
    );
    Err(findings.into_sorted())
}
