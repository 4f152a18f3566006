//! Budget for callers' bytes and slots of connections: who is refused and who is closed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use futures::FutureExt;
use pomelopin::{
    adapters::{
        byte_budget::{ByteBudget, ByteHolder},
        connection_slots::{Admission, ConnectionSlot, ConnectionSlots},
    },
    settings::session_limits::ByteLimits,
};
use quickcheck::quickcheck;

const TOTAL: u64 = 1_000;
const RESERVED: u64 = 250;
const SMALL: u64 = 10;

fn budget() -> ByteBudget {
    let limits = ByteLimits { total: TOTAL, reserved_for_small: RESERVED, small_holder: SMALL };
    ByteBudget::new(Some(limits))
}

fn holder(budget: &ByteBudget, bytes: u64) -> ByteHolder {
    let holder = budget.holder();
    assert_eq!(reserve(&holder, bytes), Outcome::Reserved);
    holder
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Reserved,
    Waits,
    Refused,
}

fn reserve(holder: &ByteHolder, bytes: u64) -> Outcome {
    match holder.reserve(bytes).now_or_never() {
        Some(Ok(())) => Outcome::Reserved,
        Some(Err(_)) => Outcome::Refused,
        None => Outcome::Waits,
    }
}

fn is_closed(holder: &ByteHolder) -> bool {
    holder.closed().now_or_never().is_some()
}

/// Guards against large messages that leave no room for small ones.
#[test]
fn large_holders_leave_the_share_of_small_ones() {
    let budget = budget();
    let large = [holder(&budget, 375), holder(&budget, 375)];
    assert_eq!(reserve(&budget.holder(), 375), Outcome::Refused);
    let small: Vec<_> = (0..RESERVED / SMALL).map(|_| holder(&budget, SMALL)).collect();
    assert!(large.iter().all(|holder| !is_closed(holder)));
    assert_eq!(budget.held(), TOTAL);
    drop((large, small));
    assert_eq!(budget.held(), 0);
}

/// Guards against a small request that is refused, or closes another small one, while a large
/// holder could make room, and against memory that is used before it is free.
#[test]
fn the_largest_holder_is_closed_first() {
    let budget = budget();
    let (larger, large) = (holder(&budget, 400), holder(&budget, 350));
    let small: Vec<_> = (0..RESERVED / SMALL).map(|_| holder(&budget, SMALL)).collect();
    let last = budget.holder();
    assert_eq!(reserve(&last, 1), Outcome::Waits);
    assert!(is_closed(&larger));
    assert!(![&large, &last].into_iter().chain(&small).any(is_closed));
    assert_eq!(reserve(&larger, 1), Outcome::Refused, "a closed holder gets nothing more");
    drop(larger);
    assert_eq!(reserve(&last, 1), Outcome::Reserved);
    assert_eq!(budget.held(), 350 + RESERVED + 1);
}

/// Guards against a session that is closed while its statement runs, so that its caller cannot
/// learn the outcome.
#[test]
fn a_holder_with_a_statement_under_way_is_not_closed() {
    let budget = budget();
    let (busy, other) = (holder(&budget, 400), holder(&budget, 350));
    busy.set_closable(false).unwrap();
    assert_eq!(reserve(&budget.holder(), 360), Outcome::Refused);
    assert!(!is_closed(&busy) && !is_closed(&other));
    assert_eq!(reserve(&budget.holder(), 300), Outcome::Waits);
    assert!(!is_closed(&busy) && is_closed(&other));
    assert!(other.set_closable(false).is_err(), "a closed session begins no statement");
}

/// Guards against a limit where the settings name none.
#[test]
fn a_budget_without_limits_refuses_nothing() {
    let budget = ByteBudget::new(None);
    let holder = holder(&budget, u64::from(u32::MAX));
    assert_eq!(reserve(&holder, u64::from(u32::MAX)), Outcome::Reserved);
}

quickcheck! {
    /// Guards against reservations that exceed the budget and against bytes that are never
    /// returned.
    fn reservations_stay_within_the_budget(steps: Vec<(u8, u16, bool)>) -> bool {
        let budget = budget();
        let mut holders: Vec<_> = (0..8).map(|_| (budget.holder(), 0)).collect();
        for (index, bytes, release) in steps {
            let (holder, held) = &mut holders[usize::from(index % 8)];
            let bytes = u64::from(bytes % 500);
            if release {
                let bytes = bytes.min(*held);
                holder.release(bytes);
                *held -= bytes;
            } else if reserve(holder, bytes) == Outcome::Reserved {
                *held += bytes;
            }
            if budget.held() > TOTAL {
                return false;
            }
        }
        drop(holders);
        budget.held() == 0
    }
}

fn admitted(admission: Admission) -> ConnectionSlot {
    match admission {
        Admission::Free(slot) | Admission::Replaced(slot) => slot,
        Admission::Full => panic!("no slot is free"),
    }
}

/// Guards against connections that send nothing and keep out ordinary clients, and against a
/// connection in use that is closed for a new one.
#[test]
fn the_connection_that_waits_longest_is_replaced() {
    let slots = ConnectionSlots::new(3);
    let taken: Vec<_> = (0..3).map(|_| admitted(slots.admit())).collect();
    taken[0].set_waits_for_client(false);
    let fourth = admitted(slots.admit());
    let closed = |slot: &ConnectionSlot| slot.closed().now_or_never().is_some();
    assert_eq!(taken.iter().map(closed).collect::<Vec<_>>(), [false, true, false]);
    taken[2].set_waits_for_client(false);
    fourth.set_waits_for_client(false);
    assert!(matches!(slots.admit(), Admission::Full));
    drop(fourth);
    assert!(matches!(slots.admit(), Admission::Free(_)));
}
