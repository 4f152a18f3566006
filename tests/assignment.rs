//! Tests of ownership transfer. They guard against owners that together exceed an
//! instance's connection limit, and against ownership that stays with leaving hosts.

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

/// Hosts that act on views of different ages, as in a real cluster.
#[derive(Default)]
struct Model {
    state: ClusterState,
    /// Latest view that each live process has received.
    views: BTreeMap<Process, ClusterView>,
    /// Connections that each process holds to instance 0.
    held: BTreeMap<Process, u32>,
    /// Release reports in flight. They may arrive late, repeatedly or out of order.
    reports: Vec<Command>,
    incarnations: BTreeMap<usize, u64>,
    drains: Vec<Drain>,
}

impl Model {
    fn new() -> Self {
        Self { state: cluster_state(0), ..Self::default() }
    }

    fn run(&mut self, op: u8, which: u8, amount: u8) {
        let number = usize::from(which) % HOSTS;
        let incarnation = self.incarnations.get(&number).copied().unwrap_or_default();
        match op % 11 {
            0 | 1 => self.join(number, incarnation),
            2 => self.step(&host_leaving(number, incarnation)),
            3 => self.end_lease(which),
            4 => self.toggle_drain(number),
            5 | 6 => self.receive_view(which),
            7 => self.open(which, u32::from(amount) % (CONNECTION_LIMIT + 1)),
            8 => self.close_and_report(which, u32::from(amount) % 4),
            _ => self.deliver(which, amount.is_multiple_of(2)),
        }
        self.check_limits();
    }

    fn step(&mut self, command: &Command) {
        apply_checked(&mut self.state, command);
    }

    fn join(&mut self, number: usize, incarnation: u64) {
        let host = host(number, incarnation + 1);
        self.incarnations.insert(number, incarnation + 1);
        self.views.insert((host.id.clone(), host.incarnation), ClusterView::default());
        self.step(&Command::HostJoined(host));
    }

    /// Ends the lease of a process. The process has closed its connections by then.
    fn end_lease(&mut self, which: u8) {
        let Some(process) = self.process(which) else { return };
        self.held.remove(&process);
        self.views.remove(&process);
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
        self.step(&apply_command(
            &format!("drain-{version}"),
            version,
            desired_state(self.drains.clone()),
        ));
    }

    fn receive_view(&mut self, which: u8) {
        let Some(process) = self.process(which) else { return };
        self.views.insert(process, self.state.view.clone());
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
        let (instance, epoch, kept) = (instance_spec(0).id, previous.epoch, *held);
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

    /// Completes all transfers and checks that every instance is at its best host.
    fn finish_transfers(&mut self) {
        for round in 0.. {
            let unfinished =
                (0..3).filter_map(|number| instance_in(&self.state, number).previous.as_ref());
            let epochs = unfinished.map(|previous| previous.epoch).collect::<Vec<_>>();
            if epochs.is_empty() {
                break;
            }
            assert!(round < 10, "transfers do not end");
            for (number, epoch) in
                (0..3).flat_map(|number| epochs.iter().map(move |it| (number, *it)))
            {
                let instance = instance_spec(number).id;
                self.step(&Command::OwnershipReleased { instance, epoch, kept: 0 });
            }
        }
        let candidates = Candidates::new(&self.state.view.hosts, &self.state.view.desired.drains);
        for instance in self.state.view.instances.values() {
            if let Some(best) = candidates.best(&instance.spec) {
                let owner = instance.owner.as_ref().expect("owner");
                assert!(owner.is_held_by(best), "{instance:?} should be at {best:?}");
                assert_eq!(owner.connections, CONNECTION_LIMIT);
            }
        }
    }

    fn process(&self, which: u8) -> Option<Process> {
        let index = usize::from(which) % self.views.len().max(1);
        self.views.keys().nth(index).cloned()
    }

    fn assignment(
        &self,
        process: &Process,
        select: fn(&Instance) -> Option<&Assignment>,
    ) -> Option<Assignment> {
        let instance = self.views[process].instances.get(&instance_spec(0).id)?;
        select(instance).filter(|it| it.is_held_by_incarnation(&process.0, process.1)).cloned()
    }

    fn check_limits(&self) {
        let held = self.held.values().sum::<u32>();
        assert!(held <= CONNECTION_LIMIT, "{held} connections are open: {:?}", self.held);
        for number in 0..3 {
            let instance = instance_in(&self.state, number);
            let both = [&instance.owner, &instance.previous].into_iter().flatten();
            let granted = both.map(|it| it.connections).sum::<u32>();
            assert!(granted <= CONNECTION_LIMIT, "{granted} connections are granted: {instance:?}");
        }
    }
}

/// Guards against owners that together exceed the connection limit, and against
/// transfers that do not end at the best host, for random orders of events.
#[test]
fn owners_never_exceed_the_limit_and_end_at_the_best_host() {
    fn holds(ops: Vec<(u8, u8, u8)>) -> bool {
        let mut model = Model::new();
        ops.into_iter().for_each(|(op, which, amount)| model.run(op, which, amount));
        model.finish_transfers();
        true
    }
    let check = holds as fn(Vec<(u8, u8, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(300, SEED)).tests(400).quickcheck(check);
}

/// Guards against a budget of the new owner that does not follow the release reports of
/// the previous one, which may arrive late or repeatedly.
#[test]
fn new_owner_gets_the_connections_that_the_previous_owner_released() {
    let mut state = cluster_state(4);
    let [Some((first, CONNECTION_LIMIT)), None] = owners(&state, 0) else {
        panic!("no single owner")
    };
    let number = first.strip_prefix("host-").expect("name").parse::<usize>().expect("number");
    apply_checked(&mut state, &host_leaving(number, 1));
    let epoch = instance_in(&state, 0).previous.as_ref().expect("previous owner").epoch;
    let [Some((second, 0)), Some((_, CONNECTION_LIMIT))] = owners(&state, 0) else {
        panic!("no transfer")
    };
    assert_ne!(first, second);

    let report = |epoch: Epoch, kept: u32| Command::OwnershipReleased {
        instance: instance_spec(0).id,
        epoch,
        kept,
    };
    let cases = [
        (report(epoch, 6), 9, Some(6), "the owner takes over 9 connections"),
        (report(epoch, 8), 9, Some(6), "a late report does not raise what is kept"),
        (report(Epoch(99), 0), 9, Some(6), "a report of another epoch has no effect"),
        (report(epoch, 0), CONNECTION_LIMIT, None, "the previous assignment ends"),
        (report(epoch, 0), CONNECTION_LIMIT, None, "a repeated report has no effect"),
    ];
    for (command, owned, kept, what) in cases {
        apply_checked(&mut state, &command);
        let expected = [Some((second.clone(), owned)), kept.map(|kept| (first.clone(), kept))];
        assert_eq!(owners(&state, 0), expected, "{what}");
    }
}

/// Guards against a second move during a transfer, after which three hosts could hold
/// connections.
#[test]
fn further_move_waits_until_the_previous_assignment_has_ended() {
    let mut state = cluster_state(6);
    let owner = |state: &ClusterState| instance_in(state, 0).owner.clone().expect("owner");
    let leave = |assignment: &Assignment| Command::HostLeaving {
        host: assignment.host.clone(),
        incarnation: assignment.incarnation,
    };
    let first = owner(&state);
    apply_checked(&mut state, &leave(&first));
    let second = owner(&state);
    apply_checked(&mut state, &leave(&second));
    assert_eq!(owner(&state), second, "the second move waits");

    let (instance, epoch) = (instance_spec(0).id, first.epoch);
    apply_checked(&mut state, &Command::OwnershipReleased { instance, epoch, kept: 0 });
    let third = owner(&state);
    assert!(third.host != second.host && third.host != first.host);
    assert_eq!(
        instance_in(&state, 0).previous,
        None,
        "the second owner was never granted a connection"
    );
    assert_eq!(third.connections, CONNECTION_LIMIT);
}

/// Guards against an owner in another failure domain while a host in the instance's own
/// domain is live.
#[test]
fn ownership_prefers_the_failure_domain_of_the_instance() {
    let state = cluster_state(6);
    for number in 0..3 {
        let owner = instance_in(&state, number).owner.clone().expect("owner");
        let spec = &state.view.hosts[&owner.host];
        assert_eq!(spec.failure_domain, instance_in(&state, number).spec.failure_domain);
    }
}

/// Guards against placements that depend on the order in which hosts and instances
/// arrive.
#[test]
fn incremental_placement_matches_scoring_all_hosts() {
    // A join compares only two scores for each instance: those of the owner and the host.
    let reference = cluster_state(8);
    for order in [[7, 6, 5, 4, 3, 2, 1, 0], [3, 0, 7, 1, 6, 2, 5, 4]] {
        let mut state = cluster_state(0);
        for number in order {
            apply_checked(&mut state, &host_joined(number, 1));
            for instance in 0..3 {
                if let Some(previous) = instance_in(&state, instance).previous.clone() {
                    let (id, epoch) =
                        (instance_in(&state, instance).spec.id.clone(), previous.epoch);
                    let released = Command::OwnershipReleased { instance: id, epoch, kept: 0 };
                    apply_checked(&mut state, &released);
                }
            }
        }
        for number in 0..3 {
            assert_eq!(owners(&state, number), owners(&reference, number), "order {order:?}");
        }
    }
}
