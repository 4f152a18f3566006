//! Graceful shutdown of an entry host.

use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls};

use crate::cluster::{Cluster, code, run, wait_until};

/// SQLSTATE for callers of a host that is shutting down.
const SHUTTING_DOWN: &str = "57P01";

/// Longest time from the start of the shutdown until `/ready` answers 503.
const NOT_READY_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of callers that write during the shutdown.
const WRITERS: usize = 6;

/// Time for which they continue to write after the shutdown has finished.
const WRITE_TIME_AFTER_SHUTDOWN: Duration = Duration::from_millis(300);

/// Client with the task of its connection.
struct Connection {
    client: Client,
    ended: JoinHandle<Result<(), tokio_postgres::Error>>,
}

impl Connection {
    async fn connect(cluster: &Cluster, entry: usize) -> Self {
        let mut config = cluster.client_config(entry, "alpha");
        let (client, connection) =
            config.password(cluster.config_file.key("alpha")).connect(NoTls).await.unwrap();
        Self { client, ended: tokio::spawn(connection) }
    }

    /// SQLSTATE of the error with which the host closed the connection.
    async fn end(self) -> String {
        let end = tokio::time::timeout(Duration::from_secs(5), self.ended).await;
        let end = end.expect("the connection is still open").unwrap();
        end.map_or_else(|error| code(&error), |()| "no message".to_owned())
    }
}

/// Guards against callers that are disconnected inside a transaction, a host that still
/// reports readiness to load balancers, and instances that are left without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_disconnects_callers_between_transactions() {
    let mut cluster = Cluster::start().await;
    let idle = Connection::connect(&cluster, 0).await;
    let busy = Connection::connect(&cluster, 0).await;
    run(&idle.client, "SELECT id FROM bookings").await.unwrap();
    run(&busy.client, "BEGIN").await.unwrap();
    run(&busy.client, "INSERT INTO bookings (id) VALUES ('first')").await.unwrap();
    assert_eq!(cluster.entries[0].get("/ready").await, 200);

    let begun = Instant::now();
    let stopped = cluster.entries[0].begin_shutdown();
    wait_until("/ready answers 503", async || cluster.entries[0].get("/ready").await == 503).await;
    assert!(begun.elapsed() < NOT_READY_TIMEOUT, "{:?}", begun.elapsed());
    // Load balancers need time to notice; callers that they still send must be served.
    let late = Connection::connect(&cluster, 0).await;
    run(&late.client, "SELECT id FROM bookings").await.unwrap();

    assert_eq!(idle.end().await, SHUTTING_DOWN);
    assert_eq!(late.end().await, SHUTTING_DOWN);
    run(&busy.client, "INSERT INTO bookings (id) VALUES ('second')").await.unwrap();
    run(&busy.client, "COMMIT").await.unwrap();
    assert_eq!(busy.end().await, SHUTTING_DOWN);
    stopped.await.unwrap().unwrap();
    assert!(cluster.try_connect(0, "alpha", &cluster.config_file.key("alpha")).await.is_err());

    let status = cluster.status().await;
    assert_eq!(status.instances.len(), 3);
    for instance in &status.instances {
        let owner = instance.owner.as_ref().map(|owner| owner.host.as_str());
        assert_eq!(owner, Some(cluster.entries[1].name.as_str()), "{instance:?}");
    }
    let other = cluster.connect(1, "alpha").await;
    let rows = run(&other, "SELECT id FROM bookings").await.unwrap();
    assert_eq!(rows, ["first", "second"]);
}

/// Index of an entry host that a load balancer would choose.
async fn ready_entry(cluster: &Cluster) -> usize {
    usize::from(cluster.entries[0].get("/ready").await != 200)
}

/// Writes until `until` is true; returns the number of acknowledged writes.
async fn write_until_done(
    cluster: &Cluster,
    writer: usize,
    until: tokio::sync::watch::Receiver<bool>,
) -> usize {
    let mut caller = Connection::connect(cluster, 0).await;
    let mut written = 0;
    while !*until.borrow() {
        let insert = format!("INSERT INTO bookings (id) VALUES ('{writer}-{written}')");
        match run(&caller.client, &insert).await {
            Ok(_) => written += 1,
            // A statement that is sent while the host closes the connection does not run.
            Err(code) => {
                // The error arrives as the response to the statement, or as the end of the
                // idle connection before it.
                let reason = if code == SHUTTING_DOWN { code } else { caller.end().await };
                assert_eq!(reason, SHUTTING_DOWN, "writer {writer}, write {written}");
                caller = Connection::connect(cluster, ready_entry(cluster).await).await;
            }
        }
    }
    written
}

/// Guards against requests that a graceful shutdown interrupts: a write that gets no
/// response, runs without an acknowledgement, or is refused by the other host.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_interrupts_no_request() {
    let mut cluster = Cluster::start().await;
    let (done, watch) = tokio::sync::watch::channel(false);
    let stopped = cluster.entries[0].begin_shutdown();
    let cluster = std::sync::Arc::new(cluster);
    let mut writers = tokio::task::JoinSet::new();
    for writer in 0..WRITERS {
        let (cluster, watch) = (cluster.clone(), watch.clone());
        writers.spawn(async move { write_until_done(&cluster, writer, watch).await });
    }
    stopped.await.unwrap().unwrap();
    tokio::time::sleep(WRITE_TIME_AFTER_SHUTDOWN).await;
    done.send(true).unwrap();
    let written: usize = writers.join_all().await.iter().sum();
    let client = cluster.connect(1, "alpha").await;
    run(&client, "UPDATE bookings SET value = 'x' WHERE id = 'none'").await.unwrap();
    let rows = run(&client, "SELECT id FROM bookings").await.unwrap();
    assert_eq!(rows.len(), written);
    assert!(written > WRITERS * 20, "only {written} writes");
}
