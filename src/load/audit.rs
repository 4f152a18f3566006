//! Final audit: compares the stored rows with the outcomes reported to the callers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tokio_postgres::Client;

use super::{
    caller::{Caller, Context},
    connection::{QueryError, connect, with_timeout},
    samples::Violations,
};

/// Limit for reading back one service of one workspace.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a refusal, long enough for a token bucket to refill.
const AUDIT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Final rows of one workspace in one service.
#[derive(Debug, Default)]
struct FinalRows {
    bookings: BTreeMap<String, Option<String>>,
    counters: BTreeMap<String, i64>,
}

/// Compares the callers' expectations with the rows on the primaries.
pub async fn audit(cx: &Context, callers: &[Caller]) -> Result<Violations, QueryError> {
    let mut violations = Violations::default();
    for workspace in 0..cx.workspaces.len() {
        for service in 0..cx.settings.services.len() {
            let rows = read_back(cx, workspace, service).await?;
            let callers = callers.iter().filter(|caller| caller.workspace == workspace);
            for caller in callers {
                let expectation = &caller.expectations[service];
                let amount = rows.counters.get(caller.counter_id()).copied();
                violations += expectation.audit_bookings(&rows.bookings);
                violations += expectation.audit_counter(amount);
            }
        }
    }
    Ok(violations)
}

/// Reads the final rows, with retries at the other entry hosts until the time-out.
async fn read_back(
    cx: &Context,
    workspace: usize,
    service: usize,
) -> Result<FinalRows, QueryError> {
    let deadline = Instant::now() + AUDIT_TIMEOUT;
    let mut entry = 0;
    loop {
        match try_read_back(cx, workspace, service, entry).await {
            Ok(rows) => return Ok(rows),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(error) => {
                spdlog::debug!("audit read failed, retrying at the next entry host: {error:?}");
                entry = (entry + 1) % cx.settings.entries.len();
                tokio::time::sleep(AUDIT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads within a transaction, because the proxy runs transactions on the primary.
async fn try_read_back(
    cx: &Context,
    workspace: usize,
    service: usize,
    entry: usize,
) -> Result<FinalRows, QueryError> {
    let settings = &cx.settings;
    let (name, key) = &cx.workspaces[workspace];
    let client = connect(settings.entries[entry], &settings.services[service], name, key).await?;
    with_timeout(client.batch_execute("BEGIN")).await?;
    let bookings = read_column(&client, &settings.bookings_table, "value").await?;
    let counters = read_column(&client, &settings.credits_table, "amount").await?;
    with_timeout(client.batch_execute("COMMIT")).await?;
    Ok(FinalRows { bookings, counters })
}

/// Values of one column by row id.
async fn read_column<T: for<'a> tokio_postgres::types::FromSql<'a>>(
    client: &Client,
    table: &str,
    column: &str,
) -> Result<BTreeMap<String, T>, QueryError> {
    let sql = format!("SELECT id, {column} FROM {table}");
    let rows = with_timeout(client.query_typed(&sql, &[])).await?;
    let pairs = rows.iter().map(|row| Ok((row.try_get(0)?, row.try_get(1)?)));
    pairs
        .collect::<Result<_, tokio_postgres::Error>>()
        .map_err(|error| QueryError::from_postgres(&error))
}
