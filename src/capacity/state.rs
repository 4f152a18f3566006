//! Slopes of the replicated state: changes, deltas, snapshots and ownership moves.

use indexmap::IndexSet;

use super::{
    fleet::{self, DOMAINS, FleetSize, TARGET},
    slope::{Slope, mean_us},
};
use crate::{
    ids::{HostId, Incarnation, Revision, Workspace},
    state::{
        delta::ChangeHistory,
        model::{ClusterState, Command, Host, InstanceSpec},
    },
};

/// Hosts of the measured fleets.
pub const HOSTS: [usize; 6] = [100, 400, 800, 1_600, 2_400, 3_200];

/// Numbers of applied files for the growth of the snapshot.
const CHANGES: [usize; 5] = [100, 500, 1_000, 5_000, 9_800];

/// Hosts that fail at once.
const FAILED: [usize; 5] = [1, 28, 100, 400, 800];

/// Encoded snapshot and time to restore it, by hosts.
pub fn snapshot() -> [Slope; 3] {
    let mut bytes = Slope::new("Snapshot size", "hosts", "bytes");
    let mut restore = Slope::new("Snapshot restore", "hosts", "us");
    let mut memory = Slope::new("View clone (one update at an entry host)", "hosts", "us");
    for hosts in HOSTS {
        let state = fleet::state(FleetSize::of_hosts(hosts));
        let encoded = postcard::to_stdvec(&state).unwrap_or_default();
        bytes.push(hosts, encoded.len() as f64);
        let decode = || postcard::from_bytes::<ClusterState>(&encoded);
        restore.push(hosts, mean_us(decode));
        memory.push(hosts, mean_us(|| state.view.clone()));
    }
    [bytes, restore, memory]
}

/// Cost of one changed workspace, by workspaces in the file.
pub fn change() -> [Slope; 3] {
    let mut time = Slope::new("Apply of a file with one change", "workspaces", "us");
    let mut log = Slope::new("Log entry of an applied file", "workspaces", "bytes");
    let mut delta = Slope::new("Delta of one change", "workspaces", "bytes");
    for hosts in HOSTS {
        let size = FleetSize::of_hosts(hosts);
        let mut state = ClusterState::default();
        let mut desired = fleet::desired(size);
        state.apply(&fleet::apply(desired.clone(), 0, 0));
        let mut version = 1;
        let mut applied = Vec::new();
        let mut entry_bytes = 0;
        let us = mean_us(|| {
            bump_rate(&mut desired.workspaces[0].rate);
            let command = fleet::apply(desired.clone(), version, 0);
            entry_bytes = postcard::to_stdvec(&command).map_or(0, |entry| entry.len());
            applied = state.apply(&command).changes;
            version += 1;
        });
        time.push(size.workspaces, us);
        log.push(size.workspaces, entry_bytes as f64);
        delta
            .push(size.workspaces, postcard::to_stdvec(&applied).map_or(0, |buf| buf.len()) as f64);
    }
    [time, log, delta]
}

fn bump_rate(rate: &mut u32) {
    *rate = if *rate == 100 { 101 } else { 100 };
}

/// Growth of the state with the number of applied files.
pub fn history() -> [Slope; 1] {
    let mut bytes = Slope::new("State after applied files (8 workspaces)", "files", "bytes");
    for changes in CHANGES {
        let mut state = ClusterState::default();
        let mut desired = fleet::desired(FleetSize { hosts: 7, services: 3, workspaces: 8 });
        for version in 0..changes as u64 {
            bump_rate(&mut desired.workspaces[&Workspace::from("workspace-00000")].rate);
            state.apply(&fleet::apply(desired.clone(), version, 4_096));
        }
        bytes.push(changes, postcard::to_stdvec(&state).map_or(0, |buf| buf.len()) as f64);
    }
    [bytes]
}

/// Time to build the update of one host that lacks one revision.
pub fn fan_out() -> [Slope; 1] {
    let mut time = Slope::new("Delta for all hosts after one change", "hosts", "us");
    for hosts in HOSTS {
        let mut state = fleet::state(FleetSize::of_hosts(hosts));
        let mut history = ChangeHistory::new(1_024);
        let applied = state.apply(&Command::HostJoined(fleet::host(hosts)));
        history.record(state.view.revision, applied.changes);
        let before = Revision(state.view.revision.0 - 1);
        let us = mean_us(|| {
            for _ in 0..hosts {
                let update = history.update_for(before, &state.view);
                std::hint::black_box(postcard::to_stdvec(&update).map_or(0, |buf| buf.len()));
            }
        });
        time.push(hosts, us);
    }
    [time]
}

/// Instances that move and time of the decision when hosts of the full fleet fail.
pub fn ownership() -> [Slope; 2] {
    let mut moved = Slope::new("Instances that get a new owner", "failed hosts", "instances");
    let mut time = Slope::new("Decision on all failed hosts", "failed hosts", "us");
    let full = fleet::state(TARGET);
    for failed in FAILED {
        let mut state = full.clone();
        // A whole failure domain is every host of one number modulo the domains.
        let lost: Vec<HostId> = (0..failed).map(|index| fleet::host_id(index * DOMAINS)).collect();
        let started = std::time::Instant::now();
        for host in &lost {
            state.apply(&Command::HostLeft { host: host.clone(), incarnation: Incarnation(1) });
        }
        time.push(failed, started.elapsed().as_secs_f64() * 1e6);
        moved.push(failed, moves(&full, &state) as f64);
    }
    [moved, time]
}

fn moves(before: &ClusterState, after: &ClusterState) -> usize {
    let owner = |state: &ClusterState, spec: &InstanceSpec| {
        let instance = state.view.instances.get(&spec.id)?;
        instance.owner.as_ref().map(|owner| owner.host.clone())
    };
    let instances = before.view.instances.values();
    instances.filter(|i| owner(before, &i.spec) != owner(after, &i.spec)).count()
}

/// Time and moved instances when one host of the full fleet restarts.
pub fn restart() -> [Slope; 1] {
    let mut time = Slope::new("Host leaves and joins again", "hosts", "us");
    for hosts in HOSTS {
        let mut state = fleet::state(FleetSize::of_hosts(hosts));
        let mut incarnation = 1;
        let us = mean_us(|| {
            let left = Command::HostLeft {
                host: fleet::host_id(0),
                incarnation: Incarnation(incarnation),
            };
            state.apply(&left);
            incarnation += 1;
            let joined = Host { incarnation: Incarnation(incarnation), ..fleet::host(0) };
            state.apply(&Command::HostJoined(joined))
        });
        time.push(hosts, us);
    }
    [time]
}

/// Share of the most loaded owner over the mean, as a check of the placement.
pub fn balance() -> (usize, f64) {
    let state = fleet::state(TARGET);
    let owners = state.view.instances.values().filter_map(|i| i.owner.as_ref());
    let mut counts = indexmap::IndexMap::<HostId, usize>::new();
    for owner in owners {
        *counts.entry(owner.host.clone()).or_default() += 1;
    }
    let largest = counts.values().copied().max().unwrap_or_default();
    let distinct: IndexSet<&HostId> = counts.keys().collect();
    (largest, state.view.instances.len() as f64 / distinct.len().max(1) as f64)
}
