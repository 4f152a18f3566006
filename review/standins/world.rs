//! Stand-in databases of one service: a primary and two replicas, as PROTOCOL.md describes
//! them, and the platform's promotions. A commit that writes is acknowledged once one replica
//! has received it (`syncReplicas` 1).

use std::{
    net::SocketAddr,
    net::TcpStream,
    sync::{Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::record::Record;

/// Time between the receipt of an entry by a replica and its application.
const APPLY_DELAY: Duration = Duration::from_millis(20);

pub const INSTANCES: usize = 3;

/// Log entry: one committed write.
#[derive(Clone)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    pub item: String,
    pub data: String,
}

/// Unix time in ms.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |it| it.as_millis() as u64)
}

/// Database instance.
pub struct Instance {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    /// Process runs.
    pub up: bool,
    /// Receives nothing from the primary, although it runs.
    pub deaf: bool,
    /// Partitioned from the control hosts, not from the entry hosts.
    pub cut_from_control: bool,
    /// Entry host on whose path to this instance three packets in ten are lost.
    pub lossy_entry: Option<usize>,
    /// Says that it leaves.
    pub draining: bool,
    /// Has left for good.
    pub gone: bool,
    pub lead_term: Option<u64>,
    pub paused_under: u64,
    pub log: Vec<Entry>,
    received_at: Vec<Instant>,
    /// Term of the newest entry or of the primary that it follows.
    pub term: u64,
    pub born: u64,
    pub sequence: u64,
    /// Open connections, to be closed when the process ends.
    pub connections: Vec<TcpStream>,
}

pub struct State {
    pub instances: Vec<Instance>,
    pub primary: usize,
    pub term: u64,
    /// Instance that the last accepted promotion names.
    pub candidate: usize,
    /// Highest generation number that a promotion carried.
    pub fence: u64,
    /// Ids of the writes whose success a client has received.
    pub acknowledged: Vec<String>,
    /// When each of them was acknowledged.
    pub acknowledged_at: Vec<Instant>,
    /// Acknowledged writes that a promotion rolled back; no read has to see them.
    pub rolled_back: Vec<String>,
    /// Ids of the writes that were answered with a promise that nothing is kept.
    pub promised: Vec<String>,
    /// Ids of the writes that got `UNKNOWN`, `TIMEOUT`, another error or no answer.
    pub unclear: Vec<String>,
    /// Broken rules.
    pub broken: Vec<String>,
}

pub struct World {
    state: Mutex<State>,
    changed: Condvar,
}

impl World {
    pub fn new(addrs: &[SocketAddr]) -> Self {
        let born = unix_ms();
        let instance = |(index, addr): (usize, &SocketAddr)| Instance {
            id: format!("i-{:08x}", 0x7f3a_91c2_u64 + index as u64 * 4_099),
            addr: *addr,
            zone: format!("z{}", index + 1),
            up: true,
            deaf: false,
            cut_from_control: false,
            lossy_entry: None,
            draining: false,
            gone: false,
            lead_term: (index == 0).then_some(1),
            paused_under: 0,
            log: Vec::new(),
            received_at: Vec::new(),
            term: 1,
            born,
            sequence: 0,
            connections: Vec::new(),
        };
        let state = State {
            instances: addrs.iter().enumerate().map(instance).collect(),
            primary: 0,
            term: 1,
            candidate: 0,
            fence: 0,
            acknowledged: Vec::new(),
            acknowledged_at: Vec::new(),
            rolled_back: Vec::new(),
            promised: Vec::new(),
            unclear: Vec::new(),
            broken: Vec::new(),
        };
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the state and replicates what can be replicated.
    pub fn change<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.lock();
        let result = f(&mut state);
        state.replicate();
        self.changed.notify_all();
        result
    }

    /// Commits writes at the instance `index`, if it leads `term`, and waits until a replica
    /// has received them. `None` if the instance ends or loses the lead before.
    pub fn commit(
        &self,
        index: usize,
        lead: u64,
        id: &str,
        writes: &[(String, String)],
    ) -> Option<()> {
        let mut state = self.lock();
        if state.instances[index].lead_term != Some(lead) {
            return None;
        }
        // The primary applies its entries at once and serves them also after it was replaced.
        let applied = Instant::now().checked_sub(APPLY_DELAY).unwrap_or_else(Instant::now);
        for (item, data) in writes {
            let entry =
                Entry { term: lead, id: id.to_owned(), item: item.clone(), data: data.clone() };
            state.instances[index].log.push(entry);
            state.instances[index].received_at.push(applied);
        }
        state.instances[index].term = lead;
        let len = state.instances[index].log.len();
        state.replicate();
        self.changed.notify_all();
        loop {
            if !state.instances[index].up || state.instances[index].lead_term != Some(lead) {
                return None;
            }
            if state.is_received(index, len) {
                return Some(());
            }
            let waited = self.changed.wait_timeout(state, Duration::from_millis(50));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}

impl State {
    fn follows(&self, index: usize) -> bool {
        let it = &self.instances[index];
        it.up && !it.gone && !it.deaf && it.lead_term.is_none() && it.paused_under == 0
    }

    /// Whether a replica has received the first `len` entries of the log of `primary`.
    fn is_received(&self, primary: usize, len: usize) -> bool {
        let log = &self.instances[primary].log;
        let last = &log[len - 1].id;
        (0..INSTANCES).filter(|index| *index != primary).any(|index| {
            self.instances[index].log.get(len - 1).is_some_and(|entry| entry.id == *last)
        })
    }

    /// Sends the replicas that receive what they lack.
    fn replicate(&mut self) {
        let primary = self.primary;
        if !self.instances[primary].up || self.instances[primary].lead_term.is_none() {
            return;
        }
        let (log, term) = (self.instances[primary].log.clone(), self.instances[primary].term);
        let now = Instant::now();
        for index in 0..INSTANCES {
            if index != primary && self.follows(index) {
                let instance = &mut self.instances[index];
                instance.truncate_to_common(&log);
                for entry in &log[instance.log.len()..] {
                    instance.log.push(entry.clone());
                    instance.received_at.push(now);
                }
                instance.term = term;
            }
        }
    }

    /// Carries out a promotion of the instance `index`; adds what rule it breaks.
    pub fn promote(&mut self, index: usize, record: &Record) {
        if self.primary == index {
            return;
        }
        let old = self.primary;
        let id = self.instances[index].id.clone();
        let lost: Vec<String> = self
            .acknowledged
            .iter()
            .filter(|id| !self.instances[index].log.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        record.say(&format!(
            "platform: {id} leads term {} with {} entries; the old primary {} holds {}; acknowledged writes that {id} lacks: {}",
            self.term + 1,
            self.instances[index].log.len(),
            self.instances[old].id,
            self.instances[old].log.len(),
            lost.len()
        ));
        self.rolled_back.extend(lost.iter().cloned());
        if !lost.is_empty() {
            let shown: Vec<&str> = lost.iter().take(10).map(String::as_str).collect();
            self.broken.push(format!(
                "LOST: {} acknowledged writes aren't in the log of the promoted {id}: {} ...",
                lost.len(),
                shown.join(" ")
            ));
        }
        self.term += 1;
        self.primary = index;
        self.instances[old].lead_term = None;
        self.instances[index].lead_term = Some(self.term);
        self.instances[index].term = self.term;
        let log = self.instances[index].log.clone();
        for instance in &mut self.instances {
            instance.paused_under = 0;
            instance.truncate_to_common(&log);
        }
    }

    /// Status row of an instance.
    pub fn status(&self, index: usize) -> String {
        let it = &self.instances[index];
        let (role, term) = it.lead_term.map_or(("replica", it.term), |term| ("primary", term));
        let connections = it.connections.len();
        format!("{role} {term} {} {} 0 0 {connections}", self.position(index), it.paused_under)
    }

    /// Position of the instance's log.
    pub fn position(&self, index: usize) -> String {
        let it = &self.instances[index];
        format!("{}.{}", it.term, it.log.len())
    }

    /// Entries that the instance serves.
    pub fn applied(&self, index: usize) -> usize {
        let it = &self.instances[index];
        if it.lead_term.is_some() {
            return it.log.len();
        }
        let now = Instant::now();
        it.received_at.partition_point(|at| *at + APPLY_DELAY <= now)
    }

    pub fn read(&self, index: usize, item: &str) -> Option<String> {
        let applied = self.applied(index);
        let log = &self.instances[index].log[..applied];
        log.iter().rev().find(|entry| entry.item == item).map(|entry| entry.data.clone())
    }

    /// Records the success of a write.
    pub fn acknowledge(&mut self, id: String) {
        self.acknowledged.push(id);
        self.acknowledged_at.push(Instant::now());
    }

    /// Acknowledged writes that the instance does not serve, of those acknowledged before
    /// `before`. Looks at the newest ones only.
    pub fn missing(&self, index: usize, before: Instant) -> Vec<String> {
        let end = self.acknowledged_at.partition_point(|at| *at < before);
        let log = &self.instances[index].log[..self.applied(index)];
        let newest = &log[log.len().saturating_sub(2_000)..];
        let held = |id: &String| newest.iter().any(|entry| entry.id == *id);
        let recent = &self.acknowledged[end.saturating_sub(50)..end];
        recent.iter().filter(|id| !held(id) && !self.rolled_back.contains(id)).cloned().collect()
    }

    /// Ends the process of an instance: its connections close, its log stays.
    pub fn crash(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.up = false;
        instance.paused_under = 0;
        for connection in instance.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the process of an instance again, under its id.
    pub fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.up = true;
        instance.born = unix_ms();
        instance.sequence = 0;
    }
}

impl Instance {
    fn truncate_to_common(&mut self, log: &[Entry]) {
        let common = self.log.iter().zip(log).take_while(|(a, b)| a.id == b.id).count();
        self.log.truncate(common);
        self.received_at.truncate(common);
    }
}
