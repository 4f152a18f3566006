//! Changes to the text of a file that keep its comments and layout.

use derive_more::Display;

use crate::{
    configuration::{self, finding::Finding},
    state::model::Drain,
};

/// Why a file was not changed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum EditError {
    #[display("{_0} is already drained")]
    AlreadyDrained(Drain),
    /// Changed file has faults.
    #[display("the changed file has faults: {}", join(_0))]
    Invalid(Vec<Finding>),
}

impl std::error::Error for EditError {}

/// Adds a drain to `text` and raises its version by one.
///
/// # Errors
///
/// Fails if the drain exists or the changed file would have faults, such as a drain
/// of an unknown host.
pub fn add_drain(text: &str, drain: &Drain) -> Result<String, EditError> {
    let present = configuration::read(text).map_err(EditError::Invalid)?;
    if present.desired.drains.contains(drain) {
        return Err(EditError::AlreadyDrained(drain.clone()));
    }
    let mut changed = set_version(text, present.version + 1);
    if !changed.ends_with('\n') {
        changed.push('\n');
    }
    let field = match drain {
        Drain::Host(host) => format!("host = \"{host}\""),
        Drain::Instance(instance) => format!("instance = \"{instance}\""),
    };
    changed.push_str(&format!("\n[[drain]]\n{field}\n"));
    configuration::read(&changed).map_err(EditError::Invalid)?;
    Ok(changed)
}

/// Byte offset of the version's value; 0 if the file has none.
pub fn version_offset(text: &str) -> usize {
    version_span(text).map_or(0, |span| span.start)
}

fn set_version(text: &str, version: u64) -> String {
    let mut changed = text.to_owned();
    if let Some(span) = version_span(text) {
        changed.replace_range(span.start..span.end, &version.to_string());
    }
    changed
}

fn version_span(text: &str) -> Option<toml_span::Span> {
    let value = toml_span::parse(text).ok()?;
    value.pointer("/version").map(|version| version.span)
}

fn join(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
