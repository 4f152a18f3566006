//! Log replication over HTTP: replicas poll the primary for new entries.

use std::{sync::Arc, time::Duration};

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};

use super::{
    instance::Instance,
    log::Entry,
    state::{ReceivedBatch, State},
};
use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Term},
    settings::target::Peer,
};

/// Longest time that a primary holds a pull open while it has no new entries.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// Timeout of one pull request.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next pull from a peer that failed or is not the primary.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay between the pulls by which a primary looks for a newer primary.
const PRIMARY_PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of entries in one answer.
const PULL_LIMIT: usize = 1_000;

/// Pull by a replica; also acknowledges the log prefix that it shares with the primary.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    pub from: InstanceId,
    /// Highest term that the replica has accepted.
    pub term: Term,
    /// Marks of the last entry of each term in the replica's log.
    pub ends: Vec<Mark>,
}

/// Answer to a pull.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PullAnswer {
    /// The peer that was asked is not the primary.
    NotPrimary,
    Entries {
        from: InstanceId,
        term: Term,
        /// Length of the prefix that both logs share.
        common: u64,
        entries: Vec<Entry>,
        /// Whether `entries` reach the end of the primary's log.
        complete: bool,
        /// Time from receipt of the pull to this answer.
        held_ms: u64,
    },
}

/// Answers a pull; waits up to `LONG_POLL_TIMEOUT` for new entries.
pub async fn answer(instance: &Instance, pull: &PullRequest) -> PullAnswer {
    let received = instance.now();
    if instance.with(|state| pull.term > state.term) {
        instance.fence(pull.term);
    }
    loop {
        let log_grew = instance.log_grew.notified();
        let mut log_grew = std::pin::pin!(log_grew);
        log_grew.as_mut().enable();
        let answer = instance.with(|state| {
            entries(state, &instance.settings.name, pull, instance.now().since(received))
        });
        instance.acknowledged.notify_waiters();
        let remaining = LONG_POLL_TIMEOUT.saturating_sub(instance.now().since(received).duration());
        let must_answer = match &answer {
            PullAnswer::NotPrimary => true,
            PullAnswer::Entries { term, common, entries, .. } => {
                let diverged = pull.ends.last().is_some_and(|last| last.position.0 > *common);
                diverged || !entries.is_empty() || *term != pull.term
            }
        };
        if must_answer || remaining.is_zero() {
            return answer;
        }
        let _ = tokio::time::timeout(remaining, log_grew).await;
    }
}

fn entries(state: &mut State, name: &InstanceId, pull: &PullRequest, held: Millis) -> PullAnswer {
    if !state.is_primary() {
        return PullAnswer::NotPrimary;
    }
    let common = state.log.common(&pull.ends);
    state.acknowledge(&pull.from, pull.term, common);
    let entries = state.log.after(common, PULL_LIMIT).to_vec();
    PullAnswer::Entries {
        from: name.clone(),
        term: state.term,
        common,
        complete: common + entries.len() as u64 == state.log.len(),
        entries,
        held_ms: held.0,
    }
}

/// Pulls from one peer in a loop, whether or not it is the primary.
///
/// Each peer has its own task, so that an unresponsive peer does not delay the
/// others. Primaries pull as well, less often: after a partition no replica pulls
/// from a replaced primary any more, so this is how it learns of the newer one.
pub async fn pull(instance: Arc<Instance>, peer: Peer) {
    let client = reqwest::Client::new();
    loop {
        instance.faults.wait_while_frozen().await;
        let pause = match pull_from(&instance, &client, &peer).await {
            Ok(true) => continue,
            Ok(false) if instance.with(|state| state.is_primary()) => PRIMARY_PULL_INTERVAL,
            Ok(false) => PULL_RETRY_DELAY,
            Err(error) => {
                spdlog::debug!("pull from {} failed: {error}", peer.name);
                PULL_RETRY_DELAY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Pulls once; true if the peer is the primary and its answer was accepted.
async fn pull_from(instance: &Instance, client: &reqwest::Client, peer: &Peer) -> Result<bool> {
    if instance.faults.blocks(peer.name.as_str()) {
        return Err(eyre!("blocked by an injected partition"));
    }
    let sent = instance.now();
    let request = instance.with(|state| PullRequest {
        from: instance.settings.name.clone(),
        term: state.term,
        ends: state.log.ends().to_vec(),
    });
    let response = client
        .post(format!("http://{}/replication/pull", peer.http))
        .timeout(PULL_TIMEOUT)
        .body(postcard::to_stdvec(&request)?)
        .send()
        .await?
        .error_for_status()?;
    let answer: PullAnswer = postcard::from_bytes(&response.bytes().await?)?;
    instance.faults.wait_while_frozen().await;
    if instance.faults.blocks(peer.name.as_str()) {
        return Err(eyre!("blocked by an injected partition"));
    }
    match answer {
        PullAnswer::NotPrimary => Ok(false),
        PullAnswer::Entries { from, term, common, entries, complete, held_ms } => {
            let current_at = sent + Millis(held_ms);
            let batch = ReceivedBatch { from, term, common, entries, complete, current_at };
            let lag = instance.faults.lag();
            let (accepted, stepped_down) = instance.with(|state| {
                let was_primary = state.is_primary();
                let accepted = state.receive(batch, lag, instance.now());
                (accepted, was_primary && !state.is_primary())
            });
            if stepped_down {
                instance.role_changed();
            }
            Ok(accepted)
        }
    }
}

/// Applies received entries once the replication lag has elapsed.
pub async fn apply(instance: Arc<Instance>) {
    loop {
        instance.faults.wait_while_frozen().await;
        let now = instance.now();
        let due = instance.with(|state| {
            state.apply_due(now);
            state.next_due()
        });
        // Reads apply due entries themselves; this task keeps the data age of idle replicas low.
        let wait =
            due.map_or(MAX_APPLY_INTERVAL, |due| due.since(now).duration().min(MAX_APPLY_INTERVAL));
        tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
    }
}

/// Longest time between two checks for due entries.
const MAX_APPLY_INTERVAL: Duration = Duration::from_millis(10);
