//! Admission control of a workspace's requests at one entry host.
//!
//! Each request takes a granted token, or waits in a bounded queue until one is
//! granted. The host requests tokens from the limiter owner for queued requests, and
//! in advance for expected ones, so that a steady load does not wait for the round trip
//! to the limiter owner.
//!
//! A request is refused only if the queue is full or it has waited too long. The wait
//! is extended while no limiter owner grants, since this is not the caller's fault, and
//! stays extended for requests that arrive before the queue has emptied again.

use std::collections::VecDeque;

use derive_more::{Display, Error};

use crate::{
    clock::Millis,
    ids::{HostId, Workspace},
    limits::forecast::ArrivalForecast,
    settings::limits::LimitSettings,
    wire::peer::{Grant, GrantRequest},
};

/// Time allowed to serve the backlog of an outage of the limiter owner, as a multiple
/// of the outage. Sufficient for a workspace that uses up to 80 % of its rate.
const RECOVERY_FACTOR: u64 = 4;

/// Number of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// Admission decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    Admitted,
    Queued(Ticket),
    /// The queue is full.
    Refused,
}

/// Error returned for a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("workspace `{workspace}` is over its rate")]
pub struct RateLimitExceeded {
    pub workspace: Workspace,
}

impl RateLimitExceeded {
    /// SQLSTATE of the error.
    pub fn code(&self) -> &'static str {
        "53400"
    }
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct TokenBatch {
    expires_at: Millis,
    tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    ticket: Ticket,
    queued_at: Millis,
}

/// Grant request that has not been answered.
#[derive(Debug, Clone, Copy)]
struct PendingGrantRequest {
    sent_at: Millis,
    /// Queued requests for which tokens were requested.
    waiting: u32,
}

/// Granted tokens and request queue of one workspace at one entry host.
#[derive(Debug)]
pub struct AdmissionController {
    workspace: Workspace,
    host: HostId,
    settings: LimitSettings,
    /// Ordered by expiry.
    batches: VecDeque<TokenBatch>,
    queue: VecDeque<QueuedRequest>,
    next_ticket: u64,
    forecast: ArrivalForecast,
    pending: VecDeque<PendingGrantRequest>,
    last_grant_request_at: Option<Millis>,
    /// Time of the first grant request since the last grant or pause.
    owner_silent_since: Option<Millis>,
    /// Earliest time of the next grant request for queued requests.
    retry_at: Millis,
    /// Earliest time of the next grant request for expected requests.
    next_forecast_at: Millis,
    /// Time until which the extended wait applies.
    extended_wait_until: Millis,
}

impl AdmissionController {
    /// Controller without tokens.
    pub fn new(workspace: Workspace, host: HostId, settings: LimitSettings) -> Self {
        Self {
            workspace,
            host,
            settings,
            batches: VecDeque::new(),
            queue: VecDeque::new(),
            next_ticket: 0,
            forecast: ArrivalForecast::default(),
            pending: VecDeque::new(),
            last_grant_request_at: None,
            owner_silent_since: None,
            retry_at: Millis(0),
            next_forecast_at: Millis(0),
            extended_wait_until: Millis(0),
        }
    }

    /// Admits, queues or refuses a request that arrives now.
    pub fn admit(&mut self, now: Millis) -> Decision {
        self.forecast.record_arrival(now);
        if self.queue.is_empty() && self.take_token(now) {
            return Decision::Admitted;
        }
        if self.queue.len() >= self.settings.queue_length {
            return Decision::Refused;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.queue.push_back(QueuedRequest { ticket, queued_at: now });
        Decision::Queued(ticket)
    }

    /// Records the answer to the grant request sent at `sent_at`; returns the queued
    /// requests that are admitted by it. A duplicate answer has no effect.
    pub fn on_grant(&mut self, now: Millis, sent_at: Millis, grant: Grant) -> Vec<Ticket> {
        let Some(index) = self.pending.iter().position(|sent| sent.sent_at == sent_at) else {
            return Vec::new();
        };
        let sent = self.pending.remove(index);
        self.schedule_grant_request(now, sent.map_or(0, |sent| sent.waiting), &grant);
        self.add_batch(TokenBatch {
            expires_at: sent_at + Millis(grant.ttl_ms),
            tokens: grant.tokens,
        });
        self.release_queued(now)
    }

    /// Grant request that should be sent now, if any.
    pub fn next_grant_request(&mut self, now: Millis) -> Option<GrantRequest> {
        self.pending.retain(|sent| now.since(sent.sent_at) < self.settings.longest_ttl);
        let last = self.pending.back().map(|sent| sent.sent_at);
        let in_flight = last.is_some_and(|at| now.since(at) < self.settings.request_timeout);
        if in_flight || self.last_grant_request_at == Some(now) {
            return None;
        }
        let waiting = if now >= self.retry_at { self.queue.len() } else { 0 };
        let expected = if now >= self.next_forecast_at { self.shortfall(now) } else { 0 };
        if waiting == 0 && expected == 0 {
            return None;
        }
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let (waiting, expected) = (count(waiting), u32::try_from(expected).unwrap_or(u32::MAX));
        self.pending.push_back(PendingGrantRequest { sent_at: now, waiting });
        // Grant requests are frequent while requests are queued. After a longer pause, in
        // which none were, the silence of the limiter owner counts from now.
        let paused =
            self.last_grant_request_at.is_none_or(|at| now.since(at) > self.settings.owner_silence);
        self.last_grant_request_at = Some(now);
        self.owner_silent_since = self.owner_silent_since.filter(|_| !paused).or(Some(now));
        let (workspace, host) = (self.workspace.clone(), self.host.clone());
        Some(GrantRequest { workspace, host, waiting, expected })
    }

    /// Removes the requests that have waited too long and must be refused.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        let limit = self.max_wait(now);
        let expired = self.queue.iter().take_while(|queued| now.since(queued.queued_at) >= limit);
        let expired = expired.count();
        self.queue.drain(..expired).map(|queued| queued.ticket).collect()
    }

    /// Removes a request whose caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|queued| queued.ticket != ticket);
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub fn rate_limit_error(&self) -> RateLimitExceeded {
        RateLimitExceeded { workspace: self.workspace.clone() }
    }

    fn take_token(&mut self, now: Millis) -> bool {
        while self.batches.front().is_some_and(|batch| batch.expires_at <= now || batch.tokens == 0)
        {
            self.batches.pop_front();
        }
        match self.batches.front_mut() {
            Some(batch) => {
                batch.tokens -= 1;
                true
            }
            None => false,
        }
    }

    fn add_batch(&mut self, batch: TokenBatch) {
        let preceding = self.batches.iter().rposition(|known| known.expires_at <= batch.expires_at);
        self.batches.insert(preceding.map_or(0, |index| index + 1), batch);
    }

    fn release_queued(&mut self, now: Millis) -> Vec<Ticket> {
        let mut released = Vec::new();
        while !self.queue.is_empty() && self.take_token(now) {
            released.extend(self.queue.pop_front().map(|queued| queued.ticket));
        }
        if self.queue.is_empty() {
            self.extended_wait_until = Millis(0);
        }
        released
    }

    /// Sets the times of the next grant requests.
    fn schedule_grant_request(&mut self, now: Millis, waiting: u32, grant: &Grant) {
        let retry_after = Millis(grant.retry_after_ms);
        if retry_after >= self.settings.queue_wait {
            // The host that answered does not grant tokens yet.
            self.retry_at = now + self.settings.longest_retry;
        } else {
            self.owner_silent_since = None;
            let missing = grant.tokens < waiting;
            self.retry_at = if missing { now + retry_after.max(Millis(1)) } else { now };
        }
        self.next_forecast_at = now + Millis(self.settings.forecast.0 / 4);
    }

    /// Tokens missing for the expected requests; zero while at least half are held.
    fn shortfall(&mut self, now: Millis) -> u64 {
        let wanted = self.forecast.expected_within(now, self.settings.forecast);
        let usable =
            self.batches.iter().filter(|batch| batch.expires_at > now + self.settings.shortest_ttl);
        let held: u64 = usable.map(|batch| u64::from(batch.tokens)).sum();
        if held * 2 >= wanted { 0 } else { wanted - held }
    }

    fn max_wait(&mut self, now: Millis) -> Millis {
        let silence = self.settings.owner_silence;
        let outage = self.owner_silent_since.map_or(Millis(0), |since| now.since(since));
        if outage >= silence {
            // The backlog grows with the length of the outage.
            let recovery = Millis(outage.0 * RECOVERY_FACTOR).min(self.settings.recovery);
            self.extended_wait_until = self.extended_wait_until.max(now + recovery);
        }
        if now < self.extended_wait_until {
            self.settings.owner_loss_wait
        } else {
            self.settings.queue_wait
        }
    }
}
