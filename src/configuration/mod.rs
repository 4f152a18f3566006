//! Configuration files of operators: parsing, validation, differences and edits.

pub mod check;
pub mod diff;
pub mod edit;
pub mod fields;
pub mod finding;
pub mod parse;

use crate::state::model::DesiredState;
use finding::{Finding, Findings};

/// Content of a valid file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version in force once the file is accepted.
    pub version: u64,
    pub desired: DesiredState,
}

/// Parses and validates a configuration file.
///
/// # Errors
///
/// Returns all findings in the order of their locations.
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

/// Parses and validates a file that is to replace version `expected`.
///
/// # Errors
///
/// Returns all findings; a version other than `expected + 1` is also one.
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
