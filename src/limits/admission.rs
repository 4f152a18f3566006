//! Admission of a workspace's requests at one entry.
//!
//! Requests use granted tokens and wait in a bounded queue for more. The entry
//! asks the limiter owner for the requests that wait, and in advance for those
//! that it expects, so that steady callers do not wait for a round trip.
//!
//! A request is refused only when the queue is full or it has waited too long.
//! While no limiter owner grants, which is no fault of the caller, requests may
//! wait longer, and so may those that arrive until the queue has emptied again.

use std::collections::VecDeque;

use derive_more::{Display, Error};

use crate::{
    clock::Millis,
    ids::{HostId, Workspace},
    limits::forecast::ArrivalForecast,
    settings::limits::LimitSettings,
    wire::peer::{Grant, GrantRequest},
};

/// Time to serve the backlog of a gap, as a multiple of the gap: enough for a
/// workspace that uses up to 80 % of its rate.
const RECOVERY_PER_GAP: u64 = 4;

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub u64);

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    Admitted,
    Queued(Ticket),
    /// Queue is full.
    Refused,
}

/// Error of a refused request.
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

#[derive(Debug, Clone, Copy)]
struct Lot {
    ends: Millis,
    tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    since: Millis,
}

/// Request for tokens that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct Asked {
    at: Millis,
    waiting: u32,
}

/// Tokens and queue of one workspace at one entry.
#[derive(Debug)]
pub struct AdmissionController {
    workspace: Workspace,
    host: HostId,
    settings: LimitSettings,
    /// Ordered by end.
    lots: VecDeque<Lot>,
    queue: VecDeque<Waiting>,
    next_ticket: u64,
    demand: ArrivalForecast,
    asked: VecDeque<Asked>,
    last_asked: Option<Millis>,
    /// Since when the entry has asked and no limiter owner has granted.
    silent_since: Option<Millis>,
    /// Earliest time to ask for waiting requests.
    ask_at: Millis,
    /// Earliest time to ask for expected requests.
    forecast_at: Millis,
    /// Requests may wait longer until this time.
    patient_until: Millis,
}

impl AdmissionController {
    /// Admission without tokens.
    pub fn new(workspace: Workspace, host: HostId, settings: LimitSettings) -> Self {
        Self {
            workspace,
            host,
            settings,
            lots: VecDeque::new(),
            queue: VecDeque::new(),
            next_ticket: 0,
            demand: ArrivalForecast::default(),
            asked: VecDeque::new(),
            last_asked: None,
            silent_since: None,
            ask_at: Millis(0),
            forecast_at: Millis(0),
            patient_until: Millis(0),
        }
    }

    /// Decides about a request that arrives now.
    pub fn admit(&mut self, now: Millis) -> Decision {
        self.demand.arrived(now);
        if self.queue.is_empty() && self.use_token(now) {
            return Decision::Admitted;
        }
        if self.queue.len() >= self.settings.queue_length {
            return Decision::Refused;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.queue.push_back(Waiting { ticket, since: now });
        Decision::Queued(ticket)
    }

    /// Records the answer to the request sent at `sent_at`; returns the requests
    /// that may run now. An answer that was already recorded has no effect.
    pub fn on_grant(&mut self, now: Millis, sent_at: Millis, grant: Grant) -> Vec<Ticket> {
        let Some(index) = self.asked.iter().position(|asked| asked.at == sent_at) else {
            return Vec::new();
        };
        let asked = self.asked.remove(index);
        self.schedule(now, asked.map_or(0, |asked| asked.waiting), &grant);
        self.add_lot(Lot { ends: sent_at + Millis(grant.ttl_ms), tokens: grant.tokens });
        self.release(now)
    }

    /// Request for tokens that should be sent now, if any.
    pub fn next_request(&mut self, now: Millis) -> Option<GrantRequest> {
        self.asked.retain(|asked| now.since(asked.at) < self.settings.longest_ttl);
        let last = self.asked.back().map(|asked| asked.at);
        let in_flight = last.is_some_and(|at| now.since(at) < self.settings.request_timeout);
        if in_flight || self.last_asked == Some(now) {
            return None;
        }
        let waiting = if now >= self.ask_at { self.queue.len() } else { 0 };
        let expected = if now >= self.forecast_at { self.shortfall(now) } else { 0 };
        if waiting == 0 && expected == 0 {
            return None;
        }
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let (waiting, expected) = (count(waiting), u32::try_from(expected).unwrap_or(u32::MAX));
        self.asked.push_back(Asked { at: now, waiting });
        // While requests wait, the entry asks often; a pause means that none did.
        let paused = self.last_asked.is_none_or(|at| now.since(at) > self.settings.owner_silence);
        self.last_asked = Some(now);
        self.silent_since = self.silent_since.filter(|_| !paused).or(Some(now));
        let (workspace, host) = (self.workspace.clone(), self.host.clone());
        Some(GrantRequest { workspace, host, waiting, expected })
    }

    /// Requests that have waited too long and are refused.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        let limit = self.wait_limit(now);
        let expired = self.queue.iter().take_while(|waiting| now.since(waiting.since) >= limit);
        let expired = expired.count();
        self.queue.drain(..expired).map(|waiting| waiting.ticket).collect()
    }

    /// Removes a request whose caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Error for a refused request.
    pub fn rate_limit_error(&self) -> RateLimitExceeded {
        RateLimitExceeded { workspace: self.workspace.clone() }
    }

    fn use_token(&mut self, now: Millis) -> bool {
        while self.lots.front().is_some_and(|lot| lot.ends <= now || lot.tokens == 0) {
            self.lots.pop_front();
        }
        match self.lots.front_mut() {
            Some(lot) => {
                lot.tokens -= 1;
                true
            }
            None => false,
        }
    }

    fn add_lot(&mut self, lot: Lot) {
        let later = self.lots.iter().rposition(|known| known.ends <= lot.ends);
        self.lots.insert(later.map_or(0, |index| index + 1), lot);
    }

    fn release(&mut self, now: Millis) -> Vec<Ticket> {
        let mut released = Vec::new();
        while !self.queue.is_empty() && self.use_token(now) {
            released.extend(self.queue.pop_front().map(|waiting| waiting.ticket));
        }
        if self.queue.is_empty() {
            self.patient_until = Millis(0);
        }
        released
    }

    /// Sets when to ask again.
    fn schedule(&mut self, now: Millis, waiting: u32, grant: &Grant) {
        let retry_after = Millis(grant.retry_after_ms);
        if retry_after >= self.settings.queue_wait {
            // The owner does not grant yet.
            self.ask_at = now + self.settings.longest_retry;
        } else {
            self.silent_since = None;
            let missing = grant.tokens < waiting;
            self.ask_at = if missing { now + retry_after.max(Millis(1)) } else { now };
        }
        self.forecast_at = now + Millis(self.settings.forecast.0 / 4);
    }

    /// Missing tokens for the requests expected soon; zero while half is there.
    fn shortfall(&mut self, now: Millis) -> u64 {
        let wanted = self.demand.expected(now, self.settings.forecast);
        let lots = self.lots.iter().filter(|lot| lot.ends > now + self.settings.shortest_ttl);
        let held: u64 = lots.map(|lot| u64::from(lot.tokens)).sum();
        if held * 2 >= wanted { 0 } else { wanted - held }
    }

    fn wait_limit(&mut self, now: Millis) -> Millis {
        let silence = self.settings.owner_silence;
        let gap = self.silent_since.map_or(Millis(0), |since| now.since(since));
        if gap >= silence {
            // A longer gap leaves a longer backlog.
            let recovery = Millis(gap.0 * RECOVERY_PER_GAP).min(self.settings.recovery);
            self.patient_until = self.patient_until.max(now + recovery);
        }
        if now < self.patient_until {
            self.settings.owner_loss_wait
        } else {
            self.settings.queue_wait
        }
    }
}
