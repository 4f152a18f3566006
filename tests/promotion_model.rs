//! Model test of promotions of three instances with faults at any step.

#![allow(clippy::unwrap_used)]

mod database;

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicUsize, Ordering},
};

use database::{NAMES, response, view};
use pomelopin::{
    clock::Millis,
    ids::{InstanceId, Mark},
    promotion::state_machine::{Action, Event, Plan, PromotionRun, Step},
    settings::promotion::PromotionSettings,
    state::model::{ClusterView, Group, Promotion},
    wire::control::FenceResponse,
};
use quickcheck::{Gen, QuickCheck};

/// Log entry of the model: the term and a unique write number.
type Entry = (u64, usize);

#[derive(Default)]
struct Target {
    term: u64,
    primary: bool,
    log: Vec<Entry>,
    /// Index of the first entry of the term as primary.
    term_start: usize,
}

#[derive(Clone)]
enum Message {
    Action(Action),
    Event(Event),
}

/// Three instances, the control log and a control leader that changes. Messages stay in
/// the network after delivery, so they are lost, delayed, repeated and reordered.
struct Model {
    now: u64,
    targets: [Target; 3],
    network: Vec<Message>,
    view: ClusterView,
    run: Option<PromotionRun>,
    writes: usize,
    acknowledged: BTreeSet<Entry>,
    finished: usize,
}

impl Model {
    fn new() -> Self {
        let mut targets = [(); 3].map(|()| Target { term: 1, ..Target::default() });
        targets[0].primary = true;
        let (network, acknowledged) = (Vec::new(), BTreeSet::new());
        let view = view(3);
        Self { now: 0, targets, network, view, run: None, writes: 0, acknowledged, finished: 0 }
    }

    fn step(&mut self, op: u16) -> bool {
        let x = usize::from(op / 16);
        self.now += 20;
        match op % 16 {
            0..=2 => self.write(x % 3),
            3..=5 => self.replicate(x % 3, (x / 3) % 3, 1 + x % 4),
            6 | 7 => self.acknowledge(x % 3),
            8..=12 => self.deliver(x),
            13 => self.handle(Event::Tick),
            14 if x % 4 == 0 => self.change_leader(x / 4),
            14 => {}
            _ => {
                if let Some(term) = self.run.as_ref().map(PromotionRun::term) {
                    self.handle(Event::OwnerStopped { term });
                }
            }
        }
        self.is_consistent()
    }

    fn write(&mut self, at: usize) {
        let target = &mut self.targets[at];
        if target.primary {
            self.writes += 1;
            target.log.push((target.term, self.writes));
        }
    }

    /// Sends up to `batch` entries; the replica truncates its log where it differs.
    fn replicate(&mut self, from: usize, to: usize, batch: usize) {
        let (source, target) = (&self.targets[from], &self.targets[to]);
        if from == to || !source.primary || source.term < target.term {
            return;
        }
        let common = source.log.iter().zip(&target.log).take_while(|(a, b)| a == b).count();
        let end = source.log.len().min(common + batch);
        let (term, log) = (source.term, source.log[..end].to_vec());
        self.targets[to] = Target { term, log, ..Target::default() };
    }

    fn acknowledge(&mut self, at: usize) {
        let primary = &self.targets[at];
        if !primary.primary {
            return;
        }
        for (index, entry) in primary.log.iter().enumerate() {
            let needed = index.max(primary.term_start);
            let has_entry = |target: &&Target| {
                let prefix = target.log.get(..=needed);
                target.term == primary.term
                    && prefix.is_some()
                    && prefix == primary.log.get(..=needed)
            };
            if self.targets.iter().filter(has_entry).count() >= 2 {
                self.acknowledged.insert(*entry);
            }
        }
    }

    fn deliver(&mut self, x: usize) {
        if self.network.is_empty() {
            return;
        }
        let recent = self.network.len().saturating_sub(6);
        let index = if x.is_multiple_of(3) {
            x % self.network.len()
        } else {
            recent + x % (self.network.len() - recent)
        };
        match self.network[index].clone() {
            Message::Event(event) => self.handle(event),
            Message::Action(action) => {
                if let Some(event) = self.perform(action) {
                    self.network.push(Message::Event(event));
                }
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::ProposeStart { term, preferred, .. } => {
                let group = &mut self.view.groups[0];
                let used = group.promotion.as_ref().map_or(group.term, |p| p.term.max(group.term));
                if term > used {
                    group.promotion = Some(Promotion { term, preferred });
                    return Some(Event::StartCommitted { term });
                }
                None
            }
            Action::ProposeFinish { term, primary, .. } => {
                let group = &mut self.view.groups[0];
                if group.promotion.as_ref().is_some_and(|p| p.term == term) {
                    *group = Group { term, primary: Some(primary), promotion: None };
                    self.finished += 1;
                    return Some(Event::FinishCommitted { term });
                }
                None
            }
            Action::Fence { instance, term } => {
                let target = self.target(&instance);
                if term.0 > target.term {
                    (target.term, target.primary) = (term.0, false);
                }
                let response = target.response(target.term == term.0);
                Some(Event::FenceResponse { instance, term, response })
            }
            Action::Promote { instance, term } => {
                let target = self.target(&instance);
                let accepted = term.0 >= target.term;
                if accepted && !(target.primary && target.term == term.0) {
                    (target.term, target.primary) = (term.0, true);
                    target.term_start = target.log.len();
                    target.log.push((term.0, 0));
                }
                let response = target.response(accepted);
                Some(Event::PromoteResponse { instance, term, response })
            }
        }
    }

    fn target(&mut self, id: &InstanceId) -> &mut Target {
        let index = NAMES.iter().position(|name| *name == id.as_str()).unwrap();
        &mut self.targets[index]
    }

    fn handle(&mut self, event: Event) {
        let Some(run) = &mut self.run else { return };
        let actions = run.handle(Millis(self.now), event);
        self.network.extend(actions.into_iter().map(Message::Action));
        if matches!(run.step(), Step::Finished(_)) {
            self.run = None;
        }
    }

    /// A new leader resumes the promotion in the control log or starts one.
    fn change_leader(&mut self, x: usize) {
        let preferred = NAMES.get(x % 5).map(|name| (*name).into());
        let plan = Plan::from_view(&self.view, &"a".into(), preferred, "model").unwrap();
        let settings = PromotionSettings::default();
        let (run, actions) = PromotionRun::start(Millis(self.now), plan, settings);
        self.run = Some(run);
        self.network.extend(actions.into_iter().map(Message::Action));
    }

    /// Checks that each term has at most one primary and that the primary of the largest
    /// term has every acknowledged write.
    fn is_consistent(&self) -> bool {
        let primaries = || self.targets.iter().filter(|target| target.primary);
        let newest = primaries().max_by_key(|target| target.term);
        primaries().all(|a| primaries().filter(|b| b.term == a.term).count() == 1)
            && newest.is_none_or(|newest| {
                self.acknowledged
                    .iter()
                    .all(|entry| entry.0 > newest.term || newest.log.contains(entry))
            })
    }
}

impl Target {
    fn response(&self, accepted: bool) -> FenceResponse {
        let term = self.log.last().map_or(0, |entry| entry.0);
        response(accepted, self.term, Mark::new(term, self.log.len() as u64))
    }
}

/// Guards against the loss of an acknowledged write and against two primaries of one
/// term when messages are lost, delayed, repeated or reordered and leaders change.
#[test]
fn no_acknowledged_write_is_lost() {
    static FINISHED: AtomicUsize = AtomicUsize::new(0);
    static ACKNOWLEDGED: AtomicUsize = AtomicUsize::new(0);
    fn property(ops: Vec<u16>) -> bool {
        let mut model = Model::new();
        let consistent = ops.into_iter().all(|op| model.step(op));
        FINISHED.fetch_add(model.finished, Ordering::Relaxed);
        ACKNOWLEDGED.fetch_add(model.acknowledged.len(), Ordering::Relaxed);
        consistent
    }
    let gen_ops = Gen::from_size_and_seed(2_000, 0x706f_6d65_6c6f);
    QuickCheck::new().rng(gen_ops).tests(2_000).quickcheck(property as fn(Vec<u16>) -> bool);
    let (finished, acknowledged) =
        (FINISHED.load(Ordering::Relaxed), ACKNOWLEDGED.load(Ordering::Relaxed));
    println!("{finished} promotions finished, {acknowledged} acknowledgements checked");
    assert!(finished > 1_000 && acknowledged > 1_000, "the model rarely promotes");
}
