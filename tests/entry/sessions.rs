//! Read-your-writes consistency of sessions that move between entry hosts.

use crate::cluster::{Cluster, run, wait_until};

/// Replication lag, long enough that a replica read right after a write is stale.
const LAG_MS: u64 = 500;

/// Number of writes of one session.
const WRITES: usize = 20;

/// Guards against reads that miss the session's own writes through the other host.
#[tokio::test(flavor = "multi_thread")]
async fn named_session_reads_its_writes_through_both_hosts() {
    for lag in [0, LAG_MS] {
        let cluster = Cluster::builder().lag(lag).start().await;
        let clients = [
            cluster.connect_session(0, "alpha", "s-1").await,
            cluster.connect_session(1, "alpha", "s-1").await,
        ];
        for write in 0..WRITES {
            let (writer, reader) = (&clients[write % 2], &clients[(write + 1) % 2]);
            run(writer, &format!("INSERT INTO bookings (id) VALUES ('w{write}')")).await.unwrap();
            let select = format!("SELECT id FROM bookings WHERE id = 'w{write}'");
            for client in [reader, writer] {
                let rows = run(client, &select).await.unwrap();
                assert_eq!(rows, [format!("w{write}")], "lag {lag} ms, write {write}");
            }
        }
        // Updates and transactions raise the mark too.
        run(&clients[0], "UPDATE bookings SET value = 'new'").await.unwrap();
        let select = "SELECT value FROM bookings WHERE id = 'w0'";
        assert_eq!(run(&clients[1], select).await.unwrap(), ["new"], "lag {lag} ms");
        for sql in ["BEGIN", "UPDATE bookings SET value = 'newer'", "COMMIT"] {
            run(&clients[1], sql).await.unwrap();
        }
        assert_eq!(run(&clients[0], select).await.unwrap(), ["newer"], "lag {lag} ms");
    }
}

/// Guards against stale reads of a connection whose session has no name.
#[tokio::test(flavor = "multi_thread")]
async fn unnamed_session_reads_its_own_writes() {
    let cluster = Cluster::builder().lag(LAG_MS).start().await;
    let client = cluster.connect(0, "alpha").await;
    for write in 0..WRITES {
        run(&client, &format!("INSERT INTO bookings (id) VALUES ('w{write}')")).await.unwrap();
        let rows = run(&client, &format!("SELECT id FROM bookings WHERE id = 'w{write}'")).await;
        assert_eq!(rows.unwrap(), [format!("w{write}")]);
    }
}

/// Guards against a proxy that sends all reads to the primary, and against a mark that
/// has no effect when a caller sets it in another session.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_without_a_mark_may_read_stale_data() {
    let cluster = Cluster::builder().lag(LAG_MS).start().await;
    let writer = cluster.connect(0, "alpha").await;
    let mut write = 0;
    wait_until("a replica serves a read that is stale", async || {
        write += 1;
        run(&writer, &format!("INSERT INTO bookings (id) VALUES ('w{write}')")).await.unwrap();
        let select = format!("SELECT id FROM bookings WHERE id = 'w{write}'");
        let mark = run(&writer, "SHOW pomelopin.mark").await.unwrap().remove(0);
        let marked = cluster.connect(1, "alpha").await;
        run(&marked, &format!("SET pomelopin.mark = '{mark}'")).await.unwrap();
        assert_eq!(run(&marked, &select).await.unwrap().len(), 1, "read with mark {mark}");
        let other = cluster.connect(1, "alpha").await;
        run(&other, &select).await.unwrap().is_empty()
    })
    .await;
    assert!(cluster.entries[1].replica_reads().await > 0);
    wait_until("the replicas have caught up", async || {
        let other = cluster.connect(1, "alpha").await;
        let rows = run(&other, "SELECT id FROM bookings").await.unwrap();
        rows.len() == write
    })
    .await;
    // The primary serves routes without `max_staleness_ms`.
    let insert = "INSERT INTO credits (id, amount) VALUES ('c', 1)";
    run(&writer, insert).await.unwrap();
    for _ in 0..10 {
        let other = cluster.connect(1, "alpha").await;
        assert_eq!(run(&other, "SELECT amount FROM credits").await.unwrap(), ["1"]);
    }
}

/// Guards against session marks that are lost in the crash of one of their home hosts.
#[tokio::test(flavor = "multi_thread")]
async fn session_marks_survive_the_crash_of_a_home_host() {
    let mut cluster = Cluster::builder().lag(LAG_MS).start().await;
    let names: Vec<String> = (0..8).map(|number| format!("s-{number}")).collect();
    let mut sessions = Vec::new();
    for name in &names {
        sessions.push(cluster.connect_session(0, "alpha", name).await);
    }
    for (session, name) in sessions.iter().zip(&names) {
        run(session, &format!("INSERT INTO bookings (id) VALUES ('{name}')")).await.unwrap();
    }
    cluster.entries[0].crash();
    for name in &names {
        let select = format!("SELECT id FROM bookings WHERE id = '{name}'");
        wait_until("the other host serves the session", async || {
            let client = cluster.connect_session(1, "alpha", name).await;
            match run(&client, &select).await {
                Ok(rows) => {
                    assert_eq!(rows, [name.as_str()], "stale read after the crash of a home host");
                    true
                }
                Err(code) => {
                    assert!(["57P03", "57014"].contains(&code.as_str()), "{code}");
                    false
                }
            }
        })
        .await;
    }
    let client = cluster.connect_session(1, "alpha", &names[0]).await;
    run(&client, "UPDATE bookings SET value = 'after'").await.unwrap();
    let rows = run(&client, "SELECT value FROM bookings WHERE id = 's-0'").await.unwrap();
    assert_eq!(rows, ["after"]);
}
