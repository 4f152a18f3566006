//! Tests of the transactions and slots of owners with a fake backend.

#![allow(clippy::unwrap_used)]

mod backend;

use std::{sync::Arc, time::Duration};

use backend::{DisconnectAt, fixture::*};
use pomelopin::{
    clock::Millis,
    ids::Workspace,
    settings::owner::{OwnerSettings, PoolSettings},
    wire::peer::Mode,
};
use tokio::time::{sleep, timeout};

/// Guards against interleaving two transactions on one connection, and against running a
/// statement while the workspace of another caller is set.
#[tokio::test]
async fn statements_of_two_transactions_never_share_a_connection() {
    let fixture = Arc::new(Fixture::start().await);
    let run = |number: u64| {
        let fixture = fixture.clone();
        async move {
            let workspace = Workspace::from(format!("w{}", number % 3));
            for step in 0..5 {
                let (mode, sql) = match step {
                    0 => (begin(number), "BEGIN".to_owned()),
                    4 => (commit(number), String::new()),
                    _ => (in_transaction(number), format!("INSERT INTO jobs VALUES ({number})")),
                };
                let mut req = request(mode, &sql);
                req.workspace = Some(workspace.clone());
                req.deadline_ms = 5_000;
                expect_done(fixture.owner.execute(req).await);
            }
        }
    };
    futures::future::join_all((0..40).map(run)).await;
    let state = fixture.backend.state.lock();
    assert_eq!(state.committed.len(), 120);
    assert!(state.max_open <= 8, "{} connections with a budget of 8", state.max_open);
    for connection in 1..=state.connections {
        let mut current = None;
        let mut workspace = String::new();
        for (_, sql) in state.log.iter().filter(|(number, _)| *number == connection) {
            if let Some(name) = sql.strip_prefix("SET pomelopin.workspace = ") {
                workspace = name.trim_matches('\'').to_owned();
            } else if sql == "COMMIT" {
                current = None;
            } else if let Some(number) = sql.strip_prefix("INSERT INTO jobs VALUES (") {
                let number: u64 = number.trim_end_matches(')').parse().unwrap();
                assert_eq!(*current.get_or_insert(number), number);
                assert_eq!(workspace, format!("w{}", number % 3));
            }
        }
    }
}

/// Guards against use of a transaction by another workspace, against committing a failed
/// transaction, and against committing twice under the same request key.
#[tokio::test]
async fn transactions_keep_their_workspace_and_their_failure() {
    let fixture = Fixture::start().await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    let mut foreign = request(in_transaction(1), INSERT);
    foreign.workspace = Some("other".into());
    assert_eq!(outcome_label(&fixture.owner.execute(foreign).await), "UnknownTransaction");
    expect_done(fixture.run(in_transaction(1), INSERT).await);
    assert_eq!(outcome_label(&fixture.run(in_transaction(1), "FAIL").await), "22012");
    assert_eq!(outcome_label(&fixture.run(commit(1), "").await), "25P02");
    assert_eq!(outcome_label(&fixture.run(in_transaction(1), INSERT).await), "UnknownTransaction");

    expect_done(fixture.run(begin(2), "BEGIN").await);
    expect_done(fixture.run(in_transaction(2), INSERT).await);
    let rollback = Mode::Rollback { transaction: transaction(2) };
    assert_eq!(outcome_label(&fixture.run(rollback, "").await), "ROLLBACK");
    assert!(fixture.backend.state.lock().committed.is_empty());

    for _ in 0..2 {
        expect_done(fixture.run(begin(3), "BEGIN").await);
        expect_done(fixture.run(in_transaction(3), INSERT).await);
        let commit = Mode::Commit { transaction: transaction(3), record: Some(record("k", "d")) };
        assert_eq!(outcome_label(&fixture.run(commit, "").await), "COMMIT");
    }
    assert_eq!(fixture.backend.state.lock().committed.len(), 1);
}

/// Guards against a wrong outcome of a transaction whose connection is lost.
#[tokio::test]
async fn transaction_with_a_lost_connection_is_rolled_back_or_unknown() {
    let table = [
        ("INSERT INTO jobs", "40001", "UnknownTransaction"),
        ("SELECT pomelopin_position", "INSERT 0 1", "40001"),
        ("COMMIT", "INSERT 0 1", "unknown"),
    ];
    for (step, statement_label, commit_label) in table {
        let fixture = Fixture::start().await;
        expect_done(fixture.run(begin(1), "BEGIN").await);
        fixture.backend.state.lock().disconnect_at = Some((step, DisconnectAt::Before));
        assert_eq!(
            outcome_label(&fixture.run(in_transaction(1), INSERT).await),
            statement_label,
            "{step}"
        );
        assert_eq!(outcome_label(&fixture.run(commit(1), "").await), commit_label, "{step}");
        assert!(fixture.backend.state.lock().committed.is_empty());
    }
}

/// Guards against a connection that returns to the pool while a statement of a dropped
/// request still runs, so that the next user receives its late answers.
#[tokio::test]
async fn dropped_request_closes_its_connection() {
    let fixture = Fixture::start().await;
    let slow = fixture.run(primary_read(), "SELECT SLOW 100");
    assert!(timeout(Duration::from_millis(50), slow).await.is_err());
    expect_done(fixture.run(begin(1), "BEGIN").await);
    let slow = fixture.run(in_transaction(1), "SELECT SLOW 100");
    assert!(timeout(Duration::from_millis(50), slow).await.is_err());
    assert_eq!(outcome_label(&fixture.run(in_transaction(1), INSERT).await), "UnknownTransaction");
    for _ in 0..20 {
        expect_done(fixture.run(primary_read(), "SELECT 1").await);
    }
    let state = fixture.backend.state.lock();
    let slow: Vec<_> = state.log.iter().filter(|(_, sql)| sql.contains("SLOW")).collect();
    for (connection, _) in slow {
        let last = state.log.iter().rfind(|(number, _)| number == connection).unwrap();
        assert!(last.1.contains("SLOW"), "connection was used after {}", last.1);
    }
}

/// Guards against a deadlock between statements that wait for row locks and hold all
/// slots, and the lock holder that waits for a slot.
#[tokio::test]
async fn long_running_statements_release_their_slots() {
    let fixture = Fixture::start().await;
    let slow = || fixture.run(primary_read(), "SELECT SLOW 600");
    let quick = async {
        sleep(Duration::from_millis(20)).await;
        let quick = fixture.run(primary_read(), "SELECT 1");
        timeout(Duration::from_millis(300), quick).await.is_ok()
    };
    let (_, _, in_time) = tokio::join!(slow(), slow(), quick);
    assert!(in_time);
}

/// Guards against a transaction that waits for a slot while all slots are held by
/// statements that wait for its row locks.
#[tokio::test]
async fn transactions_with_locks_need_no_slot() {
    let settings = OwnerSettings { slot_hold: Millis(5_000), ..OwnerSettings::default() };
    let fixture = Fixture::with_settings(settings).await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    expect_done(fixture.run(in_transaction(1), INSERT).await);
    let slow = || fixture.run(primary_read(), "SELECT SLOW 600");
    let transaction = async {
        sleep(Duration::from_millis(20)).await;
        expect_done(fixture.run(in_transaction(1), INSERT).await);
        outcome_label(&fixture.run(commit(1), "").await)
    };
    let transaction = timeout(Duration::from_millis(300), transaction);
    let (_, _, committed) = tokio::join!(slow(), slow(), transaction);
    assert_eq!(committed.as_deref(), Ok("COMMIT"));
}

/// Guards against transactions of disconnected callers that keep their connection and
/// locks.
#[tokio::test]
async fn abandoned_transaction_is_rolled_back_and_its_connection_kept() {
    let pool = PoolSettings { transaction_idle: Millis(100), ..PoolSettings::default() };
    let fixture = Fixture::with_settings(OwnerSettings { pool, ..OwnerSettings::default() }).await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    expect_done(fixture.run(in_transaction(1), INSERT).await);
    let log = |fixture: &Fixture| fixture.backend.state.lock().log.clone();
    eventually(|| log(&fixture).iter().any(|(_, sql)| sql == "ROLLBACK")).await;
    assert_eq!(outcome_label(&fixture.run(in_transaction(1), INSERT).await), "UnknownTransaction");
    expect_done(fixture.run(primary_read(), "SELECT 1").await);
    let state = fixture.backend.state.lock();
    assert_eq!(state.open, state.connections, "no connection was closed");
    assert!(state.committed.is_empty());
}

/// Guards against a late cancellation that hits the next user of the connection.
#[tokio::test]
async fn connection_of_a_cancelled_transaction_is_closed() {
    let fixture = Fixture::start().await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    fixture.owner.cancel(&transaction(1));
    let cancel = async {
        sleep(Duration::from_millis(50)).await;
        fixture.owner.cancel(&transaction(1));
    };
    tokio::join!(fixture.run(in_transaction(1), "SELECT SLOW 150"), cancel);
    expect_done(fixture.run(commit(1), "").await);
    let closed = || {
        let state = fixture.backend.state.lock();
        // The CancelRequest uses a separate connection, so two connections are closed.
        state.cancels == 1 && state.connections - state.open == 2
    };
    eventually(closed).await;
}
