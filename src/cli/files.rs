//! `check` and `diff` commands.

use std::path::Path;

use crate::{
    cli::{CliError, Cx, Exit, client::Client, print_findings, read_file},
    configuration::{self, diff::diff},
    settings::operator::OperatorSettings,
    state::model::DesiredState,
};

/// Checks a file; prints its errors or a summary of its content.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn check(path: &Path, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    match configuration::read(&read_file(path)?) {
        Ok(configuration) => {
            let desired = &configuration.desired;
            writeln!(
                cx.out,
                "{}: version {}, {} services, {} routes, {} workspaces, {} hosts, {} drains",
                path.display(),
                configuration.version,
                desired.services.len(),
                desired.routes.len(),
                desired.workspaces.len(),
                desired.hosts.len(),
                desired.drains.len(),
            )?;
            Ok(Exit::Success)
        }
        Err(findings) => print_findings(path, &findings, cx),
    }
}

/// Prints the differences between two files.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn diff_files(before: &Path, after: &Path, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    match configuration::read(&read_file(before)?) {
        Ok(before) => print_diff(&before.desired, after, cx),
        Err(findings) => print_findings(before, &findings, cx),
    }
}

/// Prints the differences between the accepted file and another one.
///
/// # Errors
///
/// Fails if the file cannot be read or no control host responds before the deadline.
pub async fn diff_accepted(
    settings: &OperatorSettings,
    path: &Path,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    let accepted = Client::new(settings)?.file().await?;
    if accepted.version == 0 {
        return print_diff(&DesiredState::default(), path, cx);
    }
    match configuration::read(&accepted.file) {
        Ok(before) => print_diff(&before.desired, path, cx),
        Err(findings) => print_findings(Path::new("accepted file"), &findings, cx),
    }
}

fn print_diff(before: &DesiredState, path: &Path, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    let after = match configuration::read(&read_file(path)?) {
        Ok(after) => after,
        Err(findings) => return print_findings(path, &findings, cx),
    };
    let lines = diff(before, &after.desired);
    for line in &lines {
        writeln!(cx.out, "{line}")?;
    }
    if lines.is_empty() {
        writeln!(cx.out, "no differences")?;
    }
    Ok(Exit::Success)
}
