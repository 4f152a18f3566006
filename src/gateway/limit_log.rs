//! Log lines and counters that tell what the rate limits allowed and what they decided.
//!
//! Each workspace gets a line for every second in which operations were refused, and one
//! line for every [`QUIET_INTERVALS`] seconds otherwise. A line holds the limit at this
//! host, where the limit came from and how old it was.

use std::rc::Rc;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    gateway::{cx::Cx, log_limit::LogDecision, ports::Targets, workspace_limit::LimitUse},
    ids::Workspace,
};

/// Interval between two summaries.
const INTERVAL: Millis = Millis(1_000);

/// Intervals without a refusal that are summed up in one line.
const QUIET_INTERVALS: u32 = 5;

/// Uses of the limits that are not logged yet.
#[derive(Debug, Default)]
pub struct LimitLog {
    pending: IndexMap<Workspace, Pending>,
}

#[derive(Debug)]
struct Pending {
    intervals: u32,
    used: LimitUse,
}

impl LimitLog {
    /// Adds the use of one interval; returns the workspaces whose line is due, with the
    /// number of intervals that it covers.
    pub fn record(&mut self, uses: Vec<(Workspace, LimitUse)>) -> Vec<(Workspace, u32, LimitUse)> {
        for pending in self.pending.values_mut() {
            pending.intervals += 1;
        }
        for (workspace, used) in uses {
            let new = || Pending { intervals: 1, used: LimitUse::default() };
            self.pending.entry(workspace).or_insert_with(new).used.add(&used);
        }
        let is_due = |it: &Pending| it.used.refused > 0 || it.intervals >= QUIET_INTERVALS;
        let due = self.pending.extract_if(.., |_, pending| is_due(pending));
        due.map(|(workspace, it)| (workspace, it.intervals, it.used)).collect()
    }
}

/// Counts and logs the use of the limits once per interval.
pub async fn run<T: Targets>(cx: Rc<Cx<T>>) {
    let mut log = LimitLog::default();
    loop {
        tokio::time::sleep(INTERVAL.duration()).await;
        let uses = cx.rate_limiter.borrow_mut().take_uses();
        cx.metrics.record_limits(&uses);
        for (workspace, intervals, used) in log.record(uses) {
            write_line(&cx, &workspace, intervals, &used);
        }
    }
}

fn write_line<T: Targets>(cx: &Cx<T>, workspace: &Workspace, intervals: u32, used: &LimitUse) {
    let now = cx.now();
    let LogDecision::Write { suppressed } = cx.limit_log.borrow_mut().check(now) else { return };
    let topology = cx.topology.borrow();
    let Some(limits) = topology.config.workspaces.get(workspace) else { return };
    let rate_limiter = cx.rate_limiter.borrow();
    let fraction = rate_limiter.fraction(now, workspace);
    let (revision, age) = rate_limiter.allocation_age(now);
    spdlog::info!("workspace limit used", kv: {
        workspace = workspace.as_str(),
        span_s = intervals,
        fraction = fraction.0,
        rate = f64::from(limits.rate) * fraction.as_f64(),
        burst = f64::from(limits.burst) * fraction.as_f64(),
        admitted = used.admitted,
        borrowed = used.borrowed,
        lent = used.lent,
        refused = used.refused,
        no_lender = used.no_lender,
        refunded = used.refunded,
        age_ms = age.0,
        term = revision.term,
        number = revision.number,
        config = topology.config.version,
        left_out = suppressed
    });
}
