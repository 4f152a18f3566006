//! Addresses at which an entry host looks for the control leader.

use pomelopin::{fleet::messages::Redirect, gateway::control_link::ControlHosts};

fn addrs(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}{number}")).collect()
}

fn redirect(leader: &str) -> Redirect {
    Redirect { leader: Some(leader.to_owned()), members: Vec::new() }
}

/// Guards against an entry host that knows only former members, although a seed is right.
#[test]
fn members_evict_no_seed() {
    let mut hosts = ControlHosts::new(addrs("seed", 3));
    for round in 0..5 {
        hosts.set_members(&addrs(&format!("member{round}-"), 7));
    }
    hosts.set_members(&addrs("former", 40));
    let tried: Vec<_> = (0..40).filter_map(|_| hosts.next_address()).collect();
    for seed in addrs("seed", 3) {
        assert!(tried.contains(&seed), "{seed} is not tried: {tried:?}");
    }
}

/// Guards against new seeds that are lost among former members.
#[test]
fn new_seeds_are_kept() {
    let mut hosts = ControlHosts::new(addrs("seed", 3));
    hosts.set_members(&addrs("member", 16));
    hosts.set_seeds(addrs("new", 3));
    hosts.set_members(&addrs("other", 16));
    let tried: Vec<_> = (0..25).filter_map(|_| hosts.next_address()).collect();
    for seed in addrs("new", 3) {
        assert!(tried.contains(&seed), "{seed} is not tried: {tried:?}");
    }
}

/// Guards against two hosts outside the group that name each other as the leader: the entry host
/// tried no other host.
#[test]
fn hosts_that_name_each_other_do_not_hide_the_others() {
    let mut hosts = ControlHosts::new(["a", "b", "right"].map(str::to_owned).into());
    for _ in 0..20 {
        match hosts.next_address().expect("address").as_str() {
            "a" => hosts.redirect(redirect("b")),
            "b" => hosts.redirect(redirect("a")),
            _ => return,
        }
    }
    panic!("the right seed was not tried");
}

/// Guards against a leader that is tried only after all other hosts.
#[test]
fn named_leader_is_tried_next() {
    let mut hosts = ControlHosts::new(addrs("seed", 3));
    assert_eq!(hosts.next_address().as_deref(), Some("seed0"));
    hosts.redirect(redirect("leader"));
    assert_eq!(hosts.next_address().as_deref(), Some("leader"));
    assert_eq!(hosts.next_address().as_deref(), Some("seed1"));
}
