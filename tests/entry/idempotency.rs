//! Idempotency of writes and transactions with a request key.

use tokio_postgres::{Client, SimpleQueryMessage};

use crate::cluster::{Cluster, code, run};

/// Runs `sql`; returns the number of affected rows, or the SQLSTATE of the error.
async fn count(client: &Client, sql: &str) -> Result<u64, String> {
    let messages = client.simple_query(sql).await.map_err(|error| code(&error))?;
    let tag = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::CommandComplete(rows) => Some(*rows),
        _ => None,
    });
    Ok(tag.unwrap())
}

/// Runs `sql` with a request key.
pub async fn run_with_key(client: &Client, key: &str, sql: &str) -> Result<u64, String> {
    run(client, &format!("SET pomelopin.request_key = '{key}'")).await?;
    count(client, sql).await
}

/// Guards against a retried write that runs twice, and against a request key that is
/// accepted for a different statement.
#[tokio::test(flavor = "multi_thread")]
async fn retried_write_gets_the_first_result() {
    let cluster = Cluster::start().await;
    let clients = [cluster.connect(0, "alpha").await, cluster.connect(1, "alpha").await];
    let statements = [
        ("k-1", "INSERT INTO bookings (id) VALUES ('a'), ('b')", 2),
        ("k-2", "INSERT INTO credits (id, amount) VALUES ('c', 5)", 1),
        ("k-3", "UPDATE credits SET amount = amount + 7", 1),
        ("k-4", "DELETE FROM bookings WHERE id = 'a'", 1),
    ];
    for (key, sql, rows) in statements {
        for client in [&clients[0], &clients[0], &clients[1]] {
            assert_eq!(run_with_key(client, key, sql).await, Ok(rows), "{key}: {sql}");
        }
    }
    let other = "UPDATE credits SET amount = amount + 8";
    for client in &clients {
        for (key, ..) in statements {
            assert_eq!(run_with_key(client, key, other).await, Err("22023".to_owned()), "{key}");
        }
    }
    // Request keys are scoped to a workspace.
    let beta = cluster.connect(0, "beta").await;
    assert_eq!(run_with_key(&beta, "k-3", other).await, Ok(0));
    // A request key applies to one statement; the next one runs without it.
    run(&clients[0], "SET pomelopin.request_key = 'k-3'").await.unwrap();
    for _ in 0..2 {
        assert_eq!(count(&clients[0], "UPDATE credits SET amount = amount + 7").await, Ok(1));
    }
    assert_eq!(run(&clients[1], "SELECT amount FROM credits").await.unwrap(), ["19"]);
}

async fn transfer(client: &Client, key: &str, amount: i64) -> Result<(), String> {
    run(client, &format!("SET pomelopin.request_key = '{key}'")).await?;
    run(client, "BEGIN").await?;
    for sign in ['+', '-'] {
        let id = if sign == '+' { "to" } else { "from" };
        let sql = format!("UPDATE credits SET amount = amount {sign} {amount} WHERE id = '{id}'");
        run(client, &sql).await?;
    }
    run(client, "COMMIT").await.map(|_| ())
}

/// Guards against a retried transaction that commits twice under one request key.
#[tokio::test(flavor = "multi_thread")]
async fn retried_transaction_gets_the_first_result() {
    let cluster = Cluster::start().await;
    let clients = [cluster.connect(0, "alpha").await, cluster.connect(1, "alpha").await];
    let insert = "INSERT INTO credits (id, amount) VALUES ('to', 0), ('from', 100)";
    run(&clients[0], insert).await.unwrap();
    for client in [&clients[0], &clients[1], &clients[0]] {
        transfer(client, "t-1", 10).await.unwrap();
    }
    for client in &clients {
        assert_eq!(transfer(client, "t-1", 11).await, Err("22023".to_owned()));
        // The failed commit has ended the transaction.
        let rows = run(client, "SELECT amount FROM credits").await.unwrap();
        assert_eq!(rows, ["90", "10"]);
    }
    assert_eq!(transfer(&clients[0], "t-2", 11).await, Ok(()));
    assert_eq!(run(&clients[1], "SELECT amount FROM credits").await.unwrap(), ["79", "21"]);
}
