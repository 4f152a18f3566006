//! Counters of served reads from the entry hosts' metrics.

use std::{net::SocketAddr, time::Duration};

/// Counter of reads with the label `source`.
const READS_METRIC: &str = "pomelopin_reads_total";

/// Longest time that an entry host has to answer.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads by source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct ReadCounts {
    pub replica: u64,
    pub primary: u64,
}

impl ReadCounts {
    /// Share that replicas served since `earlier`; `None` without reads.
    ///
    /// Counters of a restarted entry begin at 0 again, so differences are not negative.
    pub fn replica_share_since(self, earlier: ReadCounts) -> Option<f64> {
        let replica = self.replica.saturating_sub(earlier.replica);
        let all = replica + self.primary.saturating_sub(earlier.primary);
        (all > 0).then(|| replica as f64 / all as f64)
    }
}

/// Reads in the text format of Prometheus.
pub fn parse(text: &str) -> ReadCounts {
    let mut reads = ReadCounts::default();
    for line in text.lines().filter(|line| line.starts_with(READS_METRIC)) {
        let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
        let count = value.unwrap_or(0.0) as u64;
        if line.contains("source=\"replica\"") {
            reads.replica += count;
        } else if line.contains("source=\"primary\"") {
            reads.primary += count;
        }
    }
    reads
}

/// Sum over the entry hosts that answer.
pub async fn scrape(addrs: &[SocketAddr]) -> ReadCounts {
    let client = reqwest::Client::new();
    let mut sum = ReadCounts::default();
    for addr in addrs {
        let request = client.get(format!("http://{addr}/metrics")).timeout(SCRAPE_TIMEOUT);
        let text = async { request.send().await?.error_for_status()?.text().await };
        match text.await {
            Ok(text) => sum += parse(&text),
            Err(error) => spdlog::warn!("metrics of {addr}: {error}"),
        }
    }
    sum
}
