//! Final audit: reads back what callers were told.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tokio_postgres::Client;

use super::{
    caller::{Caller, Context},
    connection::{Trouble, connect, within},
    samples::Violations,
};

/// Time for reading back one service of one workspace.
const AUDIT_BUDGET: Duration = Duration::from_secs(60);

/// Pause after a refusal, long enough for a bucket to refill.
const AUDIT_PAUSE: Duration = Duration::from_millis(500);

/// Final rows of one workspace in one service.
#[derive(Debug, Default)]
struct Rows {
    bookings: BTreeMap<String, Option<String>>,
    credits: BTreeMap<String, i64>,
}

/// Compares the callers' expectations with the primaries' rows.
pub async fn audit(cx: &Context, callers: &[Caller]) -> Result<Violations, Trouble> {
    let mut violations = Violations::default();
    for workspace in 0..cx.workspaces.len() {
        for service in 0..cx.settings.services.len() {
            let rows = read_back(cx, workspace, service).await?;
            let callers = callers.iter().filter(|caller| caller.workspace == workspace);
            for caller in callers {
                let expectation = &caller.expectations[service];
                let amount = rows.credits.get(caller.counter()).copied();
                violations += expectation.audit_bookings(&rows.bookings);
                violations += expectation.audit_credit(amount);
            }
        }
    }
    Ok(violations)
}

async fn read_back(cx: &Context, workspace: usize, service: usize) -> Result<Rows, Trouble> {
    let end = Instant::now() + AUDIT_BUDGET;
    let mut entry = 0;
    loop {
        match try_read_back(cx, workspace, service, entry).await {
            Ok(rows) => return Ok(rows),
            Err(trouble) if Instant::now() > end => return Err(trouble),
            Err(trouble) => {
                spdlog::debug!("audit: {trouble:?}");
                entry = (entry + 1) % cx.settings.entries.len();
                tokio::time::sleep(AUDIT_PAUSE).await;
            }
        }
    }
}

/// Reads in a transaction, which the proxy runs on the primary.
async fn try_read_back(
    cx: &Context,
    workspace: usize,
    service: usize,
    entry: usize,
) -> Result<Rows, Trouble> {
    let settings = &cx.settings;
    let (name, key) = &cx.workspaces[workspace];
    let client = connect(settings.entries[entry], &settings.services[service], name, key).await?;
    within(client.batch_execute("BEGIN")).await?;
    let bookings = pairs(&client, &settings.bookings_table, "value").await?;
    let credits = pairs(&client, &settings.credits_table, "amount").await?;
    within(client.batch_execute("COMMIT")).await?;
    Ok(Rows { bookings, credits })
}

async fn pairs<T: for<'a> tokio_postgres::types::FromSql<'a>>(
    client: &Client,
    table: &str,
    column: &str,
) -> Result<BTreeMap<String, T>, Trouble> {
    let sql = format!("SELECT id, {column} FROM {table}");
    let rows = within(client.query_typed(&sql, &[])).await?;
    let pairs = rows.iter().map(|row| Ok((row.try_get(0)?, row.try_get(1)?)));
    pairs.collect::<Result<_, tokio_postgres::Error>>().map_err(|error| Trouble::of(&error))
}
