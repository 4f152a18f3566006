//! Guards against owners that together exceed an instance's connection limit, and
//! against ownership that stays with hosts that leave.

mod cluster_fixtures;

use std::collections::BTreeMap;

use cluster_fixtures::*;
use pomelopin::{
    ids::{Epoch, HostId, Incarnation},
    ownership::assignment::Candidates,
    state::model::{Assignment, ClusterState, ClusterView, Command, Drain, Instance},
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x5eed_0055;
const HOSTS: usize = 5;

type Process = (HostId, Incarnation);

/// Hosts that act on views of different age, as in a real cluster.
#[derive(Default)]
struct Model {
    state: ClusterState,
    /// View that each live process has learned.
    learned: BTreeMap<Process, ClusterView>,
    /// Connections that each process holds to instance 0.
    held: BTreeMap<Process, u32>,
    /// Release reports under way; they may arrive late, repeated or out of order.
    reports: Vec<Command>,
    incarnations: BTreeMap<usize, u64>,
    drains: Vec<Drain>,
}

impl Model {
    fn new() -> Self {
        Self { state: state(0), ..Self::default() }
    }

    fn run(&mut self, op: u8, which: u8, amount: u8) {
        let number = usize::from(which) % HOSTS;
        let incarnation = self.incarnations.get(&number).copied().unwrap_or_default();
        match op % 11 {
            0 | 1 => self.join(number, incarnation),
            2 => self.step(&leaving(number, incarnation)),
            3 => self.end_lease(which),
            4 => self.toggle_drain(number),
            5 | 6 => self.learn(which),
            7 => self.open(which, u32::from(amount) % (LIMIT + 1)),
            8 => self.close_and_report(which, u32::from(amount) % 4),
            _ => self.deliver(which, amount.is_multiple_of(2)),
        }
        self.check();
    }

    fn step(&mut self, command: &Command) {
        step(&mut self.state, command);
    }

    fn join(&mut self, number: usize, incarnation: u64) {
        let host = host(number, incarnation + 1);
        self.incarnations.insert(number, incarnation + 1);
        self.learned.insert((host.id.clone(), host.incarnation), ClusterView::default());
        self.step(&Command::HostJoined(host));
    }

    /// A process has closed its connections before its lease is counted as ended.
    fn end_lease(&mut self, which: u8) {
        let Some(process) = self.process(which) else { return };
        self.held.remove(&process);
        self.learned.remove(&process);
        let (host, incarnation) = process;
        self.step(&Command::HostLeft { host, incarnation });
    }

    fn toggle_drain(&mut self, number: usize) {
        let drain = Drain::Host(host(number, 1).id);
        match self.drains.iter().position(|known| *known == drain) {
            Some(index) => drop(self.drains.remove(index)),
            None => self.drains.push(drain),
        }
        let version = self.state.view.version;
        self.step(&apply(&format!("drain-{version}"), version, desired(self.drains.clone())));
    }

    fn learn(&mut self, which: u8) {
        let Some(process) = self.process(which) else { return };
        self.learned.insert(process, self.state.view.clone());
    }

    fn open(&mut self, which: u8, wanted: u32) {
        let Some(process) = self.process(which) else { return };
        let owner = self.assignment(&process, |it| it.owner.as_ref());
        if let Some(owner) = owner {
            let held = self.held.entry(process).or_default();
            *held = (*held).max(wanted.min(owner.connections));
        }
    }

    fn close_and_report(&mut self, which: u8, closed: u32) {
        let Some(process) = self.process(which) else { return };
        let Some(previous) = self.assignment(&process, |it| it.previous.as_ref()) else { return };
        let held = self.held.entry(process).or_default();
        *held = held.saturating_sub(closed);
        let (instance, epoch, kept) = (instance(0).id, previous.epoch, *held);
        self.reports.push(Command::OwnershipReleased { instance, epoch, kept });
    }

    fn deliver(&mut self, which: u8, repeat: bool) {
        if self.reports.is_empty() {
            return;
        }
        let index = usize::from(which) % self.reports.len();
        let report = self.reports[index].clone();
        if !repeat {
            self.reports.remove(index);
        }
        self.step(&report);
    }

    /// Ends all transfers; then every instance must be at its best host.
    fn settle(&mut self) {
        for round in 0.. {
            let waiting = (0..3).filter_map(|number| of(&self.state, number).previous.as_ref());
            let epochs = waiting.map(|previous| previous.epoch).collect::<Vec<_>>();
            if epochs.is_empty() {
                break;
            }
            assert!(round < 10, "transfers do not end");
            for (number, epoch) in
                (0..3).flat_map(|number| epochs.iter().map(move |it| (number, *it)))
            {
                let instance = instance(number).id;
                self.step(&Command::OwnershipReleased { instance, epoch, kept: 0 });
            }
        }
        let candidates = Candidates::new(&self.state.view.hosts, &self.state.view.desired.drains);
        for instance in self.state.view.instances.values() {
            if let Some(best) = candidates.best(&instance.spec) {
                let owner = instance.owner.as_ref().expect("owner");
                assert!(owner.is_held_by(best), "{instance:?} should be at {best:?}");
                assert_eq!(owner.connections, LIMIT);
            }
        }
    }

    fn process(&self, which: u8) -> Option<Process> {
        let index = usize::from(which) % self.learned.len().max(1);
        self.learned.keys().nth(index).cloned()
    }

    fn assignment(
        &self,
        process: &Process,
        select: fn(&Instance) -> Option<&Assignment>,
    ) -> Option<Assignment> {
        let instance = self.learned[process].instances.get(&instance(0).id)?;
        select(instance).filter(|it| it.is_held_by_incarnation(&process.0, process.1)).cloned()
    }

    fn check(&self) {
        let held = self.held.values().sum::<u32>();
        assert!(held <= LIMIT, "{held} connections are open: {:?}", self.held);
        for number in 0..3 {
            let instance = of(&self.state, number);
            let both = [&instance.owner, &instance.previous].into_iter().flatten();
            let granted = both.map(|it| it.connections).sum::<u32>();
            assert!(granted <= LIMIT, "{granted} connections are granted: {instance:?}");
        }
    }
}

#[test]
fn owners_never_exceed_the_limit_and_settle_at_the_best_host() {
    fn holds(ops: Vec<(u8, u8, u8)>) -> bool {
        let mut model = Model::new();
        ops.into_iter().for_each(|(op, which, amount)| model.run(op, which, amount));
        model.settle();
        true
    }
    let check = holds as fn(Vec<(u8, u8, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(300, SEED)).tests(400).quickcheck(check);
}

#[test]
fn new_owner_gets_what_the_earlier_one_released() {
    let mut state = state(4);
    let [Some((first, LIMIT)), None] = owners(&state, 0) else { panic!("no single owner") };
    let number = first.strip_prefix("host-").expect("name").parse::<usize>().expect("number");
    step(&mut state, &leaving(number, 1));
    let epoch = of(&state, 0).previous.as_ref().expect("earlier owner").epoch;
    let [Some((second, 0)), Some((_, LIMIT))] = owners(&state, 0) else { panic!("no transfer") };
    assert_ne!(first, second);

    let report = |epoch: Epoch, kept: u32| Command::OwnershipReleased {
        instance: instance(0).id,
        epoch,
        kept,
    };
    let cases = [
        (report(epoch, 6), 9, Some(6), "the owner takes over 9 connections"),
        (report(epoch, 8), 9, Some(6), "a late report does not raise what is kept"),
        (report(Epoch(99), 0), 9, Some(6), "a report of another epoch has no effect"),
        (report(epoch, 0), LIMIT, None, "the earlier assignment ends"),
        (report(epoch, 0), LIMIT, None, "a repeated report has no effect"),
    ];
    for (command, owned, kept, what) in cases {
        step(&mut state, &command);
        let expected = [Some((second.clone(), owned)), kept.map(|kept| (first.clone(), kept))];
        assert_eq!(owners(&state, 0), expected, "{what}");
    }
}

#[test]
fn further_move_waits_until_the_earlier_assignment_has_ended() {
    let mut state = state(6);
    let owner = |state: &ClusterState| of(state, 0).owner.clone().expect("owner");
    let leave = |assignment: &Assignment| Command::HostLeaving {
        host: assignment.host.clone(),
        incarnation: assignment.incarnation,
    };
    let first = owner(&state);
    step(&mut state, &leave(&first));
    let second = owner(&state);
    step(&mut state, &leave(&second));
    assert_eq!(owner(&state), second, "the second move waits");

    let (instance, epoch) = (instance(0).id, first.epoch);
    step(&mut state, &Command::OwnershipReleased { instance, epoch, kept: 0 });
    let third = owner(&state);
    assert!(third.host != second.host && third.host != first.host);
    assert_eq!(of(&state, 0).previous, None, "the second owner was never granted a connection");
    assert_eq!(third.connections, LIMIT);
}

#[test]
fn ownership_prefers_the_failure_domain_of_the_instance() {
    let state = state(6);
    for number in 0..3 {
        let owner = of(&state, number).owner.clone().expect("owner");
        let spec = &state.view.hosts[&owner.host];
        assert_eq!(spec.failure_domain, of(&state, number).spec.failure_domain);
    }
}

#[test]
fn incremental_placement_matches_a_full_choice() {
    // A join is checked by two scores for each instance; the result must not depend on
    // the order in which hosts and instances arrive.
    let reference = state(8);
    for order in [[7, 6, 5, 4, 3, 2, 1, 0], [3, 0, 7, 1, 6, 2, 5, 4]] {
        let mut state = state(0);
        for number in order {
            step(&mut state, &joined(number, 1));
            for instance in 0..3 {
                if let Some(previous) = of(&state, instance).previous.clone() {
                    let (id, epoch) = (of(&state, instance).spec.id.clone(), previous.epoch);
                    let released = Command::OwnershipReleased { instance: id, epoch, kept: 0 };
                    step(&mut state, &released);
                }
            }
        }
        for number in 0..3 {
            assert_eq!(owners(&state, number), owners(&reference, number), "order {order:?}");
        }
    }
}
