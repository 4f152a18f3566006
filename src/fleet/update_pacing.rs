//! Pace at which the leader sends views and configurations to the entry hosts.
//!
//! Sending a view to hundreds of hosts at once takes the leader's processor for longer than
//! its heartbeats may be late. The leader therefore sends to a few hosts at a time, and makes
//! fewer views for many hosts; a host that waits for its turn gets the newest one.

use indexmap::IndexMap;

use crate::{clock::Millis, ids::HostId};

/// Minimum interval between two views with an urgent change. Changes in between share one.
const MIN_URGENT_VIEW_INTERVAL: Millis = Millis(50);

/// Minimum interval between views without an urgent change. Otherwise, when all hosts start
/// together, each one would cause a view for all others.
const MIN_VIEW_INTERVAL: Millis = Millis(400);

/// Interval between views per host: urgent ones, and others.
const URGENT_VIEW_INTERVAL_PER_HOST: Millis = Millis(1);
const VIEW_INTERVAL_PER_HOST: Millis = Millis(4);

/// Hosts to which updates are sent within [`BATCH_INTERVAL`].
const BATCH_HOSTS: usize = 32;

/// Interval in which one batch of updates is sent.
const BATCH_INTERVAL: Millis = Millis(25);

/// Minimum interval between two views for `hosts` hosts.
pub fn min_view_interval(hosts: usize, urgent: bool) -> Millis {
    let (least, per_host) = if urgent {
        (MIN_URGENT_VIEW_INTERVAL, URGENT_VIEW_INTERVAL_PER_HOST)
    } else {
        (MIN_VIEW_INTERVAL, VIEW_INTERVAL_PER_HOST)
    };
    least.max(Millis(per_host.0 * hosts as u64))
}

/// Choice of the hosts that get an update next.
#[derive(Debug, Default)]
pub struct UpdatePacer {
    /// Position of the host whose turn it is.
    next: usize,
    batch_began_at: Millis,
    sent_in_batch: usize,
}

impl UpdatePacer {
    /// Hosts to send updates to at `now`, of those for which `is_behind` is true. All get their
    /// turn, also if some of them are behind all the time.
    pub fn next_hosts<H>(
        &mut self,
        now: Millis,
        hosts: &IndexMap<HostId, H>,
        is_behind: impl Fn(&HostId, &H) -> bool,
    ) -> Vec<HostId> {
        if now.since(self.batch_began_at) >= BATCH_INTERVAL {
            self.batch_began_at = now;
            self.sent_in_batch = 0;
        }
        let mut chosen = Vec::new();
        for offset in 0..hosts.len() {
            if self.sent_in_batch >= BATCH_HOSTS {
                break;
            }
            let position = (self.next + offset) % hosts.len();
            let Some((id, host)) = hosts.get_index(position) else { break };
            if is_behind(id, host) {
                chosen.push((position, id.clone()));
                self.sent_in_batch += 1;
            }
        }
        if let Some((position, _)) = chosen.last() {
            self.next = position + 1;
        }
        chosen.into_iter().map(|(_, id)| id).collect()
    }
}
