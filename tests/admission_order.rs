//! Order of one target's queue, removal from it, return times and retry budget.

use pomelopin::{
    clock::Millis,
    gateway::{
        job::JobError,
        retry_budget::{RetryBudgets, is_costly},
        return_time::ReturnTimes,
        urgency::{Level, SlotRequest, Urgency, UrgencyQueue},
    },
    ids::{Service, Workspace},
    pool::scheduler::Ticket,
};

/// One slot; statements take 15 ms, which is assumed before the first sample.
const CAPACITY: u32 = 1;

fn request(priority: u32, latency_left: u64, time_left: u64) -> SlotRequest<'static> {
    let urgency = Urgency { latency_left: Millis(latency_left), time_left: Millis(time_left) };
    SlotRequest { workspace: None, priority, max_wait: Millis(time_left), urgency }
}

fn push(queue: &mut UrgencyQueue, request: &SlotRequest<'_>) -> (Ticket, Level) {
    let place = queue.push(Millis(0), CAPACITY, Millis(0), request).expect("the request may wait");
    (place.ticket, place.level)
}

/// Guards against an urgent request that is refused, or served late, because of waiting work that
/// it overtakes.
#[test]
fn urgent_request_is_admitted_to_a_long_queue() {
    let mut queue = UrgencyQueue::default();
    while queue.push(Millis(0), CAPACITY, Millis(0), &request(2, 10_000, 600)).is_ok() {}
    assert!(queue.len() > 30);
    let (urgent, level) = push(&mut queue, &request(0, 60, 600));
    assert_eq!(level, Level::InTime);
    let position = (0..3).position(|_| queue.pop() == Some(urgent));
    assert!(position.is_some(), "the request is not among the first");
}

/// Guards against late requests that delay those in time, and against late ones that starve.
#[test]
fn late_requests_get_one_slot_in_eight() {
    let mut queue = UrgencyQueue::default();
    let (late, level) = push(&mut queue, &request(0, 0, 5_000));
    assert_eq!(level, Level::Late);
    let others: Vec<Ticket> =
        (0..20).map(|_| push(&mut queue, &request(2, 5_000, 5_000)).0).collect();
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order.iter().position(|it| *it == late), Some(7));
    assert_eq!(order.len(), others.len() + 1);
}

/// Guards against a workspace that delays the requests of others of the same priority.
#[test]
fn workspaces_share_a_priority() {
    let mut queue = UrgencyQueue::default();
    let names = ["loud", "quiet"].map(Workspace::from);
    let of =
        |name: usize| SlotRequest { workspace: Some(&names[name]), ..request(1, 5_000, 5_000) };
    for _ in 0..20 {
        push(&mut queue, &of(0));
    }
    let (quiet, _) = push(&mut queue, &of(1));
    assert!((0..3).any(|_| queue.pop() == Some(quiet)));
}

/// Guards against requests that keep their place when they can only be answered late, and against
/// requests that wait although nobody can use their answers any more.
#[test]
fn requests_become_late_and_are_removed() {
    let mut queue = UrgencyQueue::default();
    let (first, _) = push(&mut queue, &request(0, 40, 200));
    let (second, _) = push(&mut queue, &request(2, 2_000, 2_000));
    assert_eq!(queue.expire(Millis(25)), []);
    assert_eq!(queue.expire(Millis(30)), [], "late, but not over");
    assert_eq!(queue.pop(), Some(second));
    assert_eq!(queue.expire(Millis(186)), [first], "15 ms are not left");
    assert!(queue.is_empty());
    assert!(!queue.remove(first));
}

/// Guards against a request that is refused although a slot is free, when it is late or statements
/// have taken long before.
#[test]
fn empty_queue_takes_any_request_with_time_left() {
    let mut queue = UrgencyQueue::default();
    queue.record_service_time(0, Millis(5_000));
    push(&mut queue, &request(0, 0, 10));
    assert!(
        queue.push(Millis(0), CAPACITY, Millis(0), &request(0, 0, 10)).is_err(),
        "one waits already"
    );
    assert!(
        UrgencyQueue::default().push(Millis(0), CAPACITY, Millis(0), &request(0, 0, 0)).is_err()
    );
}

/// Guards against refused callers that all return at the same time, in the wrong order or never.
#[test]
fn returns_are_spread_by_urgency_and_order() {
    let mut returns = ReturnTimes::default();
    let mut book = |at, priority| returns.book(Millis(at), priority, Millis(100), 10.0).0;
    assert_eq!([book(0, 1), book(0, 1), book(0, 2), book(0, 1)], [140, 180, 220, 220]);
    assert_eq!(book(0, 0), 140, "the most urgent caller returns first");
    assert_eq!(book(200, 1), 140, "earlier returns are no longer ahead");
    assert!((0..200).map(|_| book(200, 2)).max() == Some(2_000));
    let soon = ReturnTimes::default().book(Millis(0), 0, Millis(0), 0.5);
    assert_eq!(soon, Millis(20));
}

/// Guards against further attempts that multiply the load while most attempts fail.
#[test]
fn further_attempts_are_a_tenth_of_the_first_ones() {
    let service = Service::from("ledger");
    let mut budgets = RetryBudgets::default();
    let saved = (0..1_000).take_while(|_| budgets.take(&service)).count();
    assert_eq!(saved, 20);
    let mut further = 0;
    for _ in 0..1_000 {
        budgets.record_first_attempt(&service);
        further += u32::from(budgets.take(&service));
    }
    assert!((95..=101).contains(&further), "{further}");
    assert!(budgets.take(&Service::from("other")), "services have their own budgets");
    assert!(is_costly(&Err(JobError::Lost)) && !is_costly(&Err(JobError::Unreachable)));
}
