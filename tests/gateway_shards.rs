//! Owners that share the work for one target by workspace.

use std::collections::HashMap;

use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost, TargetRole},
    gateway::ownership::{
        OwnerRole, Shard, connection_quota, rank_owners, shard_count, slot_share,
    },
    ids::Workspace,
};

/// Entry hosts in three failure domains.
fn hosts(count: usize) -> Vec<EntryHost> {
    let domain = |number: usize| ["a", "b", "c"][number % 3].into();
    let host = |number: usize| EntryHost {
        id: format!("h{number}").as_str().into(),
        addr: format!("h{number}:1"),
        domain: domain(number),
    };
    (0..count).map(host).collect()
}

fn target(number: usize) -> Announcement {
    Announcement {
        id: format!("t{number}").as_str().into(),
        service: "ledger".into(),
        addr: format!("t{number}:1"),
        domain: ["a", "b", "c"][number % 3].into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 4,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    }
}

fn workspace(number: usize) -> Workspace {
    Workspace::from(format!("w{number}").as_str())
}

/// Work of the busiest host, as a share of all work, when one target gets a third of it.
fn busiest_share(shards: u32) -> f64 {
    let (hosts, targets) = (hosts(80), 24);
    let mut work: HashMap<String, f64> = HashMap::new();
    for number in 0..targets {
        let target = target(number);
        let weight = if number == 0 { 1.0 / 3.0 } else { 2.0 / 3.0 / (targets - 1) as f64 };
        for w in 0..84 {
            let shard = Shard::of(&workspace(w), shards);
            let owner = rank_owners(&target, shard, &hosts)[0];
            *work.entry(owner.id.to_string()).or_default() += weight / 84.0;
        }
    }
    work.values().copied().fold(0.0, f64::max)
}

/// Guards against a busy target whose whole traffic passes through the link of one host.
#[test]
fn busy_target_is_shared_by_several_owners() {
    let (one, four) = (busiest_share(1), busiest_share(4));
    assert!(four <= one / 2.0, "{four} of the work at one host, {one} with a single owner");
}

/// Guards against owners that together hold more connections to a target than it accepts, also
/// while each shard has a fallback owner.
#[test]
fn owners_of_all_shards_keep_the_connection_limit() {
    for max_connections in [1, 16, 28, 50, 70, 112, 500] {
        for (hosts, targets) in [(7, 9), (60, 24), (80, 24), (137, 24), (291, 60)] {
            let shards = shard_count(hosts, targets, max_connections);
            let quota = |role| connection_quota(max_connections, hosts, shards, role, false);
            let owners: u32 = (0..shards).map(|_| quota(OwnerRole::Owner(1))).sum();
            let fallbacks: u32 = (0..shards).map(|_| quota(OwnerRole::Fallback)).sum();
            assert!(owners <= (max_connections * 3 / 4).max(shards));
            assert!(owners + fallbacks <= max_connections.max(2 * shards));
            assert_eq!(quota(OwnerRole::Owner(shards)), (max_connections * 3 / 4).max(1));
        }
    }
}

/// Guards against several owners where there are too few hosts or connections for them, and where
/// the single owner of before is kept.
#[test]
fn small_deployments_keep_one_owner() {
    assert_eq!(shard_count(7, 9, 28), 1);
    assert_eq!(shard_count(137, 24, 24), 1);
    assert_eq!(shard_count(0, 0, 100), 1);
    assert_eq!(shard_count(80, 24, 70), 2);
    assert_eq!(shard_count(137, 24, 112), 4);
}

/// Guards against connections of all workspaces that are closed when the number of shards changes:
/// half of them keep their owner.
#[test]
fn halving_the_shards_moves_only_the_upper_half() {
    for w in (0..200).map(workspace) {
        let (four, two) = (Shard::of(&w, 4), Shard::of(&w, 2));
        assert_eq!(four.0 % 2, two.0);
        assert!(four.0 >= 2 || four == two);
    }
}

/// Guards against slots that no owner of a target may use.
#[test]
fn owners_use_all_slots() {
    for (slots, shards) in [(1, 1), (2, 2), (3, 2), (4, 4), (5, 4)] {
        let together: u32 = (0..shards).map(|_| slot_share(slots, 1, shards)).sum();
        assert!(together >= slots, "{together} of {slots}");
        assert_eq!(slot_share(slots, shards, shards), slots);
        assert_eq!(slot_share(slots, 0, shards), slots);
    }
}
