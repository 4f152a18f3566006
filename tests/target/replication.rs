//! Tests of replication, fencing and promotion.

use std::time::Duration;

use pomelopin::{
    clock::Millis,
    ids::{Mark, Term},
    settings::target::TargetSettings,
};
use tokio::time::{Instant, sleep};

use crate::group::{Group, amount, code, wait_commit};

/// Guards against replicas that ignore the replication lag or accept writes.
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
    assert!(!wait_commit(&replica, 2_000).await.1, "a replica cannot confirm a majority");
}

/// Guards against reporting a commit as durable when only a minority holds it.
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

/// Guards against a fenced primary that still accepts or acknowledges writes.
#[tokio::test]
async fn a_fenced_primary_refuses_writes_and_ends_waits() {
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

/// Guards against unacknowledged entries of a replaced primary that survive its return.
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

/// Guards against two primaries in one term after a repeated or misdirected promotion.
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
