//! Transactions of callers: isolation, errors, disconnects and cancellation.

use std::time::{Duration, Instant};

use pomelopin::{ids::KeyId, keys::key::Key};
use tokio::time::sleep;
use tokio_postgres::{Client, NoTls};

use crate::cluster::{Cluster, KEY_WITHDRAWN, expect_error, run};

/// Longest time for a statement that is not blocked by a lock.
const UNBLOCKED_TIME: Duration = Duration::from_millis(900);

/// SQLSTATE for statements in a failed transaction.
const FAILED: &str = "25P02";

/// SQLSTATE for a cancelled statement.
const CANCELLED: &str = "57014";

/// Pause between two cancel requests.
const CANCEL_PAUSE: Duration = Duration::from_millis(5);

/// Number of cancelled statements; the requests reach them at different stages.
const ROUNDS: usize = 30;

/// Begins a transaction and updates the row `row`, which locks it.
async fn lock_row(client: &Client, value: &str) {
    run(client, "BEGIN").await.unwrap();
    run(client, &update(value)).await.unwrap();
}

fn update(value: &str) -> String {
    format!("UPDATE bookings SET value = '{value}' WHERE id = 'row'")
}

async fn cluster_with_row() -> Cluster {
    let cluster = Cluster::start().await;
    let client = cluster.connect(0, "alpha").await;
    run(&client, "INSERT INTO bookings (id, value) VALUES ('row', 'old')").await.unwrap();
    cluster
}

/// Guards against a transaction under a withdrawn key that keeps its locks while its
/// caller is idle, and against its commit.
#[tokio::test(flavor = "multi_thread")]
async fn transaction_under_a_withdrawn_key_is_rolled_back_at_once() {
    let mut cluster = cluster_with_row().await;
    let second = Key::generate(KeyId::from("alpha-2")).unwrap();
    let busy = cluster.connect(0, "alpha").await;
    lock_row(&busy, "new").await;
    cluster.apply(|file| file.workspace("alpha").key = second).await;
    assert_eq!(expect_error(&busy, "SELECT id FROM bookings").await, KEY_WITHDRAWN);
    let other = cluster.connect(1, "alpha").await;
    let started = Instant::now();
    run(&other, &update("other")).await.unwrap();
    assert!(started.elapsed() < UNBLOCKED_TIME, "waited {:?}", started.elapsed());
    let _ = run(&busy, "COMMIT").await;
    assert_eq!(run(&other, "SELECT value FROM bookings").await.unwrap(), ["other"]);
}

/// Guards against errors that close the connection, allow later statements of the
/// transaction to run, or leave its locks in place.
#[tokio::test(flavor = "multi_thread")]
async fn errors_fail_only_the_transaction() {
    let cluster = cluster_with_row().await;
    let (client, other) = (cluster.connect(0, "alpha").await, cluster.connect(1, "alpha").await);
    let cases = [
        ("INSERT INTO bookings (id) VALUES ('row')", "23505"),
        ("INSERT INTO credits (id, amount) VALUES ('x', 'text')", "22P02"),
        ("UPDATE notices SET value = 'x'", "42501"),
        ("DROP TABLE bookings", "0A000"),
        ("SELECT id FROM bookings; SELECT id FROM credits", "0A000"),
        ("SELEC", "42601"),
    ];
    for (number, (sql, expected)) in cases.into_iter().enumerate() {
        lock_row(&client, "lost").await;
        assert_eq!(expect_error(&client, sql).await, expected, "{sql}");
        assert_eq!(expect_error(&client, "SELECT id FROM bookings").await, FAILED, "{sql}");
        let started = Instant::now();
        let value = number.to_string();
        run(&other, &update(&value)).await.unwrap();
        assert!(started.elapsed() < UNBLOCKED_TIME, "{sql}: waited {:?}", started.elapsed());
        let end = if number % 2 == 0 { "ROLLBACK" } else { "COMMIT" };
        run(&client, end).await.unwrap();
        let rows = run(&client, "SELECT value FROM bookings WHERE id = 'row'").await;
        assert!(rows.unwrap() != ["lost"], "{sql}");
        assert_eq!(run(&other, "SELECT value FROM bookings").await.unwrap(), [value]);
    }
}

/// Guards against statements that run in another caller's transaction.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_are_isolated_from_each_other() {
    let cluster = Cluster::start().await;
    let mut callers = Vec::new();
    for number in 0..6 {
        callers.push(cluster.connect(number % 2, "alpha").await);
    }
    for caller in &callers {
        run(caller, "BEGIN").await.unwrap();
    }
    for step in 0..5 {
        for (number, caller) in callers.iter().enumerate() {
            let insert = format!("INSERT INTO bookings (id) VALUES ('{number}-{step}')");
            run(caller, &insert).await.unwrap();
            let rows = run(caller, "SELECT id FROM bookings").await.unwrap();
            assert_eq!(rows.len(), step + 1, "caller {number} sees its own rows only: {rows:?}");
            assert!(rows.iter().all(|row| row.starts_with(&format!("{number}-"))), "{rows:?}");
        }
    }
    for (number, caller) in callers.iter().enumerate() {
        run(caller, if number < 3 { "COMMIT" } else { "ROLLBACK" }).await.unwrap();
    }
    let client = cluster.connect(0, "alpha").await;
    run(&client, "UPDATE bookings SET value = 'x' WHERE id = 'none'").await.unwrap();
    let rows = run(&client, "SELECT id FROM bookings").await.unwrap();
    assert_eq!(rows.len(), 15, "{rows:?}");
    assert!(rows.iter().all(|row| ["0", "1", "2"].contains(&&row[..1])), "{rows:?}");
}

/// Guards against locks and writes that remain after a caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn transaction_of_a_disconnected_caller_is_rolled_back() {
    let cluster = cluster_with_row().await;
    let mut config = cluster.client_config(0, "alpha");
    let config = config.password(cluster.config_file.key("alpha"));
    let (client, connection) = config.connect(NoTls).await.unwrap();
    let connection = tokio::spawn(connection);
    lock_row(&client, "lost").await;
    // Closes the socket without a Terminate message.
    connection.abort();
    let other = cluster.connect(1, "alpha").await;
    let started = Instant::now();
    run(&other, &update("other")).await.unwrap();
    assert!(started.elapsed() < UNBLOCKED_TIME, "waited {:?}", started.elapsed());
    assert_eq!(run(&other, "SELECT value FROM bookings").await.unwrap(), ["other"]);
}

/// Runs `sql` and sends cancel requests until it fails; returns the SQLSTATE.
async fn cancel_until_done(client: &Client, sql: &str) -> String {
    let token = client.cancel_token();
    let repeat = async {
        // A cancel request that arrives before the statement has no effect.
        loop {
            let _ = token.cancel_query(NoTls).await;
            sleep(CANCEL_PAUSE).await;
        }
    };
    tokio::select! {
        code = expect_error(client, sql) => code,
        () = repeat => unreachable!(),
    }
}

/// Guards against a cancel request that has no effect, closes the connection, or cancels
/// another statement.
#[tokio::test(flavor = "multi_thread")]
async fn statement_blocked_by_a_lock_can_be_cancelled() {
    let cluster = cluster_with_row().await;
    let holder = cluster.connect(0, "alpha").await;
    lock_row(&holder, "held").await;
    let waiter = cluster.connect(1, "alpha").await;
    for round in 0..ROUNDS {
        run(&waiter, "BEGIN").await.unwrap();
        run(&waiter, "SELECT id FROM bookings").await.unwrap();
        let started = Instant::now();
        let code = cancel_until_done(&waiter, &update("waited")).await;
        assert_eq!(code, CANCELLED, "round {round} after {:?}", started.elapsed());
        run(&waiter, "ROLLBACK").await.unwrap();
    }
    run(&holder, "COMMIT").await.unwrap();
    run(&waiter, &update("later")).await.unwrap();
    assert_eq!(run(&waiter, "SELECT value FROM bookings").await.unwrap(), ["later"]);
}
