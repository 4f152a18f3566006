//! Latency mode: compares reads through the proxy with direct reads from a target.

use std::time::Duration;

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_postgres::{Client, types::Type};

use super::{
    connection::{QueryError, connect, quote, with_timeout},
    evaluation::percentiles,
    report::Latency,
    run::context,
    schedule::Schedule,
};
use crate::settings::load::LoadSettings;

/// Limit for the test row to be replicated to the target.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks for the test row.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Latencies of the same read through the proxy and directly.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    pub proxy: Latency,
    pub direct: Latency,
    /// Median latency through the proxy minus the direct median, in microseconds.
    pub added_p50_us: i64,
    /// The same for the 99th percentiles.
    pub added_p99_us: i64,
    /// Reads that failed or returned an unexpected row, on either path.
    pub errors: u64,
}

impl Comparison {
    /// Human-readable table.
    pub fn table(&self) -> String {
        let line = |name: &str, latency: &Latency| {
            let Latency { count, p50_us, p99_us, max_us } = latency;
            format!("{name:<8}{count} reads, p50 {p50_us} us, p99 {p99_us} us, max {max_us} us\n")
        };
        let added = format!("added   p50 {} us, p99 {} us\n", self.added_p50_us, self.added_p99_us);
        let errors = format!("errors  {}\n", self.errors);
        [line("proxy", &self.proxy), line("direct", &self.direct), added, errors].concat()
    }
}

/// Runs each scheduled read through the first entry and directly on the first target.
pub async fn compare(settings: LoadSettings) -> Result<Comparison> {
    let cx = context(settings);
    let settings = &cx.settings;
    let (workspace, key) =
        cx.workspaces.first().ok_or_else(|| eyre!("no workspace is configured"))?;
    let service = &settings.services[0];
    let proxy = connect(settings.entries[0], service, workspace, key)
        .await
        .map_err(report_error("proxy"))?;
    let direct = connect(settings.targets[0], service, "pomelopin", &settings.target_password)
        .await
        .map_err(report_error("target"))?;
    let set = format!("SET pomelopin.workspace = {}", quote(workspace));
    with_timeout(direct.batch_execute(&set)).await.map_err(report_error("target"))?;
    let id = format!("{}-latency", cx.run_id);
    let sql = format!("SELECT id, value FROM {} WHERE id = $1", settings.bookings_table);
    write(&proxy, &settings.bookings_table, &id).await?;
    wait_for_row(&direct, &sql, &id).await?;

    let mut comparison = Comparison::default();
    let (mut proxy_latencies, mut direct_latencies) = (Vec::new(), Vec::new());
    let start = Instant::now();
    for at in Schedule::new(settings.rate, settings.duration.0 * 1_000, settings.seed) {
        sleep_until(start + Duration::from_micros(at)).await;
        // The order varies so that neither path is always the first read after the idle time.
        let proxy_first = at % 2 == 0;
        for via_proxy in [proxy_first, !proxy_first] {
            let client = if via_proxy { &proxy } else { &direct };
            match timed_read(client, &sql, &id).await {
                Some(latency) if via_proxy => proxy_latencies.push(latency),
                Some(latency) => direct_latencies.push(latency),
                None => comparison.errors += 1,
            }
        }
    }
    comparison.proxy = percentiles(proxy_latencies.into_iter());
    comparison.direct = percentiles(direct_latencies.into_iter());
    let difference = |proxy: u64, direct: u64| proxy as i64 - direct as i64;
    comparison.added_p50_us = difference(comparison.proxy.p50_us, comparison.direct.p50_us);
    comparison.added_p99_us = difference(comparison.proxy.p99_us, comparison.direct.p99_us);
    Ok(comparison)
}

/// Adds the endpoint's name to an error.
fn report_error(endpoint: &'static str) -> impl Fn(QueryError) -> eyre::Report {
    move |error| eyre!("{endpoint}: {}", error.code)
}

/// Inserts the test row through the proxy.
async fn write(proxy: &Client, table: &str, id: &str) -> Result<()> {
    let set = format!("SET pomelopin.request_key = {}", quote(id));
    with_timeout(proxy.batch_execute(&set)).await.map_err(report_error("proxy"))?;
    let sql = format!("INSERT INTO {table} (id, value) VALUES ($1, $2)");
    let parameters: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 2] =
        [(&id, Type::TEXT), (&"latency", Type::TEXT)];
    with_timeout(proxy.execute_typed(&sql, &parameters)).await.map_err(report_error("proxy"))?;
    Ok(())
}

async fn wait_for_row(direct: &Client, sql: &str, id: &str) -> Result<()> {
    let deadline = Instant::now() + REPLICATION_TIMEOUT;
    while Instant::now() < deadline {
        let rows = with_timeout(direct.query_typed(sql, &[(&id, Type::TEXT)])).await;
        if !rows.map_err(report_error("target"))?.is_empty() {
            return Ok(());
        }
        sleep(REPLICATION_POLL_INTERVAL).await;
    }
    Err(eyre!("the test row was not replicated to the target within {REPLICATION_TIMEOUT:?}"))
}

/// Latency in microseconds; `None` if the read failed or did not return the expected row.
async fn timed_read(client: &Client, sql: &str, id: &str) -> Option<u64> {
    let start = Instant::now();
    let rows = with_timeout(client.query_typed(sql, &[(&id, Type::TEXT)])).await.ok()?;
    let latency = start.elapsed().as_micros() as u64;
    let [row] = rows.as_slice() else { return None };
    (row.try_get::<_, &str>(0).ok()? == id).then_some(latency)
}
