//! `apply` command.

use std::{path::Path, time::Duration};

use rand::{TryRngCore, rngs::OsRng};

use crate::{
    cli::{
        CliError, Cx, Exit,
        client::{Client, ClientError, RETRY_DELAY},
        print_findings, read_file,
    },
    configuration,
    ids::{ApplyId, HostId},
    keys::key::KeyError,
    settings::operator::OperatorSettings,
    state::model::ApplyAnswer,
    wire::operator::ApplyRequest,
};

/// Longest time that one request waits for hosts. Longer waits are split into several
/// requests, so that a lost response uses up little of the time before the deadline.
pub const MAX_REQUEST_WAIT: Duration = Duration::from_millis(2_000);

/// Random bytes in a request id.
const APPLY_ID_BYTES: usize = 12;

/// Applies a file, which replaces the version before its own.
///
/// # Errors
///
/// Fails if the file cannot be read or no control host responds before the deadline.
pub async fn apply_file(
    settings: &OperatorSettings,
    wait: bool,
    request: Option<ApplyId>,
    path: &Path,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    let file = read_file(path)?;
    let version = match configuration::read(&file) {
        Ok(configuration) => configuration.version,
        Err(findings) => return print_findings(path, &findings, cx),
    };
    let id = request.map_or_else(new_apply_id, Ok)?;
    let mut client = Client::new(settings)?;
    let request = ApplyRequest {
        id,
        operator: settings.operator.clone(),
        expected_version: version - 1,
        file,
        wait_ms: 0,
    };
    match submit(&mut client, request, wait, cx).await {
        Err(CliError::Client(ClientError::Invalid(findings))) => {
            print_findings(path, &findings, cx)
        }
        result => result,
    }
}

/// Sends an apply request until it is answered. With `wait`, repeats it until every live
/// host has acknowledged the file.
///
/// # Errors
///
/// Fails if no control host responds before the deadline.
pub async fn submit(
    client: &mut Client,
    mut request: ApplyRequest,
    wait: bool,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    writeln!(cx.out, "request {}", request.id)?;
    if wait {
        request.wait_ms = wait_ms(client);
    }
    let response = client.apply(&request).await?;
    writeln!(cx.out, "{}", response.answer)?;
    match response.answer {
        ApplyAnswer::Conflict { current, .. } => print_conflict(current, cx),
        ApplyAnswer::Accepted { .. } if wait => {
            wait_for_hosts(client, request, response.pending_hosts, cx).await
        }
        ApplyAnswer::Accepted { .. } => Ok(Exit::Success),
    }
}

/// Repeats an accepted request until every live host has acknowledged the file. A
/// repeated request has the same id, so it is not applied again.
async fn wait_for_hosts(
    client: &mut Client,
    mut request: ApplyRequest,
    mut pending: Vec<HostId>,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    while !pending.is_empty() {
        writeln!(cx.out, "not yet in force at {}", join_names(&pending))?;
        tokio::time::sleep(RETRY_DELAY).await;
        request.wait_ms = wait_ms(client);
        match client.apply(&request).await {
            Ok(response) => pending = response.pending_hosts,
            Err(ClientError::Deadline { .. }) => return Ok(Exit::Pending),
            Err(error) => return Err(error.into()),
        }
    }
    writeln!(cx.out, "in force at every live host")?;
    Ok(Exit::Success)
}

fn wait_ms(client: &Client) -> u64 {
    let wait = client.remaining().min(MAX_REQUEST_WAIT);
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

/// Generates a random request id.
///
/// # Errors
///
/// Fails if the operating system provides no random bytes.
pub fn new_apply_id() -> Result<ApplyId, KeyError> {
    let mut bytes = [0; APPLY_ID_BYTES];
    OsRng.try_fill_bytes(&mut bytes).map_err(|_| KeyError::NoRandomBytes)?;
    Ok(format!("apply-{}", hex::encode(bytes)).into())
}

fn print_conflict(current: u64, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    let next = current + 1;
    writeln!(
        cx.out,
        "nothing was changed. Compare the file with the accepted one (pomelopin diff FILE), \
         take over what is missing, set `version = {next}` and apply it again."
    )?;
    Ok(Exit::Conflict)
}

fn join_names(hosts: &[HostId]) -> String {
    hosts.iter().map(HostId::as_str).collect::<Vec<_>>().join(", ")
}
