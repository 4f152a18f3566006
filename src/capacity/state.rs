//! Benchmarks of the replicated state: changes, deltas, snapshots and ownership moves.

use indexmap::IndexSet;

use super::{
    fleet::{self, DESIGN_SIZE, FAILURE_DOMAINS, FleetSize},
    series::{Series, mean_us},
};
use crate::{
    ids::{HostId, Incarnation, Revision, Workspace},
    state::{
        delta::ChangeHistory,
        model::{ClusterState, Command, Host, InstanceSpec},
    },
};

/// Numbers of hosts in the measured fleets.
pub const HOST_COUNTS: [usize; 6] = [100, 400, 800, 1_600, 2_400, 3_200];

/// Numbers of applied files after which the size of the state is measured.
const APPLIED_FILE_COUNTS: [usize; 5] = [100, 500, 1_000, 5_000, 9_800];

/// Numbers of hosts that fail together.
const FAILED_HOST_COUNTS: [usize; 5] = [1, 28, 100, 400, 800];

/// Size of the encoded snapshot, time to decode it and time to clone the view, by hosts.
pub fn snapshot() -> [Series; 3] {
    let mut bytes = Series::new("Snapshot size", "hosts", "bytes");
    let mut restore = Series::new("Snapshot restore", "hosts", "us");
    let mut clone = Series::new("View clone (one update at an entry host)", "hosts", "us");
    for hosts in HOST_COUNTS {
        let state = fleet::cluster_state(FleetSize::for_hosts(hosts));
        let encoded = postcard::to_stdvec(&state).unwrap_or_default();
        bytes.push(hosts, encoded.len() as f64);
        let decode = || postcard::from_bytes::<ClusterState>(&encoded);
        restore.push(hosts, mean_us(decode));
        clone.push(hosts, mean_us(|| state.view.clone()));
    }
    [bytes, restore, clone]
}

/// Time, log entry and delta of a file that changes one workspace, by workspaces.
pub fn change() -> [Series; 3] {
    let mut time = Series::new("Apply of a file with one change", "workspaces", "us");
    let mut log = Series::new("Log entry of an applied file", "workspaces", "bytes");
    let mut delta = Series::new("Delta of one change", "workspaces", "bytes");
    for hosts in HOST_COUNTS {
        let size = FleetSize::for_hosts(hosts);
        let mut state = ClusterState::default();
        let mut desired = fleet::desired_state(size);
        state.apply(&fleet::apply_command(desired.clone(), 0, 0));
        let mut version = 1;
        let mut applied = Vec::new();
        let mut entry_bytes = 0;
        let us = mean_us(|| {
            toggle_rate(&mut desired.workspaces[0].rate);
            let command = fleet::apply_command(desired.clone(), version, 0);
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

/// Switches between two rates, so that each applied file has a change.
fn toggle_rate(rate: &mut u32) {
    *rate = if *rate == 100 { 101 } else { 100 };
}

/// Size of the encoded state, by applied files.
pub fn history() -> [Series; 1] {
    let mut bytes = Series::new("State after applied files (8 workspaces)", "files", "bytes");
    for changes in APPLIED_FILE_COUNTS {
        let mut state = ClusterState::default();
        let mut desired = fleet::desired_state(FleetSize { hosts: 7, services: 3, workspaces: 8 });
        for version in 0..changes as u64 {
            toggle_rate(&mut desired.workspaces[&Workspace::from("workspace-00000")].rate);
            state.apply(&fleet::apply_command(desired.clone(), version, 4_096));
        }
        bytes.push(changes, postcard::to_stdvec(&state).map_or(0, |buf| buf.len()) as f64);
    }
    [bytes]
}

/// Time to build and encode the updates of all hosts, each one revision behind, by hosts.
pub fn fan_out() -> [Series; 1] {
    let mut time = Series::new("Delta for all hosts after one change", "hosts", "us");
    for hosts in HOST_COUNTS {
        let mut state = fleet::cluster_state(FleetSize::for_hosts(hosts));
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

/// Instances that get a new owner, and time to decide it, when hosts of a fleet of the
/// design size fail.
pub fn ownership() -> [Series; 2] {
    let mut moved = Series::new("Instances that get a new owner", "failed hosts", "instances");
    let mut time = Series::new("Decision on all failed hosts", "failed hosts", "us");
    let full = fleet::cluster_state(DESIGN_SIZE);
    for failed in FAILED_HOST_COUNTS {
        let mut state = full.clone();
        // All failed hosts are in one failure domain, as their numbers are equal modulo
        // the number of domains.
        let failed_hosts: Vec<HostId> =
            (0..failed).map(|index| fleet::host_id(index * FAILURE_DOMAINS)).collect();
        let started = std::time::Instant::now();
        for host in &failed_hosts {
            state.apply(&Command::HostLeft { host: host.clone(), incarnation: Incarnation(1) });
        }
        time.push(failed, started.elapsed().as_secs_f64() * 1e6);
        moved.push(failed, moved_instances(&full, &state) as f64);
    }
    [moved, time]
}

fn moved_instances(before: &ClusterState, after: &ClusterState) -> usize {
    let owner = |state: &ClusterState, spec: &InstanceSpec| {
        let instance = state.view.instances.get(&spec.id)?;
        instance.owner.as_ref().map(|owner| owner.host.clone())
    };
    let instances = before.view.instances.values();
    instances.filter(|i| owner(before, &i.spec) != owner(after, &i.spec)).count()
}

/// Time to apply that one host leaves and joins again, by hosts.
pub fn restart() -> [Series; 1] {
    let mut time = Series::new("Host leaves and joins again", "hosts", "us");
    for hosts in HOST_COUNTS {
        let mut state = fleet::cluster_state(FleetSize::for_hosts(hosts));
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

/// Largest and mean number of instances per owner at the design size, to check that the
/// placement is even.
pub fn balance() -> (usize, f64) {
    let state = fleet::cluster_state(DESIGN_SIZE);
    let owners = state.view.instances.values().filter_map(|i| i.owner.as_ref());
    let mut counts = indexmap::IndexMap::<HostId, usize>::new();
    for owner in owners {
        *counts.entry(owner.host.clone()).or_default() += 1;
    }
    let largest = counts.values().copied().max().unwrap_or_default();
    let owners: IndexSet<&HostId> = counts.keys().collect();
    (largest, state.view.instances.len() as f64 / owners.len().max(1) as f64)
}
