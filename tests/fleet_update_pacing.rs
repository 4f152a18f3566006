//! A leader must not be held up by the updates that it sends to hundreds of entry hosts.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::update_pacing::{UpdatePacer, min_view_interval},
    ids::HostId,
};

const HOSTS: usize = 291;

/// Most hosts to which updates may be sent at once, at about 0.2 ms each on 0.15 cores.
const MAX_AT_ONCE: usize = 40;

fn hosts(count: usize) -> IndexMap<HostId, u64> {
    (0..count).map(|number| (format!("h{number}").as_str().into(), 0)).collect()
}

/// Guards against a leader that loses the lead because it sends a view to all hosts at once
/// (gaps of 300 to 490 ms, and hosts with a configuration of 5 s before, on
/// kcrc-pool-large).
#[test]
fn view_for_hundreds_of_hosts_is_sent_in_steps() {
    let (mut hosts, mut pacer) = (hosts(HOSTS), UpdatePacer::default());
    let mut now = Millis(1_000);
    while hosts.values().any(|revision| *revision == 0) {
        for _ in 0..5 {
            let chosen = pacer.next_hosts(now, &hosts, |_, revision| *revision == 0);
            assert!(chosen.len() <= MAX_AT_ONCE);
            chosen.iter().for_each(|id| hosts[id] = 1);
        }
        let sent = hosts.values().filter(|revision| **revision == 1).count();
        let steps = (now.0 - 1_000) / 25 + 1;
        assert!(sent <= MAX_AT_ONCE * steps as usize, "{sent} hosts after {steps} steps");
        now += Millis(25);
    }
    assert!(now <= Millis(1_400), "all hosts have the view after {}", now.since(Millis(1_000)));
}

/// Guards against hosts that never get an update because others are behind all the time.
#[test]
fn hosts_get_updates_in_turn() {
    let (hosts, mut pacer) = (hosts(HOSTS), UpdatePacer::default());
    let mut updates: IndexMap<HostId, usize> = IndexMap::new();
    for step in 0..100 {
        let chosen = pacer.next_hosts(Millis(1_000 + 25 * step), &hosts, |_, _| true);
        for id in chosen {
            *updates.entry(id).or_default() += 1;
        }
    }
    assert_eq!(updates.len(), HOSTS);
    let (least, most) = (updates.values().min().unwrap(), updates.values().max().unwrap());
    assert!(most - least <= 1, "{least} to {most} updates");
}

/// Guards against a delay of urgent views in a small fleet.
#[test]
fn few_hosts_get_a_view_at_once() {
    let (hosts, mut pacer) = (hosts(12), UpdatePacer::default());
    assert_eq!(pacer.next_hosts(Millis(0), &hosts, |_, _| true).len(), 12);
    assert_eq!(min_view_interval(12, true), Millis(50));
    assert_eq!(min_view_interval(12, false), Millis(400));
}
