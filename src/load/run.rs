//! Check mode: runs the load, injects faults and checks the results.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{Result, eyre};
use futures::future::join_all;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    audit::audit,
    caller::{Caller, Context},
    evaluation::{RunMetadata, evaluate},
    faults,
    report::Report,
    samples::Record,
    scrape::scrape,
};
use crate::settings::load::LoadSettings;

/// Delay between preparation and load that lets the token buckets refill.
const BUCKET_REFILL_DELAY: Duration = Duration::from_millis(1_500);

/// Context of a run; the run id defaults to the current time.
pub fn context(settings: LoadSettings) -> Arc<Context> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let run_id =
        settings.run_id.clone().unwrap_or_else(|| format!("{:x}", since_epoch.as_millis()));
    let workspaces = settings.keys.iter().map(|(name, key)| (name.clone(), key.clone())).collect();
    Arc::new(Context { settings, run_id, workspaces })
}

/// Runs callers and faults, audits the stored rows and reports.
pub async fn check(settings: LoadSettings) -> Result<Report> {
    let cx = context(settings);
    let mut callers = prepare(&cx).await;
    sleep(BUCKET_REFILL_DELAY).await;
    let before = scrape(&cx.settings.metrics).await;
    let start = Instant::now();
    let mut faults: JoinSet<()> = JoinSet::new();
    for fault in cx.settings.faults.clone() {
        faults.spawn(faults::inject(fault, start));
    }
    let running = callers.into_iter().map(|mut caller| {
        tokio::spawn(async move {
            caller.run(start).await;
            caller
        })
    });
    callers = join_all(running).await.into_iter().collect::<Result<_, _>>()?;
    // Partitions of limited duration must be healed before the audit.
    faults.join_all().await;
    let after = scrape(&cx.settings.metrics).await;
    let audited = audit(&cx, &callers).await;
    let mut record = Record::default();
    for caller in callers {
        record.merge(caller.into_record());
    }
    record.violations += audited.map_err(|error| eyre!("audit failed: {error:?}"))?;
    let mut report = evaluate(&run_metadata(&cx), &record);
    report.replica_read_share = after.replica_share_since(before);
    Ok(report)
}

/// Creates all callers and their counters.
async fn prepare(cx: &Arc<Context>) -> Vec<Caller> {
    let mut callers = Vec::new();
    for workspace in 0..cx.workspaces.len() {
        callers.extend(
            (0..cx.settings.callers).map(|index| Caller::new(cx.clone(), workspace, index)),
        );
    }
    join_all(callers.iter_mut().map(Caller::prepare)).await;
    callers
}

fn run_metadata(cx: &Context) -> RunMetadata {
    let limits = &cx.settings.limits;
    let workspaces =
        cx.workspaces.iter().map(|(name, _)| (name.to_string(), limits.get(name).copied()));
    RunMetadata {
        workspaces: workspaces.collect(),
        services: cx.settings.services.iter().map(ToString::to_string).collect(),
        duration_us: cx.settings.duration.0 * 1_000,
    }
}
