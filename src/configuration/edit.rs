//! Edits of a configuration file that keep its comments and layout.

use derive_more::Display;

use crate::{
    configuration::{self, finding::Finding},
    state::model::Drain,
};

/// Why a file was not edited.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum EditError {
    #[display("{_0} is already drained")]
    AlreadyDrained(Drain),
    /// Edited file is not valid.
    #[display("the edited file is invalid: {}", join(_0))]
    Invalid(Vec<Finding>),
}

impl std::error::Error for EditError {}

/// Appends a drain to `text` and raises the version by one.
///
/// # Errors
///
/// Fails if the drain exists, or if the edited file is invalid, for example because the
/// drained host is unknown.
pub fn add_drain(text: &str, drain: &Drain) -> Result<String, EditError> {
    let current = configuration::read(text).map_err(EditError::Invalid)?;
    if current.desired.drains.contains(drain) {
        return Err(EditError::AlreadyDrained(drain.clone()));
    }
    let mut edited = set_version(text, current.version + 1);
    if !edited.ends_with('\n') {
        edited.push('\n');
    }
    let field = match drain {
        Drain::Host(host) => format!("host = \"{host}\""),
        Drain::Instance(instance) => format!("instance = \"{instance}\""),
    };
    edited.push_str(&format!("\n[[drain]]\n{field}\n"));
    configuration::read(&edited).map_err(EditError::Invalid)?;
    Ok(edited)
}

/// Byte offset of the value of `version`; 0 if the file has none.
pub fn version_offset(text: &str) -> usize {
    version_span(text).map_or(0, |span| span.start)
}

fn set_version(text: &str, version: u64) -> String {
    let mut edited = text.to_owned();
    if let Some(span) = version_span(text) {
        edited.replace_range(span.start..span.end, &version.to_string());
    }
    edited
}

fn version_span(text: &str) -> Option<toml_span::Span> {
    let value = toml_span::parse(text).ok()?;
    value.pointer("/version").map(|version| version.span)
}

fn join(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
