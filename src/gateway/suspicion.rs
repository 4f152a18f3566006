//! Suspicion of other entry hosts that do not answer.
//!
//! Handles the load at which all hosts answer late for a moment: a fixed silence timeout then
//! counts most of them as lost, and their work moves to hosts that are as late. Here a silent host
//! is compared with its own usual delay and with the other hosts at the same time, and silence in
//! which this process itself was stalled does not count.
//!
//! A host that is silent for longer than the timeout, but not for longer than the comparison
//! allows, is *late*: it keeps its calls, and new work goes elsewhere within a budget. A *lost*
//! host loses its calls; it is used again after a successful trial.

use indexmap::IndexMap;

use crate::clock::Millis;

/// Shortest loop delay that counts as a stall of this process.
const MIN_STALL: Millis = Millis(20);

/// Weight of the newest sample in the moving average of a host's delay.
const EWMA_WEIGHT: f32 = 0.2;

/// Doublings of the reconnect delay; keeps the sum in the type's range.
const MAX_DOUBLINGS: u32 = 8;

/// Settings of the suspicion.
#[derive(Debug, Clone)]
pub struct SuspicionSettings {
    /// Silence from which a host is late, or lost if the others answer normally; long enough for
    /// the retransmission of a lost packet.
    pub silence_timeout: Millis,
    /// Silence from which a host is lost in any case; the longest timeout of a statement passes
    /// meanwhile.
    pub max_silence: Millis,
    /// Multiple of the other hosts' delay, and of its own, from which a silent host is lost.
    pub delay_factor: u64,
    /// Time for which an answer's delay is compared with other hosts.
    pub comparison_window: Millis,
    /// Percentage of the hosts in use that may be avoided at a time; at least one may.
    pub avoided_percent: usize,
    /// Time for which a late host is avoided after it has answered.
    pub late_hold: Millis,
    /// Time for which a host that reports being busy is avoided.
    pub busy_hold: Millis,
    /// Delay before the first attempt to reconnect; it doubles with each loss.
    pub first_retry: Millis,
    /// Longest delay before an attempt to reconnect; work returns within 2 s.
    pub max_retry: Millis,
    /// Time of use after which earlier losses don't delay reconnecting any more.
    pub stable_time: Millis,
}

impl Default for SuspicionSettings {
    fn default() -> Self {
        Self {
            silence_timeout: Millis(350),
            max_silence: Millis(2_000),
            delay_factor: 3,
            comparison_window: Millis(1_000),
            avoided_percent: 10,
            late_hold: Millis(300),
            busy_hold: Millis(500),
            first_retry: Millis(400),
            max_retry: Millis(1_600),
            stable_time: Millis(5_000),
        }
    }
}

/// Judgement on a host that owes an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Usual,
    /// Silent for longer than usual; it keeps its calls.
    Late,
    Lost,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    InUse,
    /// Lost, or not yet proven to answer again.
    Lost,
}

#[derive(Debug, Clone, Default)]
struct HostState {
    phase: Phase,
    /// Since when the host owes an answer.
    waiting_since: Option<Millis>,
    /// When the host was first pinged in this wait.
    pinged_at: Option<Millis>,
    /// Time of this wait in which this process was stalled.
    stalled: Millis,
    answered_at: Option<Millis>,
    /// Average time from a ping to an answer, in milliseconds.
    usual_delay_ms: f32,
    /// Latest answer with a long delay: when it came, and the delay.
    longest_delay: (Millis, Millis),
    is_late: bool,
    avoided_until: Millis,
    /// Losses since the last time of stable use.
    losses: u32,
    used_since: Millis,
}

impl HostState {
    fn silence(&self, now: Millis) -> Option<Millis> {
        let since = self.waiting_since?;
        Some(now.since(since).since(self.stalled))
    }

    /// Longest delay of an answer within `window`.
    fn recent_delay(&self, now: Millis, window: Millis) -> Millis {
        let (at, delay) = self.longest_delay;
        if now.since(at) < window { delay } else { Millis(0) }
    }
}

/// What this host knows of the answers of all other hosts, by address.
#[derive(Debug, Default)]
pub struct Suspicion {
    settings: SuspicionSettings,
    hosts: IndexMap<String, HostState>,
}

impl Suspicion {
    pub fn new(settings: SuspicionSettings) -> Self {
        Self { settings, hosts: IndexMap::new() }
    }

    fn state(&mut self, host: &str) -> &mut HostState {
        if !self.hosts.contains_key(host) {
            self.hosts.insert(host.to_owned(), HostState::default());
        }
        &mut self.hosts[host]
    }

    /// Records that a host that owed nothing was sent a message that it answers.
    pub fn record_wait(&mut self, now: Millis, host: &str) {
        let state = self.state(host);
        state.waiting_since = Some(now);
        state.pinged_at = None;
        state.stalled = Millis(0);
    }

    /// Records a ping to a silent host.
    pub fn record_ping(&mut self, now: Millis, host: &str) {
        self.state(host).pinged_at.get_or_insert(now);
    }

    /// Records an answer; `owes_more` if the host owes another one. Returns whether the host was
    /// late.
    pub fn record_answer(&mut self, now: Millis, host: &str, owes_more: bool) -> bool {
        let (window, hold) = (self.settings.comparison_window, self.settings.late_hold);
        let state = self.state(host);
        let stalled = state.stalled;
        // Without a ping, the time is that of the statement.
        let delay = state.pinged_at.map_or(Millis(0), |at| now.since(at).since(stalled));
        state.usual_delay_ms += EWMA_WEIGHT * (delay.0 as f32 - state.usual_delay_ms);
        if delay >= state.recent_delay(now, window) {
            state.longest_delay = (now, delay);
        }
        state.waiting_since = owes_more.then_some(now);
        state.pinged_at = None;
        state.stalled = Millis(0);
        state.answered_at = Some(now);
        let was_late = std::mem::take(&mut state.is_late);
        if was_late && now < state.avoided_until {
            state.avoided_until = now + hold;
        }
        was_late
    }

    /// Judges a host at a check that was due `loop_delay` earlier.
    pub fn check(&mut self, now: Millis, host: &str, loop_delay: Millis) -> Verdict {
        let timeout = self.settings.silence_timeout;
        let Some(state) = self.hosts.get_mut(host) else { return Verdict::Usual };
        if loop_delay >= MIN_STALL {
            state.stalled += loop_delay;
        }
        let Some(silence) = state.silence(now).filter(|silence| *silence >= timeout) else {
            return Verdict::Usual;
        };
        if silence >= self.loss_timeout(now, host) {
            return Verdict::Lost;
        }
        self.state(host).is_late = true;
        // It is avoided until it answers or is lost.
        self.avoid(now, host, now + self.settings.max_silence);
        Verdict::Late
    }

    /// Silence of `host`, while it owes an answer.
    pub fn silence(&self, now: Millis, host: &str) -> Option<Millis> {
        self.hosts.get(host)?.silence(now)
    }

    /// Silence from which `host` is lost.
    pub fn loss_timeout(&self, now: Millis, host: &str) -> Millis {
        let settings = &self.settings;
        let own = self.hosts.get(host).map_or(0.0, |state| state.usual_delay_ms);
        let delay = self.slowest_other(now, host).max(Millis(own as u64));
        let timeout = Millis(delay.0 * settings.delay_factor);
        timeout.clamp(settings.silence_timeout, settings.max_silence)
    }

    /// Delay of the slowest other host lately. Hosts that are silent at the same time count unless
    /// most others answer promptly meanwhile: then the silent ones may be lost together.
    fn slowest_other(&self, now: Millis, host: &str) -> Millis {
        let window = self.settings.comparison_window;
        let own = self.hosts.get(host);
        let since = own.and_then(|state| state.waiting_since).unwrap_or(now);
        let own_silence = own.and_then(|state| state.silence(now)).unwrap_or_default();
        let (mut compared, mut prompt) = (0, 0);
        let (mut delay, mut silence) = (Millis(0), Millis(0));
        let others = self
            .hosts
            .iter()
            .filter(|(addr, state)| addr.as_str() != host && state.phase == Phase::InUse);
        for (_, state) in others {
            let has_answered = state.answered_at.is_some_and(|at| now.since(at) < window);
            if !has_answered && state.waiting_since.is_none() {
                continue;
            }
            compared += 1;
            let their_silence = state.silence(now).unwrap_or_default();
            let is_prompt = their_silence.0 * self.settings.delay_factor <= own_silence.0;
            prompt += usize::from(is_prompt && state.answered_at.is_some_and(|at| at >= since));
            delay = delay.max(state.recent_delay(now, window));
            silence = silence.max(their_silence);
        }
        if prompt * 2 > compared { delay } else { delay.max(silence) }
    }

    /// Records that a host has reported being busy: it should not be given more.
    pub fn record_busy(&mut self, now: Millis, host: &str) {
        self.avoid(now, host, now + self.settings.busy_hold);
    }

    /// Avoids a host until `until`, if the budget allows it.
    fn avoid(&mut self, now: Millis, host: &str, until: Millis) {
        let in_use = self.hosts.values().filter(|state| state.phase == Phase::InUse);
        let others = self.hosts.iter().filter(|(addr, _)| addr.as_str() != host);
        let avoided = others
            .filter(|(_, state)| state.phase == Phase::InUse && now < state.avoided_until)
            .count();
        let budget = (in_use.count() * self.settings.avoided_percent / 100).max(1);
        if avoided < budget {
            let state = self.state(host);
            state.avoided_until = state.avoided_until.max(until);
        }
    }

    /// Whether new work that has an alternative may go to `host`.
    pub fn may_use(&self, now: Millis, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|state| state.phase == Phase::InUse && now >= state.avoided_until)
    }

    /// Whether `host` is lost, or has not yet passed the trial after its loss.
    pub fn is_lost(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|state| state.phase == Phase::Lost)
    }

    /// Records a lost connection or a failed attempt to connect. Returns the delay until the next
    /// attempt, shortened by `jitter_percent` unless it is the first one.
    pub fn record_loss(&mut self, now: Millis, host: &str, jitter_percent: u64) -> Millis {
        let (first, max) = (self.settings.first_retry, self.settings.max_retry);
        let stable_time = self.settings.stable_time;
        let state = self.state(host);
        if state.phase == Phase::InUse && now.since(state.used_since) >= stable_time {
            state.losses = 0;
        }
        let losses = state.losses;
        *state = HostState {
            phase: Phase::Lost,
            losses: losses + 1,
            used_since: state.used_since,
            ..HostState::default()
        };
        if losses == 0 {
            return first;
        }
        let delay = Millis(first.0 << losses.min(MAX_DOUBLINGS)).min(max);
        Millis(delay.0 - delay.0 * jitter_percent.min(100) / 100)
    }

    /// Records that a lost host has passed its trial.
    pub fn record_return(&mut self, now: Millis, host: &str) {
        let state = self.state(host);
        state.phase = Phase::InUse;
        state.used_since = now;
        state.answered_at = Some(now);
    }

    /// Forgets a host that is not wanted any more.
    pub fn remove(&mut self, host: &str) {
        self.hosts.swap_remove(host);
    }
}
