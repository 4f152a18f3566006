//! Contract of the stand-in database instance, over loopback sockets.

#![allow(clippy::unwrap_used)]

use std::{future::Future, time::Duration};

use axum::{Router, body::Bytes, http::HeaderMap, routing::post};
use pomelopin::{
    clock::Millis,
    ids::{InstanceId, Mark, Service, Term},
    settings::target::{Peer, TargetSettings},
    state::model::Role,
    target::{
        announcer::sign,
        faults::{AllHosts, Partition},
        http::Status,
        run::{Listeners, Running, start},
    },
    wire::{announcement::Announcement, control::FenceAnswer},
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, sleep, timeout},
};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, error::SqlState};

/// Longest wait for a state that replication must reach.
const PATIENCE: Duration = Duration::from_secs(10);

/// Group of instances inside the test process.
struct Group {
    instances: Vec<Running>,
}

impl Group {
    async fn start(size: usize, settings: TargetSettings) -> Group {
        let mut bound = Vec::new();
        for _ in 0..size {
            bound.push(Listeners::bind(&settings).await.unwrap());
        }
        let peers: Vec<Peer> = bound
            .iter()
            .enumerate()
            .map(|(index, listeners)| Peer {
                name: name(index),
                http: listeners.http.local_addr().unwrap(),
            })
            .collect();
        let mut instances = Vec::new();
        // The primary starts last, because it asks its peers for their term.
        for (index, listeners) in bound.into_iter().enumerate().rev() {
            let mut peers = peers.clone();
            peers.remove(index);
            let settings = TargetSettings {
                name: name(index),
                service: Service::from("returns"),
                peers,
                primary: index == 0,
                ..settings.clone()
            };
            instances.push(start(settings, listeners).await.unwrap());
        }
        instances.reverse();
        Group { instances }
    }

    async fn client(&self, index: usize) -> Client {
        connect(&self.instances[index], "pomelopin", "pomelopin").await.unwrap()
    }

    fn isolate(&self, index: usize) {
        self.instances[index].instance.faults.partition(Partition::All(AllHosts::All));
    }

    /// Cuts replication of an instance in both directions; its SQL port still answers.
    fn cut_replication(&self, index: usize) {
        let peers = self.instances[index].instance.settings.peers.iter();
        let names = peers.map(|peer| peer.name.to_string()).collect();
        self.instances[index].instance.faults.partition(Partition::From(names));
    }

    fn applied(&self, index: usize) -> Mark {
        let instance = &self.instances[index].instance;
        let now = instance.now();
        instance.with(|state| {
            state.apply_due(now);
            state.applied()
        })
    }

    async fn wait_applied(&self, index: usize, mark: Mark) {
        wait_for(|| async { self.applied(index).has_passed(mark) }).await;
    }
}

fn name(index: usize) -> InstanceId {
    InstanceId::from(format!("returns-{index}"))
}

async fn wait_for<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "the state was not reached in time");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn connect(
    running: &Running,
    user: &str,
    password: &str,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host("127.0.0.1").port(running.sql_addr.port()).user(user).password(password);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("no SQLSTATE", SqlState::code)
}

async fn single() -> Group {
    Group::start(1, TargetSettings::default()).await
}

/// First row of a simple query as text.
async fn simple_row(client: &Client, sql: &str) -> Vec<Option<String>> {
    let messages = client.simple_query(sql).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.expect("the query returns a row");
    (0..row.len()).map(|index| row.get(index).map(str::to_owned)).collect()
}

async fn amount(client: &Client, id: &str) -> Option<i64> {
    let rows = client.query("SELECT amount FROM credits WHERE id = $1", &[&id]).await.unwrap();
    rows.first().map(|row| row.get(0))
}

async fn wait_commit(client: &Client, timeout_ms: i64) -> (Mark, bool) {
    let row = client.query_one("SELECT pomelopin_wait_commit($1)", &[&timeout_ms]).await.unwrap();
    let number = |index: usize| u64::try_from(row.get::<_, i64>(index)).unwrap();
    (Mark::new(number(0), number(1)), row.get(2))
}

/// Guards against differences between the text and the binary format of values.
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

/// Guards against wrong types for a proxy that describes a statement before it runs.
#[tokio::test]
async fn a_statement_is_described_before_execution() {
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
        let given: Vec<_> = statement.params().iter().map(|kind| kind.name()).collect();
        let returned: Vec<_> =
            statement.columns().iter().map(|column| column.type_().name()).collect();
        assert_eq!((given, returned), (parameters, columns), "{sql}");
    }
}

/// Guards against wrong SQLSTATEs, on which the proxy's outcomes depend.
#[tokio::test]
async fn faulty_statements_have_their_sqlstate() {
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

/// Guards against rows of one workspace that show up in another.
#[tokio::test]
async fn rows_are_kept_per_workspace() {
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

/// Guards against statements that run in a failed transaction, and lost rollbacks.
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
    // COMMIT of a failed transaction answers ROLLBACK, so its effect is what counts.
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(amount(&client, "a").await, Some(1));

    let sql = "INSERT INTO credits (id) VALUES ('b'); INSERT INTO credits (id) VALUES ('a')";
    assert_eq!(code(&client.batch_execute(sql).await.unwrap_err()), "23505");
    assert_eq!(amount(&client, "b").await, None, "one simple query is one transaction");
}

/// Guards against lost updates and against locks that outlive their holder.
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

/// Guards against two runs of one request: the second insert waits for the first's end.
#[tokio::test]
async fn request_records_serialize() {
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

/// Guards against replicas that ignore the lag or accept writes.
#[tokio::test]
async fn replicas_follow_after_the_lag() {
    let lag = Millis(300);
    let group = Group::start(3, TargetSettings { lag, ..TargetSettings::default() }).await;
    let (primary, replica) = (group.client(0).await, group.client(1).await);
    group.wait_applied(1, Mark::new(1, 1)).await;
    let start = Instant::now();
    primary.batch_execute("INSERT INTO credits (id, amount) VALUES ('a', 1)").await.unwrap();
    let (mark, held) = wait_commit(&primary, 2_000).await;
    assert_eq!((mark, held), (Mark::new(1, 2), true));
    assert!(start.elapsed() < lag.duration(), "received entries count before they are applied");
    assert_eq!(amount(&replica, "a").await, None);
    group.wait_applied(1, mark).await;
    assert!(start.elapsed() >= lag.duration());
    assert_eq!(amount(&replica, "a").await, Some(1));
    let row = replica.query_one("SELECT pomelopin_position()", &[]).await.unwrap();
    let age: i64 = row.get(2);
    assert!((300..2_000).contains(&age), "age {age} ms");
    assert!(!row.get::<_, bool>(3));
    let error = replica.batch_execute("DELETE FROM credits").await.unwrap_err();
    assert_eq!(code(&error), "25006");
    assert!(!wait_commit(&replica, 2_000).await.1, "a replica cannot tell");
}

/// Guards against acknowledged writes that only a minority holds.
#[tokio::test]
async fn a_commit_waits_for_a_majority() {
    let group = Group::start(3, TargetSettings::default()).await;
    let primary = group.client(0).await;
    group.wait_applied(1, Mark::new(1, 1)).await;
    group.cut_replication(0);
    primary.batch_execute("INSERT INTO credits (id) VALUES ('a')").await.unwrap();
    assert!(!wait_commit(&primary, 200).await.1);
    group.instances[0].instance.faults.heal();
    assert!(wait_commit(&primary, 5_000).await.1);
}

/// Guards against a replaced primary that still acknowledges writes.
#[tokio::test]
async fn a_fenced_primary_refuses_writes_and_waits() {
    let group = Group::start(3, TargetSettings::default()).await;
    let (client, other) = (group.client(0).await, group.client(0).await);
    client.batch_execute("BEGIN; INSERT INTO credits (id) VALUES ('a')").await.unwrap();
    group.cut_replication(0);
    other.batch_execute("INSERT INTO credits (id) VALUES ('b')").await.unwrap();
    let waiting = tokio::spawn(async move { wait_commit(&other, 5_000).await });
    sleep(Duration::from_millis(50)).await;
    let start = Instant::now();
    let instance = &group.instances[0].instance;
    assert!(instance.fence(Term(2)).accepted);
    assert!(!waiting.await.unwrap().1);
    assert!(start.elapsed() < Duration::from_secs(1), "a fence ends the wait at once");
    assert_eq!(code(&client.batch_execute("COMMIT").await.unwrap_err()), "25006");
    let insert = "INSERT INTO credits (id) VALUES ('c')";
    assert_eq!(code(&client.batch_execute(insert).await.unwrap_err()), "25006");
    assert!(!instance.fence(Term(1)).accepted, "an older fence is refused");
    assert!(!instance.promote(Term(1)).accepted, "an older promotion is refused");
}

/// Guards against a replaced primary whose unacknowledged entries survive.
#[tokio::test]
async fn divergent_entries_are_truncated() {
    let group = Group::start(3, TargetSettings::default()).await;
    let old = group.client(0).await;
    old.batch_execute("INSERT INTO credits (id, amount) VALUES ('kept', 1)").await.unwrap();
    let (kept, held) = wait_commit(&old, 5_000).await;
    assert!(held);
    group.wait_applied(1, kept).await;
    group.cut_replication(0);
    for id in ["lost-1", "lost-2", "lost-3"] {
        old.execute("INSERT INTO credits (id) VALUES ($1)", &[&id]).await.unwrap();
    }
    old.batch_execute("UPDATE credits SET amount = 9 WHERE id = 'kept'").await.unwrap();
    assert!(!wait_commit(&old, 100).await.1);

    for index in [1, 2] {
        assert!(group.instances[index].instance.fence(Term(2)).accepted);
    }
    let promoted = group.instances[1].instance.promote(Term(2));
    assert_eq!((promoted.accepted, promoted.last), (true, Mark::new(2, 3)));
    let new = group.client(1).await;
    new.batch_execute("INSERT INTO credits (id) VALUES ('new')").await.unwrap();
    let (mark, held) = wait_commit(&new, 5_000).await;
    assert!(held, "two of three instances are a majority");

    group.instances[0].instance.faults.heal();
    group.wait_applied(0, mark).await;
    assert_eq!(group.applied(0), mark);
    assert_eq!(amount(&old, "kept").await, Some(1), "the divergent update is gone");
    assert_eq!(amount(&old, "lost-1").await, None);
    assert_eq!(amount(&old, "new").await, Some(0));
    assert!(!wait_commit(&old, 100).await.1);
    assert_eq!(code(&old.batch_execute("DELETE FROM credits").await.unwrap_err()), "25006");
}

/// Guards against two primaries of one term after a repeated or misdirected promotion.
#[tokio::test]
async fn a_term_has_one_primary() {
    let group = Group::start(3, TargetSettings::default()).await;
    group.wait_applied(1, Mark::new(1, 1)).await;
    let replica = &group.instances[1].instance;
    assert!(!replica.promote(Term(1)).accepted);
    assert!(replica.promote(Term(2)).accepted);
    assert_eq!(replica.promote(Term(2)).last, Mark::new(2, 2), "a repeated promotion is harmless");
    group.wait_applied(2, Mark::new(2, 2)).await;
    assert!(!group.instances[2].instance.promote(Term(2)).accepted);
}

/// Guards against more statements at once than the instance has slots.
#[tokio::test]
async fn statements_wait_for_a_slot() {
    let settings = TargetSettings { service_time_us: 50_000, ..TargetSettings::default() };
    let group = Group::start(1, settings).await;
    let mut clients = Vec::new();
    for _ in 0..6 {
        clients.push(group.client(0).await);
    }
    let start = Instant::now();
    let selects = clients.iter().map(|client| client.simple_query("SELECT id FROM t"));
    let all = futures::future::join_all(selects);
    let free = async {
        sleep(Duration::from_millis(10)).await;
        let client = group.client(0).await;
        client.simple_query("SELECT pomelopin_position()").await.unwrap();
        start.elapsed()
    };
    let (_, free) = tokio::join!(all, free);
    assert!(start.elapsed() >= Duration::from_millis(150), "three rounds of two slots");
    assert!(free < Duration::from_millis(100), "functions use no slot");
}

/// Guards against a proxy that opens more connections than it was granted unnoticed.
#[tokio::test]
async fn connections_are_limited() {
    let settings =
        TargetSettings { connections: 2, connect_delay: Millis(30), ..TargetSettings::default() };
    let group = Group::start(1, settings).await;
    let start = Instant::now();
    let first = group.client(0).await;
    assert!(start.elapsed() >= Duration::from_millis(30));
    let _second = group.client(0).await;
    let error = connect(&group.instances[0], "pomelopin", "pomelopin").await.unwrap_err();
    assert_eq!(code(&error), "53300");
    drop(first);
    wait_for(|| async { group.instances[0].instance.connections() == 1 }).await;
    group.client(0).await;
}

/// Guards against faults that do not reach connections, and against lost captures.
#[tokio::test]
async fn faults_stop_connections() {
    let group = single().await;
    let client = group.client(0).await;
    let instance = &group.instances[0].instance;
    instance.faults.freeze(Millis(200));
    let start = Instant::now();
    client.simple_query("SELECT pomelopin_position()").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
    group.isolate(0);
    let query = client.simple_query("SELECT 'marker of the capture'");
    assert!(timeout(Duration::from_millis(100), query).await.is_err());
    instance.faults.heal();
    client.simple_query("SELECT 1").await.unwrap();
    let (bytes, truncated) = instance.capture.read();
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("marker of the capture") && !truncated);
}

/// Entry host that passes on the announcements that it gets.
async fn announcement_receiver() -> (std::net::SocketAddr, mpsc::Receiver<(String, Bytes)>) {
    let (tx, rx) = mpsc::channel(100);
    let receive = async move |headers: HeaderMap, body: Bytes| {
        let signature = headers["x-pomelopin-signature"].to_str().unwrap().to_owned();
        tx.send((signature, body)).await.unwrap();
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/announce", post(receive));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, rx)
}

/// Guards against announcements that are unsigned, late or sent to one host only.
#[tokio::test]
async fn announcements_are_signed_rotate_and_follow_changes() {
    let (addr, mut rx) = announcement_receiver().await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let settings = TargetSettings {
        announce_to: vec![closed, addr],
        announce_interval: Millis(60_000),
        announcement_key: b"key".to_vec(),
        ..TargetSettings::default()
    };
    let group = Group::start(1, settings).await;
    let instance = &group.instances[0].instance;
    let mut received = Vec::new();
    for step in 0..3 {
        let (signature, body) = timeout(PATIENCE, rx.recv()).await.unwrap().unwrap();
        assert_eq!(signature, sign(b"key", &body).unwrap());
        received.push(serde_json::from_slice::<Announcement>(&body).unwrap());
        if step == 0 {
            // The promotion at the start may be announced a second time.
            instance.leave();
        } else if received[step].spec.leaving {
            break;
        }
    }
    let (first, last) = (&received[0], &received[received.len() - 1]);
    assert_eq!((first.role, first.position, first.age_ms), (Role::Primary, Mark::new(1, 1), 0));
    assert_eq!(first.spec.sql_addr, group.instances[0].sql_addr.to_string());
    assert!(last.spec.leaving && last.sequence > first.sequence);
}

/// Guards against control requests that a proxy cannot send or that pass a partition.
#[tokio::test]
async fn control_requests_and_test_controls_work_over_http() {
    let group = single().await;
    let base = format!("http://{}", group.instances[0].http_addr);
    let client = reqwest::Client::new();
    let post = async |path: &str, body: &str| {
        let request =
            client.post(format!("{base}/{path}")).header("content-type", "application/json");
        request.body(body.to_owned()).timeout(Duration::from_millis(500)).send().await
    };
    let answer = async |path: &str, body: &str| -> FenceAnswer {
        post(path, body).await.unwrap().json().await.unwrap()
    };
    let fenced = answer("fence", r#"{"term":3}"#).await;
    assert_eq!(fenced, FenceAnswer { accepted: true, term: Term(3), last: Mark::new(1, 1) });
    let promoted = answer("promote", r#"{"term":3}"#).await;
    assert_eq!(promoted, FenceAnswer { accepted: true, term: Term(3), last: Mark::new(3, 2) });
    for (path, body) in [
        ("test/lag", r#"{"ms":5}"#),
        ("test/leave", ""),
        ("test/partition", r#"{"from":["a"]}"#),
        ("test/heal", ""),
        ("test/partition", r#"{"from":"all"}"#),
    ] {
        assert_eq!(post(path, body).await.unwrap().status(), 204, "{path}");
    }
    assert!(post("fence", r#"{"term":4}"#).await.is_err(), "lost in the partition");
    let status: Status =
        client.get(format!("{base}/status")).send().await.unwrap().json().await.unwrap();
    assert_eq!((status.term, status.role, status.leaving), (Term(3), Role::Primary, true));
    assert_eq!(post("test/heal", "").await.unwrap().status(), 204);
    assert!(answer("fence", r#"{"term":4}"#).await.accepted);
}
