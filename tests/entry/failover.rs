//! Writes during the failover of a primary.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use pomelopin::ids::InstanceId;
use tokio::{sync::watch, task::JoinSet, time::Instant};
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::{
    cluster::{Cluster, STATE_TIMEOUT, client_config, connect, run, wait_until},
    idempotency::run_with_key,
};

/// SQLSTATEs after which a write may be retried with the same request key.
const RETRYABLE: [&str; 6] = ["08007", "57P03", "57014", "53300", "40001", "25006"];

/// SQLSTATE of a write with unknown outcome.
const UNKNOWN_OUTCOME: &str = "08007";

/// Number of callers that write during the network partition.
const WRITERS: usize = 8;

/// Counters of all writers.
#[derive(Default)]
struct Totals {
    acknowledged: AtomicUsize,
    unknown: AtomicUsize,
    refused: AtomicUsize,
}

/// Retries a write until it is acknowledged.
async fn write_until_acknowledged(client: &Client, key: &str, sql: &str, totals: &Totals) {
    let deadline = Instant::now() + STATE_TIMEOUT;
    loop {
        match run_with_key(client, key, sql).await {
            Ok(rows) => {
                assert_eq!(rows, 1, "{key}: {sql}");
                totals.acknowledged.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Err(code) => {
                assert!(RETRYABLE.contains(&code.as_str()), "{key}: {code}");
                assert!(Instant::now() < deadline, "{key} was not acknowledged in time: {code}");
                let counter =
                    if code == UNKNOWN_OUTCOME { &totals.unknown } else { &totals.refused };
                counter.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

async fn write_until_done(
    client: Client,
    writer: usize,
    done: watch::Receiver<bool>,
    totals: Arc<Totals>,
) {
    let mut number = 0;
    while !*done.borrow() {
        let insert = format!("INSERT INTO bookings (id) VALUES ('{writer}-{number}')");
        write_until_acknowledged(&client, &format!("b-{writer}-{number}"), &insert, &totals).await;
        let update = format!("UPDATE credits SET amount = amount + 1 WHERE id = '{writer}'");
        write_until_acknowledged(&client, &format!("c-{writer}-{number}"), &update, &totals).await;
        number += 1;
    }
}

async fn primary(cluster: &Cluster) -> Option<InstanceId> {
    cluster.status().await.groups.remove(0).primary
}

/// Guards against writes that are lost or applied twice when the primary is cut off from
/// its replicas and replaced, and against acknowledgements by the replaced primary.
#[tokio::test(flavor = "multi_thread")]
async fn failover_neither_loses_nor_repeats_writes() {
    let cluster = Cluster::start().await;
    let (done, watch) = watch::channel(false);
    let totals = Arc::new(Totals::default());
    let mut writers = JoinSet::new();
    for writer in 0..WRITERS {
        let client = cluster.connect(writer % 2, "alpha").await;
        let insert = format!("INSERT INTO credits (id, amount) VALUES ('{writer}', 0)");
        run(&client, &insert).await.unwrap();
        writers.spawn(write_until_done(client, writer, watch.clone(), totals.clone()));
    }
    let acknowledged = || totals.acknowledged.load(Ordering::SeqCst);
    wait_until("writes are acknowledged", async || acknowledged() > WRITERS * 4).await;
    let old = primary(&cluster).await.unwrap();
    let index = cluster.targets.iter().position(|t| t.instance.settings.name == old).unwrap();

    cluster.cut_replication(index);
    let cut = Instant::now();
    wait_until("another instance is the primary", async || {
        primary(&cluster).await.is_some_and(|primary| primary != old)
    })
    .await;
    let (promoted, before) = (cut.elapsed(), acknowledged());
    wait_until("writes are acknowledged again", async || acknowledged() > before + WRITERS * 4)
        .await;
    let gap = cut.elapsed();

    // The old primary still answers on its SQL port, but has no majority of replicas.
    let mut direct = client_config(cluster.targets[index].sql_addr, "pomelopin");
    let direct = connect(direct.password("pomelopin")).await.unwrap();
    let divergent = run(&direct, "INSERT INTO bookings (id) VALUES ('divergent')").await;
    if divergent.is_ok() {
        let held = direct.simple_query("SELECT pomelopin_wait_commit(200)").await.unwrap();
        let held = held.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get("held").map(str::to_owned),
            _ => None,
        });
        assert_eq!(held.as_deref(), Some("f"), "the replaced primary acknowledged a write");
    }

    cluster.targets[index].instance.faults.heal();
    tokio::time::sleep(Duration::from_millis(300)).await;
    done.send(true).unwrap();
    writers.join_all().await;
    let total = acknowledged();
    println!(
        "promotion after {promoted:?}, writes after {gap:?}; {total} writes, {} unknown, {} refused",
        totals.unknown.load(Ordering::SeqCst),
        totals.refused.load(Ordering::SeqCst),
    );
    check_rows(&cluster, total).await;
}

/// Checks the rows and the sum of increments, each half of the acknowledged writes.
async fn check_rows(cluster: &Cluster, total: usize) {
    let client = cluster.connect(0, "alpha").await;
    // A write raises the session mark above all earlier writes, so that the reads below
    // include them.
    run(&client, "UPDATE bookings SET value = 'x' WHERE id = 'none'").await.unwrap();
    let rows = run(&client, "SELECT id FROM bookings").await.unwrap();
    assert_eq!(rows.len(), total / 2, "rows of acknowledged writes");
    let sum: usize = run(&client, "SELECT amount FROM credits")
        .await
        .unwrap()
        .iter()
        .map(|amount| amount.parse::<usize>().unwrap())
        .sum();
    assert_eq!(sum, total - total / 2, "sum of acknowledged increments");
}
