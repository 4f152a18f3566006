//! Fairness and bounds of the queue for an instance's slots.

use std::collections::BTreeMap;

use pomelopin::{
    clock::Millis,
    ids::Workspace,
    pool::scheduler::{FairQueue, Fifo, Flow, QueueFull, Scheduler, SchedulingPolicy, Ticket},
    settings::owner::QueueSettings,
};

const SLOTS: u32 = 2;
/// Time that a statement holds its slot.
const SERVICE_MS: u64 = 10;
/// Statements per second that the slots can run.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;
const WORKSPACES: u64 = 8;
const RUN_MS: u64 = 20_000;
/// Time that a request may wait before it is refused.
const PATIENCE_MS: u64 = 200;

fn flow(number: u64) -> Flow {
    Some(Workspace::from(format!("w{number}")))
}

fn scheduler<P: SchedulingPolicy>() -> Scheduler<P> {
    Scheduler::new(SLOTS, QueueSettings::default())
}

/// Runs eight workspaces at nine tenths of their fair share, the first one at
/// `factor` times its rate; returns served divided by requested for each.
fn served_shares<P: SchedulingPolicy>(factor: u64) -> Vec<f64> {
    let mut scheduler = scheduler::<P>();
    let mut owners: BTreeMap<Ticket, u64> = BTreeMap::new();
    let mut running: Vec<u64> = Vec::new();
    let (mut asked, mut served) = ([0_u64; WORKSPACES as usize], [0_u64; WORKSPACES as usize]);
    let rate = CAPACITY * 9 / 10 / WORKSPACES;
    for now in 0..RUN_MS {
        running.retain(|end| {
            let ended = *end <= now;
            if ended {
                scheduler.release_slot();
            }
            !ended
        });
        for number in 0..WORKSPACES {
            let sent = if number == 0 { rate * factor } else { rate };
            // Arrivals are evenly spaced, each workspace with its own offset.
            let due = (now * sent + number * 117) / 1_000;
            while asked[number as usize] < due {
                asked[number as usize] += 1;
                let deadline = Millis(now + PATIENCE_MS);
                if let Ok(ticket) = scheduler.enqueue(&flow(number), rate as u32, deadline) {
                    owners.insert(ticket, number);
                }
            }
        }
        while let Some(ticket) = scheduler.start_next(Millis(now)) {
            served[owners[&ticket] as usize] += 1;
            running.push(now + SERVICE_MS);
        }
    }
    asked.iter().zip(served).map(|(asked, served)| served as f64 / *asked as f64).collect()
}

/// Guards against a workspace at ten times its rate that delays the others.
#[test]
fn one_workspace_at_ten_times_its_rate_leaves_the_others_their_share() {
    let worst = |shares: Vec<f64>| shares[1..].iter().copied().fold(f64::MAX, f64::min);
    let fair = worst(served_shares::<FairQueue>(10));
    let fifo = worst(served_shares::<Fifo>(10));
    println!("worst other workspace's share: fair {fair:.3}, first in first out {fifo:.3}");
    assert!(fair >= 0.95, "{fair}");
    assert!(fifo < 0.95, "the load is too low to show a difference: {fifo}");
    assert!(worst(served_shares::<FairQueue>(1)) >= 0.95);
}

/// Guards against weights without effect, and against a workspace that collects
/// credit while it sends nothing.
#[test]
fn slots_follow_the_weights() {
    let mut scheduler = scheduler::<FairQueue>();
    let mut owners = BTreeMap::new();
    let count = |scheduler: &mut Scheduler<FairQueue>, owners: &BTreeMap<Ticket, u64>, n: usize| {
        let mut served = [0; 2];
        for _ in 0..n {
            let ticket = scheduler.start_next(Millis(0)).expect("requests wait");
            served[owners[&ticket] as usize] += 1;
            scheduler.release_slot();
        }
        served
    };
    let mut add = |scheduler: &mut Scheduler<FairQueue>, number: u64, weight, n: usize| {
        for _ in 0..n {
            let ticket = scheduler.enqueue(&flow(number), weight, Millis(1)).expect("not full");
            owners.insert(ticket, number);
        }
        owners.clone()
    };
    let owners = add(&mut scheduler, 0, 10, 200);
    count(&mut scheduler, &owners, 100);
    let owners = add(&mut scheduler, 1, 30, 200);
    let [light, heavy] = count(&mut scheduler, &owners, 80);
    assert!((18..=22).contains(&light), "{light} to {heavy} with weights 1 to 3");
}

/// Guards against queues without bound, slots that leak and requests that run after
/// their deadline.
#[test]
fn queue_is_bounded_and_frees_its_places() {
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
    let late = scheduler.enqueue(&None, 1, soon).expect("a place is free");
    scheduler.release_slot();
    assert_eq!(scheduler.start_next(Millis(20)), second.ok(), "expired requests don't run");
    assert!(!scheduler.cancel(late));
    assert_eq!(scheduler.waiting(), 0);
}
