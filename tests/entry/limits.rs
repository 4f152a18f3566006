//! Rate limits of workspaces, shared by both entry hosts.

use std::time::Duration;

use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

use crate::cluster::{Cluster, STATE_TIMEOUT, run};

/// SQLSTATE for a workspace over its rate limit.
const OVER_RATE: &str = "53400";

/// Rate of the workspace `limited` in statements per second.
const RATE: f64 = 20.0;

/// Burst of the workspace `limited` in statements.
const BURST: f64 = 10.0;

/// Time for which callers send statements.
const DURATION: Duration = Duration::from_secs(3);

/// Number of callers, more than the queues of the workspace can serve in time.
const CALLERS: usize = 24;

const SELECT: &str = "SELECT id FROM bookings";

/// Guards against hosts that enforce the rate separately and so admit a multiple of it,
/// and against refusals before the rate is used up.
#[tokio::test(flavor = "multi_thread")]
async fn rate_limit_applies_to_both_hosts_together() {
    let cluster = Cluster::start().await;
    let mut callers = JoinSet::new();
    let begun = Instant::now();
    for number in 0..CALLERS {
        let client = cluster.connect(number % 2, "limited").await;
        callers.spawn(async move {
            let (mut served, mut refused) = (0, 0);
            while begun.elapsed() < DURATION || (refused == 0 && begun.elapsed() < STATE_TIMEOUT) {
                match run(&client, SELECT).await {
                    Ok(_) => served += 1,
                    Err(code) => {
                        assert_eq!(code, OVER_RATE);
                        refused += 1;
                    }
                }
            }
            (served, refused)
        });
    }
    let counts: Vec<(u32, u32)> = callers.join_all().await;
    let allowed = RATE * begun.elapsed().as_secs_f64() + BURST;
    let served: u32 = counts.iter().map(|(served, _)| served).sum();
    let refused: u32 = counts.iter().map(|(_, refused)| refused).sum();
    assert!(f64::from(served) <= allowed, "{served} statements served, {allowed:.1} allowed");
    let least = 0.8 * RATE * DURATION.as_secs_f64();
    assert!(f64::from(served) >= least, "{served} statements served, at least {least:.1} expected");
    assert!(refused > 0);
    println!("{served} served, {allowed:.1} allowed, {refused} refused");
}

/// Guards against refusals for a workspace that stays within its rate.
#[tokio::test(flavor = "multi_thread")]
async fn workspace_within_its_rate_is_not_refused() {
    let cluster = Cluster::start().await;
    let clients = [cluster.connect(0, "limited").await, cluster.connect(1, "limited").await];
    let mut tick = interval(Duration::from_millis(100));
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < DURATION {
        tick.tick().await;
        number += 1;
        let served = run(&clients[number % 2], SELECT).await;
        assert!(served.is_ok(), "statement {number}: {served:?}");
    }
}
