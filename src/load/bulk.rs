//! Idle mode (holds open connections) and throughput mode (closed-loop reads).

use std::{sync::Arc, time::Duration};

use eyre::Result;
use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_postgres::{Client, types::Type};

use super::{
    caller::Context,
    connection::{QueryError, connect, with_timeout},
    evaluation::percentiles,
    process::{Usage, usage},
    report::Latency,
    run::context,
};
use crate::settings::load::LoadSettings;

/// Connections opened concurrently.
const CONCURRENT_CONNECTS: usize = 50;

/// Delay of a caller after a failed statement or connection attempt.
const ERROR_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Result of the idle mode.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct IdleReport {
    pub opened: u64,
    pub failed: u64,
    /// Time taken to open all connections.
    pub opening_ms: u64,
    /// Connections still open at the end.
    pub open_at_end: u64,
    /// Resource usage of the monitored process before the connections are opened.
    pub usage_before: Option<Usage>,
    /// The same after the connections were held for the length of the run.
    pub usage_after: Option<Usage>,
}

/// Result of the throughput mode.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ThroughputReport {
    pub statements: u64,
    pub errors: u64,
    pub statements_per_s: f64,
    pub latency: Latency,
    /// CPU time of the monitored process per second of the run.
    pub cores: Option<f64>,
}

/// Opens connections, spread over entries, services and workspaces, and holds them open
/// for the length of the run.
pub async fn idle(settings: LoadSettings) -> Result<IdleReport> {
    let cx = context(settings);
    let usage_before = cx.settings.pid.and_then(usage);
    let start = Instant::now();
    let connecting = (0..cx.settings.connections as usize).map(|index| open_connection(&cx, index));
    let results: Vec<_> =
        stream::iter(connecting).buffer_unordered(CONCURRENT_CONNECTS).collect().await;
    let opening_ms = start.elapsed().as_millis() as u64;
    let (clients, failures): (Vec<_>, Vec<_>) = results.into_iter().partition(Result::is_ok);
    let clients: Vec<Client> = clients.into_iter().flatten().collect();
    sleep(cx.settings.duration.duration()).await;
    Ok(IdleReport {
        opened: clients.len() as u64,
        failed: failures.len() as u64,
        opening_ms,
        open_at_end: clients.iter().filter(|client| !client.is_closed()).count() as u64,
        usage_before,
        usage_after: cx.settings.pid.and_then(usage),
    })
}

/// Opens connection number `index`.
async fn open_connection(cx: &Context, index: usize) -> Result<Client, QueryError> {
    let settings = &cx.settings;
    let entry = settings.entries[index % settings.entries.len()];
    let service = &settings.services[index % settings.services.len()];
    let (workspace, key) = &cx.workspaces[index % cx.workspaces.len()];
    connect(entry, service, workspace, key).await
}

/// Reads with every caller of every workspace as fast as answers arrive.
pub async fn throughput(settings: LoadSettings) -> Result<ThroughputReport> {
    let cx = context(settings);
    let callers = cx.workspaces.len() * cx.settings.callers as usize;
    let before = cx.settings.pid.and_then(usage);
    let start = Instant::now();
    let end = start + cx.settings.duration.duration();
    let mut tasks = JoinSet::new();
    for index in 0..callers {
        tasks.spawn(read_until(cx.clone(), index, end));
    }
    let mut report = ThroughputReport::default();
    let mut latencies = Vec::new();
    for (caller_latencies, errors) in tasks.join_all().await {
        latencies.extend(caller_latencies);
        report.errors += errors;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let after = cx.settings.pid.and_then(usage);
    report.statements = latencies.len() as u64;
    report.statements_per_s = report.statements as f64 / elapsed;
    report.latency = percentiles(latencies.into_iter());
    report.cores = before.zip(after).map(|(before, after)| (after.cpu_s - before.cpu_s) / elapsed);
    Ok(report)
}

/// Reads a missing row until `end`; returns the latencies in microseconds and the error count.
async fn read_until(cx: Arc<Context>, index: usize, end: Instant) -> (Vec<u64>, u64) {
    let sql = format!("SELECT id, value FROM {} WHERE id = $1", cx.settings.bookings_table);
    let id = format!("{}-none", cx.run_id);
    let (mut latencies, mut errors) = (Vec::new(), 0);
    let mut client = None;
    while Instant::now() < end {
        let connected = match client.take().filter(|client: &Client| !client.is_closed()) {
            Some(client) => Ok(client),
            None => open_connection(&cx, index).await,
        };
        let Ok(connected) = connected else {
            errors += 1;
            sleep(ERROR_RETRY_DELAY).await;
            continue;
        };
        let start = Instant::now();
        let result = with_timeout(connected.query_typed(&sql, &[(&id, Type::TEXT)])).await;
        client = Some(connected);
        match result {
            Ok(_) => latencies.push(start.elapsed().as_micros() as u64),
            Err(_) => {
                errors += 1;
                sleep(ERROR_RETRY_DELAY).await;
            }
        }
    }
    (latencies, errors)
}
