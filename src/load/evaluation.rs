//! Computes the report of a run from its record.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::{
    limits::{Limit, Span, inside_rate, over_rate},
    report::{Latency, Report, ServiceReport, WorkspaceReport},
    samples::{Kind, Outcome, Record, Sample},
};

/// Largest latency the histograms can record; larger values are capped.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Precision of the histograms in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Names and limits of the workspaces and services that the record refers to by index.
#[derive(Debug, Default)]
pub struct RunMetadata {
    pub workspaces: Vec<(String, Option<Limit>)>,
    pub services: Vec<String>,
    /// Duration of the load in microseconds.
    pub duration_us: u64,
}

/// Report of a run; `replica_read_share` is left empty.
pub fn evaluate(metadata: &RunMetadata, record: &Record) -> Report {
    let samples = &record.samples;
    let count = |outcome| samples.iter().filter(|sample| sample.outcome == outcome).count() as u64;
    let workspaces = workspace_reports(metadata, record);
    let services = service_reports(metadata, samples);
    let wrongly_refused: u64 = workspaces.values().map(|report| report.wrongly_refused).sum();
    let inside_rate: u64 = workspaces.values().map(|report| report.inside_rate).sum();
    Report {
        duration_ms: metadata.duration_us / 1_000,
        requests: samples.len() as u64,
        unsent: record.unsent.values().sum(),
        succeeded: count(Outcome::Done),
        refused: count(Outcome::Refused) + count(Outcome::RateLimited),
        failed: count(Outcome::Failed),
        unknown: count(Outcome::Unknown),
        replica_read_share: None,
        failover_gap_ms: services.values().map(|report| report.gap_ms).max().unwrap_or(0),
        worst_workspace_share: workspaces
            .values()
            .map(|report| report.share)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0),
        wrongly_refused_share: share(wrongly_refused, inside_rate),
        lost: record.violations.lost,
        doubled: record.violations.doubled,
        stale_reads: record.violations.stale_reads,
        mixed: record.violations.mixed,
        refused_but_ran: record.violations.refused_but_ran,
        wrongly_refused,
        over_rate: workspaces.values().map(|report| report.over_rate).sum(),
        reads: latency(samples, |sample| sample.kind == Kind::Read),
        writes: latency(samples, |sample| sample.kind.is_write()),
        workspaces,
        services,
        errors: record.errors.clone(),
    }
}

/// `part` divided by `whole`, or 0 if `whole` is 0.
pub fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Latencies of the successful `selected` samples, from their scheduled start.
fn latency(samples: &[Sample], selected: impl Fn(&Sample) -> bool) -> Latency {
    let chosen = samples.iter().filter(|sample| sample.outcome == Outcome::Done);
    let values = chosen.filter(|sample| selected(sample));
    percentiles(values.map(|sample| sample.done.saturating_sub(sample.scheduled)))
}

/// Percentiles of latencies in microseconds.
pub fn percentiles(values: impl Iterator<Item = u64>) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
    else {
        return Latency::default();
    };
    for value in values {
        histogram.saturating_record(value.max(1));
    }
    if histogram.is_empty() {
        return Latency::default();
    }
    Latency {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}

fn workspace_reports(metadata: &RunMetadata, record: &Record) -> BTreeMap<String, WorkspaceReport> {
    let mut samples: Vec<Vec<Sample>> = vec![Vec::new(); metadata.workspaces.len()];
    for sample in &record.samples {
        samples[sample.workspace].push(*sample);
    }
    let mut attempts: Vec<Vec<u64>> = vec![Vec::new(); metadata.workspaces.len()];
    for (workspace, sent) in &record.attempts {
        attempts[*workspace].push(*sent);
    }
    let parts = metadata.workspaces.iter().zip(samples.iter().zip(&mut attempts));
    parts
        .enumerate()
        .map(|(index, ((name, limit), (samples, attempts)))| {
            attempts.sort_unstable();
            let unsent = record.unsent.get(&index).copied().unwrap_or(0);
            let offered = samples.len() as u64 + unsent;
            let fair_share = fair_share(*limit, offered, metadata.duration_us);
            let report = workspace_report(*limit, samples, attempts, fair_share);
            (name.clone(), WorkspaceReport { offered, ..report })
        })
        .collect()
}

fn workspace_report(
    limit: Option<Limit>,
    samples: &[Sample],
    attempts: &[u64],
    fair_share: f64,
) -> WorkspaceReport {
    let done: Vec<&Sample> =
        samples.iter().filter(|sample| sample.outcome == Outcome::Done).collect();
    let succeeded = done.len() as u64;
    let mut report = WorkspaceReport {
        succeeded,
        share: if fair_share > 0.0 { succeeded as f64 / fair_share } else { 1.0 },
        ..WorkspaceReport::default()
    };
    let Some(limit) = limit else { return report };
    let spans: Vec<Span> =
        done.iter().map(|sample| Span { sent: sample.sent, done: sample.done }).collect();
    report.over_rate = over_rate(limit, &spans);
    for sample in samples {
        if inside_rate(limit, attempts, sample.sent) {
            report.inside_rate += 1;
            report.wrongly_refused += u64::from(sample.outcome == Outcome::RateLimited);
        }
    }
    report
}

/// Requests of a workspace that must succeed: all it offered, up to its rate limit.
fn fair_share(limit: Option<Limit>, offered: u64, duration_us: u64) -> f64 {
    let allowed = limit.map(|limit| f64::from(limit.rate) * duration_us as f64 / 1_000_000.0);
    allowed.map_or(offered as f64, |allowed| allowed.min(offered as f64))
}

fn service_reports(metadata: &RunMetadata, samples: &[Sample]) -> BTreeMap<String, ServiceReport> {
    let names = metadata.services.iter().enumerate();
    names
        .map(|(index, name)| {
            let writes = samples.iter().filter(|sample| {
                sample.service == index && sample.kind.is_write() && sample.outcome == Outcome::Done
            });
            let times: Vec<u64> = writes.map(|sample| sample.done).collect();
            let report = ServiceReport {
                writes: times.len() as u64,
                gap_ms: longest_gap(times, metadata.duration_us) / 1_000,
            };
            (name.clone(), report)
        })
        .collect()
}

/// Longest gap between successive `times` in the run from 0 to `end`.
///
/// The start and the end of the run count as limits of a gap; later times are ignored.
pub fn longest_gap(mut times: Vec<u64>, end: u64) -> u64 {
    times.retain(|time| *time <= end);
    times.push(end);
    times.sort_unstable();
    let mut last = 0;
    let mut longest = 0;
    for time in times {
        longest = longest.max(time - last);
        last = time;
    }
    longest
}
