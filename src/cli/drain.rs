//! `drain` command.

use crate::{
    cli::{
        CliError, Cx, DrainOptions, Exit,
        apply::{new_apply_id, submit},
        client::Client,
    },
    configuration::edit::add_drain,
    state::model::Drain,
    wire::operator::ApplyRequest,
};

/// Adds a drain to the accepted file and applies the result.
///
/// The request expects the version that was fetched, so it cannot overwrite a change that
/// another operator makes in between.
///
/// # Errors
///
/// Fails if no file has been accepted, the file already has the drain, the host is unknown
/// or no control host responds before the deadline.
pub async fn drain(
    options: &DrainOptions,
    drain: &Drain,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    let DrainOptions { settings, wait } = options;
    let mut client = Client::new(settings)?;
    let accepted = client.file().await?;
    if accepted.version == 0 {
        return Err(CliError::NoFile);
    }
    let request = ApplyRequest {
        id: new_apply_id()?,
        operator: settings.operator.clone(),
        expected_version: accepted.version,
        file: add_drain(&accepted.file, drain)?,
        wait_ms: 0,
    };
    writeln!(cx.out, "drain of {drain}")?;
    submit(&mut client, request, *wait, cx).await
}
