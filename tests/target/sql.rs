//! Tests for SQL statements, transactions and row locks.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::group::{amount, code, connect, simple_row, single};

/// Guards against the simple (text) and extended (binary) query protocols returning
/// different values.
#[tokio::test]
async fn simple_and_extended_queries_agree() {
    let group = single().await;
    let client = group.client(0).await;
    let insert = "INSERT INTO jobs (id, value, amount) VALUES ($1, $2, $3), ('b', 'it''s', -7)";
    assert_eq!(client.execute(insert, &[&"a", &"x", &5_i64]).await.unwrap(), 2);
    let row = client.query_one("SELECT * FROM jobs WHERE id = $1", &[&"b"]).await.unwrap();
    assert_eq!((row.get(0), row.get(1), row.get(2)), ("b", "it's", -7_i64));
    let text = simple_row(&client, "SELECT amount, id FROM jobs WHERE id = 'a'").await;
    assert_eq!(text, [Some("5".to_owned()), Some("a".to_owned())]);
    let row = client.query_one("SELECT count(*), sum(amount) FROM jobs", &[]).await.unwrap();
    assert_eq!((row.get(0), row.get(1)), (2_i64, -2_i64));
    client.execute("UPDATE jobs SET value = NULL WHERE id = 'a'", &[]).await.unwrap();
    let row = client.query_one("SELECT value FROM jobs WHERE id = 'a'", &[]).await.unwrap();
    assert_eq!(row.get::<_, Option<&str>>(0), None);
    assert_eq!(client.execute("DELETE FROM jobs WHERE id = $1", &[&"a"]).await.unwrap(), 1);
    assert!(client.query("SELECT id FROM jobs WHERE id = 'a'", &[]).await.unwrap().is_empty());
    let row = client.query_one("SELECT pomelopin_position()", &[]).await.unwrap();
    assert_eq!((row.get(0), row.get(2), row.get(3)), (1_i64, 0_i64, true));
}

/// Guards against wrong parameter and column types in the answer to Describe, which a
/// proxy requests before it executes a statement.
#[tokio::test]
async fn describe_returns_parameter_and_column_types() {
    let group = single().await;
    let client = group.client(0).await;
    let cases = [
        ("SELECT id, amount FROM t WHERE id = $1", vec!["text"], vec!["text", "int8"]),
        ("UPDATE t SET amount = amount + $1 WHERE id = $2", vec!["int8", "text"], vec![]),
        ("SELECT count(*) FROM t", vec![], vec!["int8"]),
        (
            "SELECT digest, tag FROM pomelopin_requests WHERE workspace = $1 AND id = $2",
            vec!["text", "text"],
            vec!["text", "text"],
        ),
        ("SELECT pomelopin_position()", vec![], vec!["int8", "int8", "int8", "bool"]),
        ("SELECT pomelopin_wait_commit($1)", vec!["int8"], vec!["int8", "int8", "bool"]),
    ];
    for (sql, parameters, columns) in cases {
        let statement = client.prepare(sql).await.unwrap();
        let parameter_types: Vec<_> = statement.params().iter().map(|kind| kind.name()).collect();
        let column_types: Vec<_> =
            statement.columns().iter().map(|column| column.type_().name()).collect();
        assert_eq!((parameter_types, column_types), (parameters, columns), "{sql}");
    }
}

/// Guards against wrong SQLSTATE codes, from which the proxy derives request outcomes.
#[tokio::test]
async fn invalid_statements_return_their_sqlstate() {
    let group = single().await;
    let client = group.client(0).await;
    client.batch_execute("INSERT INTO t (id, amount) VALUES ('a', 1)").await.unwrap();
    let cases = [
        ("INSERT INTO t (id) VALUES ('a')", "23505"),
        ("INSERT INTO t (id) VALUES ('b'), ('b')", "23505"),
        ("INSERT INTO t (value) VALUES ('a')", "23502"),
        ("SELECT other FROM t", "42703"),
        ("SELECT nothing()", "42883"),
        ("SELEC", "42601"),
        ("SELECT id FROM t ORDER BY id", "0A000"),
        ("UPDATE t SET amount = 'x'", "22P02"),
        ("UPDATE t SET amount = amount + 9223372036854775807", "22003"),
    ];
    for (sql, expected) in cases {
        let error = client.batch_execute(sql).await.unwrap_err();
        assert_eq!(code(&error), expected, "{sql}");
    }
    let rows = client.query("SELECT id FROM t", &[]).await.unwrap();
    assert_eq!(rows.len(), 1, "a failed statement has no effect");
    let error = connect(&group.instances[0], "pomelopin", "wrong").await.unwrap_err();
    assert_eq!(code(&error), "28P01");
    let error = connect(&group.instances[0], "other", "pomelopin").await.unwrap_err();
    assert_eq!(code(&error), "28P01");
}

/// Guards against rows of one workspace being visible in another.
#[tokio::test]
async fn rows_are_isolated_per_workspace() {
    let group = single().await;
    let client = group.client(0).await;
    client.batch_execute("SET pomelopin.workspace = 'karoo'").await.unwrap();
    client.batch_execute("INSERT INTO t (id) VALUES ('a')").await.unwrap();
    client.batch_execute("SET pomelopin.workspace = ''").await.unwrap();
    let count =
        async || -> i64 { client.query_one("SELECT count(*) FROM t", &[]).await.unwrap().get(0) };
    assert_eq!(count().await, 0_i64);
    client.batch_execute("INSERT INTO t (id) VALUES ('a'), ('b')").await.unwrap();
    client.batch_execute("SET pomelopin.workspace TO 'karoo'").await.unwrap();
    assert_eq!(count().await, 1_i64);
}

/// Guards against statements running in a failed transaction, and against a rollback that
/// leaves changes behind.
#[tokio::test]
async fn transactions_commit_roll_back_and_fail() {
    let group = single().await;
    let (client, other) = (group.client(0).await, group.client(0).await);
    client.batch_execute("BEGIN; INSERT INTO credits (id, amount) VALUES ('a', 1)").await.unwrap();
    assert_eq!(amount(&client, "a").await, Some(1));
    assert_eq!(amount(&other, "a").await, None, "uncommitted rows are invisible");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(amount(&other, "a").await, Some(1));

    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("UPDATE credits SET amount = amount + 1").await.unwrap();
    let error = client.batch_execute("INSERT INTO credits (id) VALUES ('a')").await.unwrap_err();
    assert_eq!(code(&error), "23505");
    let error = client.query("SELECT id FROM credits", &[]).await.unwrap_err();
    assert_eq!(code(&error), "25P02");
    let error = client.batch_execute("SELEC").await.unwrap_err();
    assert_eq!(code(&error), "42601");
    // COMMIT in a failed transaction succeeds with the tag ROLLBACK; check that the update
    // was undone.
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(amount(&client, "a").await, Some(1));

    let sql = "INSERT INTO credits (id) VALUES ('b'); INSERT INTO credits (id) VALUES ('a')";
    assert_eq!(code(&client.batch_execute(sql).await.unwrap_err()), "23505");
    assert_eq!(amount(&client, "b").await, None, "one simple query is one transaction");
}

/// Guards against lost updates, and against row locks that stay held after their
/// connection closes.
#[tokio::test]
async fn row_locks_serialize_writers() {
    let group = single().await;
    let (first, second) = (group.client(0).await, group.client(0).await);
    first.batch_execute("INSERT INTO credits (id, amount) VALUES ('a', 1)").await.unwrap();
    let add = "UPDATE credits SET amount = amount + 10 WHERE id = 'a'";
    first.batch_execute("BEGIN").await.unwrap();
    first.batch_execute(add).await.unwrap();
    let start = Instant::now();
    assert_eq!(code(&second.batch_execute(add).await.unwrap_err()), "55P03");
    assert!(start.elapsed() >= Duration::from_millis(900));

    let waiting = tokio::spawn(async move { second.batch_execute(add).await });
    sleep(Duration::from_millis(50)).await;
    first.batch_execute("COMMIT").await.unwrap();
    waiting.await.unwrap().unwrap();
    assert_eq!(amount(&first, "a").await, Some(21));

    let closing = group.client(0).await;
    closing.batch_execute("BEGIN").await.unwrap();
    closing.batch_execute(add).await.unwrap();
    drop(closing);
    first.batch_execute(add).await.unwrap();
    assert_eq!(amount(&first, "a").await, Some(31), "a closed connection rolls back");
}

/// Guards against executing one request twice: a second insert of its record must wait until
/// the first transaction ends, then fail if that committed.
#[tokio::test]
async fn request_record_inserts_serialize() {
    const RECORD: &str =
        "INSERT INTO pomelopin_requests (workspace, id, digest, tag) VALUES ('w', 'k', 'd', '')";
    for (end, expected) in [("COMMIT", Some("23505")), ("ROLLBACK", None)] {
        let group = single().await;
        let (first, second) = (group.client(0).await, group.client(0).await);
        first.batch_execute("BEGIN").await.unwrap();
        first.batch_execute(RECORD).await.unwrap();
        let tag = "UPDATE pomelopin_requests SET tag = 'INSERT 0 1' \
                   WHERE workspace = 'w' AND id = 'k'";
        first.batch_execute(tag).await.unwrap();
        let waiting = tokio::spawn(async move { second.batch_execute(RECORD).await });
        sleep(Duration::from_millis(50)).await;
        assert!(!waiting.is_finished(), "the second insert waits");
        first.batch_execute(end).await.unwrap();
        let result = waiting.await.unwrap();
        assert_eq!(result.as_ref().err().map(code), expected, "{end}");
        let sql = "SELECT digest, tag FROM pomelopin_requests WHERE workspace = 'w' AND id = 'k'";
        let tag = if expected.is_some() { "INSERT 0 1" } else { "" };
        assert_eq!(simple_row(&first, sql).await, [Some("d".to_owned()), Some(tag.to_owned())]);
    }
}

/// Guards against cancel requests that do not interrupt a lock wait, and against a cancelled
/// transaction that keeps its row locks.
#[tokio::test]
async fn cancelled_statement_ends_and_fails_its_transaction() {
    let group = single().await;
    let (holder, waiting) = (group.client(0).await, group.client(0).await);
    holder.batch_execute("BEGIN; INSERT INTO t (id) VALUES ('a')").await.unwrap();
    waiting.batch_execute("BEGIN; INSERT INTO t (id) VALUES ('b')").await.unwrap();
    let cancel = waiting.cancel_token();
    let start = Instant::now();
    let insert = waiting.batch_execute("INSERT INTO t (id) VALUES ('a')");
    let cancel = async {
        sleep(Duration::from_millis(50)).await;
        cancel.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (result, ()) = tokio::join!(insert, cancel);
    assert_eq!(code(&result.unwrap_err()), "57014");
    assert!(start.elapsed() < Duration::from_millis(800), "the lock wait lasts 1 s");
    let error = waiting.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(code(&error), "25P02");
    holder.batch_execute("INSERT INTO t (id) VALUES ('b')").await.unwrap();
}
