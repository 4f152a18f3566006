//! Report of the check mode.

use std::{collections::BTreeMap, fmt::Write};

use serde::{Deserialize, Serialize};

/// Latency percentiles of successful operations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
}

/// Result for one workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// Scheduled operations, whether sent or not.
    pub offered: u64,
    pub succeeded: u64,
    /// Succeeded requests divided by the fair share: the offered requests, up to the rate.
    pub share: f64,
    /// Requests sent while the workspace was within its rate limit.
    pub inside_rate: u64,
    /// Requests refused by the rate limit although the workspace was within it.
    pub wrongly_refused: u64,
    /// Statements above rate and burst in the worst window of 1 s.
    pub over_rate: u64,
}

/// Result for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Successful writes.
    pub writes: u64,
    /// Longest time without a successful write.
    pub gap_ms: u64,
}

/// Result of a run in the check mode.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub duration_ms: u64,
    pub requests: u64,
    /// Scheduled operations that callers could not send before the end of the run.
    pub unsent: u64,
    pub succeeded: u64,
    pub refused: u64,
    pub failed: u64,
    pub unknown: u64,
    /// Share of reads served by replicas; `None` without metrics addresses or reads.
    pub replica_read_share: Option<f64>,
    /// Longest time without a successful write, over all services.
    pub failover_gap_ms: u64,
    pub worst_workspace_share: f64,
    pub wrongly_refused_share: f64,
    pub lost: u64,
    pub doubled: u64,
    pub stale_reads: u64,
    pub mixed: u64,
    pub refused_but_ran: u64,
    pub wrongly_refused: u64,
    pub over_rate: u64,
    /// Latencies of successful operations, measured from their scheduled start.
    pub reads: Latency,
    pub writes: Latency,
    pub workspaces: BTreeMap<String, WorkspaceReport>,
    pub services: BTreeMap<String, ServiceReport>,
    /// Number of errors by SQLSTATE or cause.
    pub errors: BTreeMap<String, u64>,
}

impl Report {
    /// Names and counts of the violations.
    ///
    /// Wrong refusals are included only if their share exceeds the allowed one.
    pub fn violations(&self, allowed_wrongly_refused_share: f64) -> Vec<(&'static str, u64)> {
        let excess = self.wrongly_refused_share > allowed_wrongly_refused_share;
        let wrongly_refused = if excess { self.wrongly_refused } else { 0 };
        let counts = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("stale_reads", self.stale_reads),
            ("mixed", self.mixed),
            ("refused_but_ran", self.refused_but_ran),
            ("wrongly_refused", wrongly_refused),
            ("over_rate", self.over_rate),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }

    /// Human-readable table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let replica = self.replica_read_share;
        let rows = [
            ("duration", format!("{} ms", self.duration_ms)),
            ("requests", self.requests.to_string()),
            ("unsent", self.unsent.to_string()),
            ("succeeded", self.succeeded.to_string()),
            ("refused", self.refused.to_string()),
            ("failed", self.failed.to_string()),
            ("unknown", self.unknown.to_string()),
            ("reads", latency(&self.reads)),
            ("writes", latency(&self.writes)),
            ("replica read share", replica.map_or("not measured".to_owned(), ratio)),
            ("failover gap", format!("{} ms", self.failover_gap_ms)),
            ("worst workspace share", ratio(self.worst_workspace_share)),
            ("wrongly refused share", ratio(self.wrongly_refused_share)),
            ("lost", self.lost.to_string()),
            ("doubled", self.doubled.to_string()),
            ("stale reads", self.stale_reads.to_string()),
            ("mixed", self.mixed.to_string()),
            ("refused but ran", self.refused_but_ran.to_string()),
            ("wrongly refused", self.wrongly_refused.to_string()),
            ("over rate", self.over_rate.to_string()),
        ];
        // Writing to a `String` cannot fail.
        for (name, value) in rows {
            let _ = writeln!(text, "{name:<24}{value}");
        }
        for (name, report) in &self.workspaces {
            let WorkspaceReport { offered, succeeded, share, .. } = report;
            let _ = writeln!(text, "workspace {name:<14}{succeeded}/{offered}, share {share:.3}");
        }
        for (name, ServiceReport { writes, gap_ms }) in &self.services {
            let _ = writeln!(text, "service {name:<16}{writes} writes, gap {gap_ms} ms");
        }
        for (code, count) in &self.errors {
            let _ = writeln!(text, "error {code:<18}{count}");
        }
        text
    }
}

fn ratio(value: f64) -> String {
    format!("{value:.4}")
}

fn latency(latency: &Latency) -> String {
    let Latency { count, p50_us, p99_us, max_us } = latency;
    format!("{count}, p50 {p50_us} us, p99 {p99_us} us, max {max_us} us")
}
