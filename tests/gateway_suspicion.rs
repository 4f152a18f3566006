//! Suspicion of other entry hosts, compared with a fixed silence timeout.

use pomelopin::{
    clock::Millis,
    gateway::suspicion::{Suspicion, SuspicionSettings, Verdict},
};

const STEP_MS: u64 = 10;
const CHECK_MS: u64 = 100;
const HOSTS: usize = 20;

/// Silence from which the former rule counted a host as lost.
const FIXED_TIMEOUT: Millis = Millis(350);

/// Start and end of the peak, in which all answers take 0.3 to 1 s.
const PEAK: std::ops::Range<u64> = 1_000..5_000;

/// Hosts that always owe the answer to one call.
struct Peers {
    now: Millis,
    suspicion: Suspicion,
    /// When the outstanding call of each host was sent, and when it is answered.
    calls: Vec<(Millis, Millis)>,
    /// Losses with their silence.
    lost: Vec<(usize, Millis)>,
    /// Calls that a fixed timeout would have counted as lost.
    lost_by_timeout: usize,
    most_avoided: usize,
}

fn addr(host: usize) -> String {
    format!("host-{host}")
}

impl Peers {
    fn new() -> Self {
        let mut suspicion = Suspicion::default();
        for host in 0..HOSTS {
            suspicion.record_wait(Millis(0), &addr(host));
        }
        Self {
            now: Millis(0),
            suspicion,
            calls: vec![(Millis(0), Millis(8)); HOSTS],
            lost: Vec::new(),
            lost_by_timeout: 0,
            most_avoided: 0,
        }
    }

    fn may_use(&self, host: usize) -> bool {
        self.suspicion.may_use(self.now, &addr(host))
    }

    /// Runs until `end`; `delay` tells how long a call of a host takes, `None` without an answer.
    fn run(&mut self, end: u64, delay: impl Fn(usize, u64) -> Option<u64>) {
        while self.now.0 < end {
            self.now += Millis(STEP_MS);
            let now = self.now;
            for host in 0..HOSTS {
                let name = addr(host);
                if self.suspicion.is_lost(&name) {
                    continue;
                }
                let (sent, answered) = self.calls[host];
                let silence = now.since(sent);
                if delay(host, sent.0).is_some() && now >= answered {
                    self.suspicion.record_answer(now, &name, true);
                    let next = delay(host, now.0).map_or(Millis(u64::MAX), |it| now + Millis(it));
                    self.calls[host] = (now, next);
                    self.lost_by_timeout += usize::from(silence >= FIXED_TIMEOUT);
                } else if silence.0 > 0 && silence.0.is_multiple_of(CHECK_MS) {
                    self.suspicion.record_ping(now, &name);
                    if self.suspicion.check(now, &name, Millis(0)) == Verdict::Lost {
                        self.lost.push((host, silence));
                        self.suspicion.record_loss(now, &name, 0);
                    }
                }
            }
            let avoided = (0..HOSTS)
                .filter(|host| !self.suspicion.is_lost(&addr(*host)) && !self.may_use(*host));
            self.most_avoided = self.most_avoided.max(avoided.count());
        }
    }
}

/// Delay of a call that is sent at `at`: 8 ms, and 0.3 to 1 s during the peak.
fn peak_delay(host: usize, at: u64) -> u64 {
    let spread = (host as u64 * 379 + at * 131) % 700;
    if PEAK.contains(&at) { 300 + spread } else { 8 }
}

/// Guards against hosts that mark each other as unusable when all of them are late, and against
/// a cut host that is never given up meanwhile.
#[test]
fn late_hosts_keep_their_calls_during_a_peak() {
    let mut peers = Peers::new();
    peers.run(2_000, |host, at| Some(peak_delay(host, at)));
    // One host is cut off in the middle of the peak.
    peers.run(7_000, |host, at| (host > 0).then(|| peak_delay(host, at)));
    assert!(peers.lost_by_timeout > 50, "former rule: {}", peers.lost_by_timeout);
    assert_eq!(peers.lost.len(), 1, "{:?}", peers.lost);
    assert!(peers.lost[0].0 == 0 && peers.lost[0].1 <= Millis(2_000), "{:?}", peers.lost);
    assert!((1..=2).contains(&peers.most_avoided), "avoided: {}", peers.most_avoided);
    assert!((1..HOSTS).all(|host| peers.may_use(host)), "all are used after the peak");
}

/// Guards against hosts that are gone and keep their work: without general lateness each is
/// given up as early as by a fixed timeout, also if several are lost at once.
#[test]
fn silent_hosts_are_lost_as_early_as_by_a_fixed_timeout() {
    for gone in [1, HOSTS / 3] {
        let mut peers = Peers::new();
        peers.run(1_000, |_, _| Some(8));
        peers.run(1_600, |host, at| (host >= gone || at < 1_000).then_some(8));
        assert_eq!(peers.lost.len(), gone);
        assert!(peers.lost.iter().all(|(host, _)| *host < gone));
        assert!(peers.lost.iter().all(|(_, silence)| *silence == Millis(400)), "{:?}", peers.lost);
    }
}

/// Guards against a loss because of a stall of this process: it has not read the answers.
#[test]
fn own_stalls_do_not_count_as_silence() {
    let mut suspicion = Suspicion::default();
    suspicion.record_wait(Millis(0), "a");
    assert_eq!(suspicion.check(Millis(1_000), "a", Millis(900)), Verdict::Usual);
    assert_eq!(suspicion.check(Millis(1_100), "a", Millis(0)), Verdict::Usual);
    assert_eq!(suspicion.check(Millis(1_300), "a", Millis(0)), Verdict::Lost);
}

/// Guards against hosts that are lost and used again in turn: attempts become rarer until the host
/// was used for a while, and it is used only after an answer.
#[test]
fn lost_hosts_return_after_a_trial() {
    let mut suspicion = Suspicion::default();
    let delays = [0, 100, 200, 300].map(|at| suspicion.record_loss(Millis(at), "a", 0).0);
    assert_eq!(delays, [400, 800, 1_600, 1_600]);
    assert_eq!(suspicion.record_loss(Millis(400), "a", 25), Millis(1_200));
    assert!(suspicion.is_lost("a") && !suspicion.may_use(Millis(2_000), "a"));
    suspicion.record_return(Millis(2_000), "a");
    assert!(suspicion.may_use(Millis(2_000), "a"));
    assert_eq!(suspicion.record_loss(Millis(3_000), "a", 0), Millis(1_600), "not stable yet");
    suspicion.record_return(Millis(5_000), "a");
    assert_eq!(suspicion.record_loss(Millis(10_000), "a", 0), Millis(400));
}

/// Guards against work that is concentrated on a few hosts because all others are busy.
#[test]
fn busy_hosts_are_avoided_within_the_budget() {
    let mut suspicion = Suspicion::new(SuspicionSettings::default());
    let hosts: Vec<String> = (0..HOSTS).map(addr).collect();
    for host in &hosts {
        suspicion.record_wait(Millis(0), host);
        suspicion.record_answer(Millis(5), host, false);
    }
    for host in &hosts {
        suspicion.record_busy(Millis(10), host);
    }
    let avoided = |now| hosts.iter().filter(|host| !suspicion.may_use(Millis(now), host)).count();
    assert_eq!((avoided(10), avoided(600)), (HOSTS / 10, 0));
}
