//! Scheduler of an instance's slots: fairness, bounds and deadlines.

use std::collections::BTreeMap;

use pomelopin::{
    clock::Millis,
    ids::Workspace,
    pool::scheduler::{FairQueue, Fifo, Flow, QueueFull, Scheduler, SchedulingPolicy, Ticket},
    settings::owner::QueueSettings,
};

const SLOTS: u32 = 2;
/// Time for which a statement occupies its slot.
const SERVICE_TIME_MS: u64 = 10;
/// Statements per second that the slots can run.
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / SERVICE_TIME_MS;
const WORKSPACES: u64 = 8;
const DURATION_MS: u64 = 20_000;
/// Time that a request may wait before it is refused.
const MAX_WAIT_MS: u64 = 200;

fn flow(number: u64) -> Flow {
    Some(Workspace::from(format!("w{number}")))
}

fn scheduler<P: SchedulingPolicy>() -> Scheduler<P> {
    Scheduler::new(SLOTS, QueueSettings::default())
}

/// Runs eight workspaces at nine tenths of their fair share, the first one at
/// `overload_factor` times that rate. Returns the served share of requests of each.
fn served_shares<P: SchedulingPolicy>(overload_factor: u64) -> Vec<f64> {
    let mut scheduler = scheduler::<P>();
    let mut workspaces: BTreeMap<Ticket, u64> = BTreeMap::new();
    let mut running: Vec<u64> = Vec::new();
    let (mut requested, mut served) = ([0_u64; WORKSPACES as usize], [0_u64; WORKSPACES as usize]);
    let rate = CAPACITY_PER_S * 9 / 10 / WORKSPACES;
    for now in 0..DURATION_MS {
        running.retain(|end| {
            let ended = *end <= now;
            if ended {
                scheduler.release_slot();
            }
            !ended
        });
        for number in 0..WORKSPACES {
            let sent = if number == 0 { rate * overload_factor } else { rate };
            // Arrivals are evenly spaced, with a different offset for each workspace.
            let due = (now * sent + number * 117) / 1_000;
            while requested[number as usize] < due {
                requested[number as usize] += 1;
                let deadline = Millis(now + MAX_WAIT_MS);
                if let Ok(ticket) = scheduler.enqueue(&flow(number), rate as u32, deadline) {
                    workspaces.insert(ticket, number);
                }
            }
        }
        while let Some(ticket) = scheduler.start_next(Millis(now)) {
            served[workspaces[&ticket] as usize] += 1;
            running.push(now + SERVICE_TIME_MS);
        }
    }
    requested
        .iter()
        .zip(served)
        .map(|(requested, served)| served as f64 / *requested as f64)
        .collect()
}

/// Guards against a workspace that delays the others by sending ten times its rate.
#[test]
fn workspace_at_ten_times_its_rate_does_not_reduce_the_share_of_others() {
    let worst = |shares: Vec<f64>| shares[1..].iter().copied().fold(f64::MAX, f64::min);
    let fair = worst(served_shares::<FairQueue>(10));
    let fifo = worst(served_shares::<Fifo>(10));
    println!("worst other workspace's share: fair {fair:.3}, first in first out {fifo:.3}");
    assert!(fair >= 0.95, "{fair}");
    assert!(fifo < 0.95, "the load is too low to show a difference: {fifo}");
    assert!(worst(served_shares::<FairQueue>(1)) >= 0.95);
}

/// Guards against weights without effect, and against a workspace that accumulates credit
/// while it is idle.
#[test]
fn slots_follow_the_weights() {
    let mut scheduler = scheduler::<FairQueue>();
    let mut workspaces = BTreeMap::new();
    let serve =
        |scheduler: &mut Scheduler<FairQueue>, workspaces: &BTreeMap<Ticket, u64>, n: usize| {
            let mut served = [0; 2];
            for _ in 0..n {
                let ticket = scheduler.start_next(Millis(0)).expect("requests wait");
                served[workspaces[&ticket] as usize] += 1;
                scheduler.release_slot();
            }
            served
        };
    let mut enqueue = |scheduler: &mut Scheduler<FairQueue>, number: u64, weight, n: usize| {
        for _ in 0..n {
            let ticket = scheduler.enqueue(&flow(number), weight, Millis(1)).expect("not full");
            workspaces.insert(ticket, number);
        }
        workspaces.clone()
    };
    let workspaces = enqueue(&mut scheduler, 0, 10, 200);
    serve(&mut scheduler, &workspaces, 100);
    let workspaces = enqueue(&mut scheduler, 1, 30, 200);
    let [light, heavy] = serve(&mut scheduler, &workspaces, 80);
    assert!((18..=22).contains(&light), "{light} to {heavy} with weights 1 to 3");
}

/// Guards against unbounded queues, leaked slots and requests that start after their
/// deadline.
#[test]
fn queue_is_bounded_and_releases_slots() {
    let limits = QueueSettings { per_workspace: 2, total: 3 };
    let mut scheduler: Scheduler<FairQueue> = Scheduler::new(1, limits);
    let soon = Millis(10);
    let first = scheduler.enqueue(&flow(0), 1, soon);
    let second = scheduler.enqueue(&flow(0), 1, Millis(100));
    assert_eq!(scheduler.enqueue(&flow(0), 1, soon), Err(QueueFull::Workspace));
    let third = scheduler.enqueue(&flow(1), 1, soon).expect("not full");
    assert_eq!(scheduler.enqueue(&flow(2), 1, soon), Err(QueueFull::Total));

    assert_eq!(scheduler.start_next(Millis(0)), first.ok());
    assert_eq!(scheduler.start_next(Millis(0)), None, "the slot is in use");
    assert!(scheduler.cancel(third));
    assert!(!scheduler.cancel(third));
    let late = scheduler.enqueue(&None, 1, soon).expect("the queue has room");
    scheduler.release_slot();
    assert_eq!(scheduler.start_next(Millis(20)), second.ok(), "expired requests are not started");
    assert!(!scheduler.cancel(late));
    assert_eq!(scheduler.waiting(), 0);
}
