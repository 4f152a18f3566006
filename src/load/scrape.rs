//! Read counters scraped from the metrics of the entry hosts.

use std::{net::SocketAddr, time::Duration};

/// Counter of reads, labelled with their `source`.
const READS_METRIC: &str = "pomelopin_reads_total";

/// Limit for one request to an entry host.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads served, by source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct ReadCounts {
    pub replica: u64,
    pub primary: u64,
}

impl ReadCounts {
    /// Share of reads served by replicas since `earlier`; `None` without reads.
    ///
    /// The differences saturate at 0, because counters restart at 0 with their host.
    pub fn replica_share_since(self, earlier: ReadCounts) -> Option<f64> {
        let replica = self.replica.saturating_sub(earlier.replica);
        let all = replica + self.primary.saturating_sub(earlier.primary);
        (all > 0).then(|| replica as f64 / all as f64)
    }
}

/// Parses the read counters from the Prometheus text format.
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

/// Sums the counters of all entry hosts that answer.
pub async fn scrape(addrs: &[SocketAddr]) -> ReadCounts {
    let client = reqwest::Client::new();
    let mut sum = ReadCounts::default();
    for addr in addrs {
        let request = client.get(format!("http://{addr}/metrics")).timeout(SCRAPE_TIMEOUT);
        let text = async { request.send().await?.error_for_status()?.text().await };
        match text.await {
            Ok(text) => sum += parse(&text),
            Err(error) => spdlog::warn!("cannot scrape the metrics of {addr}: {error}"),
        }
    }
    sum
}
