//! Connection pool of one instance: budget, checkouts, drains and replacement.

use pomelopin::{
    clock::Millis,
    pool::connections::{CheckInOutcome, Checkout, ConnectionId, ConnectionPool, PoolAction},
    settings::owner::PoolSettings,
};
use quickcheck::{Gen, QuickCheck};

const WARM_CONNECTIONS: u32 = 4;

fn pool(budget: u32) -> ConnectionPool {
    ConnectionPool::new(PoolSettings { warm: WARM_CONNECTIONS, ..PoolSettings::default() }, budget)
}

/// Pool with all planned connections open.
fn open_pool(budget: u32) -> ConnectionPool {
    let mut pool = pool(budget);
    open_planned(&mut pool, 0);
    pool
}

fn open_planned(pool: &mut ConnectionPool, waiting: u32) {
    for action in pool.plan(Millis(0), waiting) {
        if let PoolAction::Open(id) = action {
            pool.opened(id);
        }
    }
}

fn open_count(actions: &[PoolAction]) -> usize {
    actions.iter().filter(|action| matches!(action, PoolAction::Open(_))).count()
}

/// Guards against connections in excess of the budget, and against requests that wait for
/// a new connection although the budget allows opening it ahead of demand.
#[test]
fn connections_are_opened_ahead_of_demand_within_the_budget() {
    for (budget, waiting, expected) in [(15, 0, 4), (15, 3, 7), (3, 9, 3), (0, 5, 0)] {
        let mut pool = pool(budget);
        assert_eq!(open_count(&pool.plan(Millis(0), waiting)), expected, "budget {budget}");
        assert!(pool.plan(Millis(0), waiting).is_empty(), "planned twice");
    }
    let mut pool = open_pool(15);
    assert!(pool.checkout().is_some());
    assert_eq!(open_count(&pool.plan(Millis(0), 0)), 1, "the checked-out connection is replaced");
}

/// Guards against results of an earlier checkout that reach the current user of a
/// connection.
#[test]
fn outdated_checkouts_are_stale() {
    let mut pool = open_pool(1);
    let first = pool.checkout().expect("open");
    assert_eq!(pool.check_in(first, true), CheckInOutcome::Idle);
    let second = pool.checkout().expect("open");
    assert_eq!((first.id, first.generation < second.generation), (second.id, true));
    assert!(!pool.is_current(first) && pool.is_current(second));
    assert_eq!(pool.check_in(first, true), CheckInOutcome::Stale);
    assert!(pool.is_current(second));
    assert_eq!(pool.check_in(second, false), CheckInOutcome::Close);
    assert_eq!(pool.total(), 1, "a closing connection counts towards the budget");
    pool.closed(second.id);
    assert_eq!((pool.total(), open_count(&pool.plan(Millis(0), 0))), (0, 1));
}

/// Guards against frequent attempts to connect to an instance that refuses connections.
#[test]
fn failed_connection_attempts_back_off() {
    let mut pool = pool(15);
    let mut now = Millis(0);
    let mut attempts = Vec::new();
    while now < Millis(5_000) {
        for action in pool.plan(now, 10) {
            if let PoolAction::Open(id) = action {
                attempts.push(now.0);
                pool.open_failed(now, id);
            }
        }
        now += Millis(10);
    }
    let retries = attempts.iter().filter(|at| **at > 0).count();
    assert!((5..=12).contains(&retries), "{attempts:?}");
    assert!(attempts.windows(2).all(|pair| pair[1] - pair[0] <= 1_000), "{attempts:?}");
}

/// Guards against new checkouts and aborted transactions while an instance is drained.
#[test]
fn drain_completes_with_the_last_transaction() {
    let mut pool = open_pool(15);
    let checkout = pool.checkout().expect("open");
    pool.plan(Millis(0), 0);
    pool.drain();
    assert_eq!(pool.checkout(), None);
    let closing = pool.plan(Millis(0), 5);
    assert_eq!((closing.len(), open_count(&closing)), (3, 0), "idle connections are closed");
    for action in closing {
        if let PoolAction::Close(id) = action {
            pool.closed(id);
        }
    }
    assert!(!pool.opened(ConnectionId(4)), "a connection opened during the drain must be closed");
    pool.closed(ConnectionId(4));
    assert!(pool.is_current(checkout), "the transaction continues");
    assert_eq!(pool.total(), 1);
    assert_eq!(pool.check_in(checkout, true), CheckInOutcome::Close);
    pool.closed(checkout.id);
    assert_eq!(pool.total(), 0);
}

/// Guards against a reduced budget that is ignored or that closes connections in use.
#[test]
fn reduced_budget_closes_idle_connections_first() {
    let mut pool = open_pool(6);
    let in_use: Vec<Checkout> = (0..3).filter_map(|_| pool.checkout()).collect();
    pool.set_budget(2);
    assert_eq!(pool.plan(Millis(0), 4), [PoolAction::Close(ConnectionId(0))]);
    pool.closed(ConnectionId(0));
    assert_eq!(pool.check_in(in_use[0], true), CheckInOutcome::Close);
    pool.closed(in_use[0].id);
    assert_eq!(pool.check_in(in_use[1], true), CheckInOutcome::Idle);
    assert_eq!(pool.total(), 2);
}

/// Guards against idle transactions that hold a connection forever, and against a
/// time-out of a transaction that is running a statement.
#[test]
fn idle_transactions_time_out() {
    let mut pool = open_pool(4);
    let (idle, running) = (pool.checkout().expect("open"), pool.checkout().expect("open"));
    pool.set_transaction_idle(idle, Some(Millis(100)));
    pool.set_transaction_idle(running, Some(Millis(100)));
    pool.set_transaction_idle(running, None);
    assert!(pool.timed_out_transactions(Millis(10_099)).is_empty());
    assert_eq!(pool.timed_out_transactions(Millis(10_100)), [idle]);
}

/// Guards against connections that stay open after the lease has expired.
#[test]
fn lease_expiry_closes_all_connections() {
    let mut pool = open_pool(15);
    let checkout = pool.checkout().expect("open");
    let opening = pool.plan(Millis(0), 0);
    assert_eq!(pool.suspend().len(), 4);
    assert!(!pool.is_current(checkout));
    assert_eq!((pool.checkout(), pool.plan(Millis(0), 5)), (None, Vec::new()));
    for action in opening {
        if let PoolAction::Open(id) = action {
            assert!(!pool.opened(id), "opened after the end of the lease");
        }
    }
    pool.resume();
    assert_eq!(open_count(&pool.plan(Millis(1), 0)), 4);
}

/// Guards against sequences of events that exceed the budget or give a connection to two
/// users.
#[test]
fn random_events_respect_the_budget_and_exclusive_use() {
    fn property(ops: Vec<u8>) -> bool {
        let mut pool = pool(5);
        let (mut opening, mut closing) = (Vec::new(), Vec::new());
        let mut checkouts: Vec<Checkout> = Vec::new();
        let mut now = Millis(0);
        for op in ops {
            now += Millis(20);
            let pick = usize::from(op / 8);
            match op % 8 {
                0 | 1 => {
                    for action in pool.plan(now, u32::from(op / 64)) {
                        match action {
                            PoolAction::Open(id) => opening.push(id),
                            PoolAction::Close(id) => closing.push(id),
                        }
                    }
                }
                2 if !opening.is_empty() => {
                    let id = opening.swap_remove(pick % opening.len());
                    if !pool.opened(id) {
                        closing.push(id);
                    }
                }
                3 if !opening.is_empty() => {
                    pool.open_failed(now, opening.swap_remove(pick % opening.len()));
                }
                4 | 5 => checkouts.extend(pool.checkout()),
                6 if !checkouts.is_empty() => {
                    let checkout = checkouts.swap_remove(pick % checkouts.len());
                    if pool.check_in(checkout, op % 16 < 8) == CheckInOutcome::Close {
                        closing.push(checkout.id);
                    }
                }
                7 if !closing.is_empty() => pool.closed(closing.swap_remove(pick % closing.len())),
                _ => {}
            }
            let exclusive =
                checkouts.iter().all(|a| checkouts.iter().filter(|b| a.id == b.id).count() == 1);
            if pool.total() > 5 || !exclusive || checkouts.iter().any(|c| !pool.is_current(*c)) {
                return false;
            }
        }
        true
    }
    let gen_ops = Gen::from_size_and_seed(500, 0x706f_6f6c);
    QuickCheck::new().rng(gen_ops).tests(500).quickcheck(property as fn(Vec<u8>) -> bool);
}
