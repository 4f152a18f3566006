//! Tests of owners with a fake backend: outcomes of lost connections, leases, drains
//! and reports.

#![allow(clippy::unwrap_used)]

mod backend;

use std::{sync::Arc, time::Duration};

use backend::{DisconnectAt, FakeBackend, first_column, fixture::*};
use pomelopin::{
    ids::{Epoch, InstanceId, Mark, Term},
    settings::owner::OwnerSettings,
    state::model::{Drain, Promotion, Role},
    wire::{
        announcement::Announcement,
        peer::{Bind, Mode, Outcome, ReadBound, Refusal},
    },
};
use postgres_protocol::authentication::md5_hash;
use tokio::time::{sleep, timeout};

/// Guards against a wrong outcome of a write whose connection is lost. The outcome must
/// be `Failed` only if the write has no effect, and `Unknown` once the `COMMIT` may have
/// arrived.
#[tokio::test]
async fn outcome_depends_on_the_step_at_which_the_connection_is_lost() {
    use DisconnectAt::{After, Before};
    let table = [
        ("SET", Before, "40001"),
        ("SELECT pomelopin_position", Before, "40001"),
        ("BEGIN", Before, "40001"),
        ("INSERT INTO pomelopin_requests", Before, "40001"),
        ("INSERT INTO pomelopin_requests", After, "40001"),
        ("INSERT INTO jobs", Before, "40001"),
        ("INSERT INTO jobs", After, "40001"),
        ("UPDATE", Before, "unknown"),
        ("COMMIT", Before, "unknown"),
        ("COMMIT", After, "unknown"),
        ("SELECT pomelopin_wait", Before, "unknown"),
        ("SELECT pomelopin_wait", After, "unknown"),
    ];
    for (step, when, expected) in table {
        let fixture = Fixture::start().await;
        fixture.backend.state.lock().disconnect_at = Some((step, when));
        let outcome = fixture.write("k", "d").await;
        assert_eq!(outcome_label(&outcome), expected, "{when:?} {step}");
        let effects = fixture.backend.state.lock().committed.len();
        if expected == "40001" {
            assert_eq!(effects, 0, "failed write has an effect, {when:?} {step}");
        }
        fixture.backend.state.lock().disconnect_at = None;
        let read_record = Mode::ReadRecord { term: Term(1), record: record("k", "d") };
        let recorded = outcome_label(&fixture.run(read_record, "").await);
        let expected_record = if effects == 1 { "INSERT 0 1" } else { "NoRecord" };
        assert_eq!(recorded, expected_record, "record after {when:?} {step}");
        assert_eq!(outcome_label(&fixture.write("k", "d").await), "INSERT 0 1");
        assert_eq!(fixture.backend.state.lock().committed.len(), 1, "{when:?} {step}");
    }
}

/// Guards against a refusal of a request whose statement was sent, and against sending
/// the statement of a request that must be refused.
#[tokio::test]
async fn requests_that_cannot_start_are_refused_without_sending() {
    let mut fixture = Fixture::start().await;
    let write = Mode::Write { term: Term(1), record: None };
    let mut stale = request(write.clone(), INSERT);
    stale.epoch = Epoch(2);
    assert_eq!(outcome_label(&fixture.owner.execute(stale).await), "NotOwner");
    assert_eq!(outcome_label(&fixture.run(in_transaction(9), INSERT).await), "UnknownTransaction");

    let promotion = Promotion { term: Term(2), preferred: None };
    fixture.view.groups[0].promotion = Some(promotion);
    fixture.apply_view();
    assert_eq!(outcome_label(&fixture.run(write.clone(), INSERT).await), "NotPrimary");
    assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), "NotPrimary");
    assert_eq!(outcome_label(&fixture.run(begin(1), "BEGIN").await), "NotPrimary");
    assert!(!fixture.backend.state.lock().log.iter().any(|(_, sql)| sql == INSERT));

    let unreachable = Fixture::start().await;
    unreachable.backend.state.lock().refuse = true;
    unreachable.owner.lease_ended();
    unreachable.owner.lease_renewed();
    assert_eq!(outcome_label(&unreachable.run(write, INSERT).await), "NoConnection");
}

/// Guards against running a request twice under the same key, and against answering a
/// different request with the recorded answer.
#[tokio::test]
async fn repeated_key_returns_the_recorded_answer() {
    let fixture = Fixture::start().await;
    let first = expect_done(fixture.write("k", "d").await);
    assert_eq!(first.mark, Some(Mark::new(1, 11)));
    assert_eq!(outcome_label(&fixture.write("k", "d").await), "INSERT 0 1");
    assert_eq!(outcome_label(&fixture.write("k", "other").await), "22023");
    assert_eq!(fixture.backend.state.lock().committed.len(), 1);

    fixture.backend.state.lock().has_majority = false;
    assert_eq!(outcome_label(&fixture.write("k", "d").await), "unknown");
    assert_eq!(outcome_label(&fixture.write("k2", "d").await), "unknown");
}

/// Guards against writes and primary reads at an instance that is not the primary of the
/// term, and against reads that are staler than their bound.
#[tokio::test]
async fn position_is_verified_for_each_request() {
    let fixture = Fixture::start().await;
    let replica = |mark, age| {
        let max_staleness_ms = Some(age);
        Mode::Read(ReadBound { mark: Some(mark), max_staleness_ms, term: Term(1) })
    };
    let rows = expect_done(fixture.run(primary_read(), "SELECT 1").await);
    assert_eq!(first_column(&rows.rows[0]), "1");
    assert_eq!(rows.mark, Some(Mark::new(1, 10)));
    fixture.backend.state.lock().age_ms = 40;
    fixture.backend.state.lock().primary = false;
    let at = Mark::new(1, 10);
    expect_done(fixture.run(replica(at, 40), "SELECT 1").await);
    for mode in [replica(at, 39), replica(Mark::new(1, 11), 40), replica(Mark::new(2, 1), 40)] {
        let behind = Refusal::Behind { position: at, age_ms: 40 };
        let outcome = fixture.run(mode, "SELECT 1").await;
        assert!(matches!(outcome, Outcome::Refused(refusal) if refusal == behind));
    }
    assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), "NotPrimary");
    assert_eq!(outcome_label(&fixture.write("k", "d").await), "NotPrimary");
    fixture.backend.state.lock().primary = true;
    fixture.backend.state.lock().term = 2;
    assert_eq!(outcome_label(&fixture.write("k", "d").await), "NotPrimary");
    assert!(fixture.backend.state.lock().committed.is_empty());
    assert_eq!(
        fixture.owner.last_position(&"a1".into()).map(|(mark, _)| mark),
        Some(Mark::new(2, 10))
    );
}

/// Guards against a statement that keeps running after its deadline.
#[tokio::test]
async fn deadline_fails_a_write_before_its_commit() {
    let fixture = Fixture::start().await;
    let mut req = request(Mode::Write { term: Term(1), record: None }, "INSERT SLOW 500");
    req.deadline_ms = 100;
    assert_eq!(outcome_label(&fixture.owner.execute(req).await), "57014");
    eventually(|| fixture.backend.state.lock().cancels == 1).await;
}

/// Guards against connections that outlive the lease, and against an acknowledgement
/// after the lease has ended.
#[tokio::test]
async fn end_of_the_lease_closes_all_connections() {
    let fixture = Arc::new(Fixture::start().await);
    expect_done(fixture.run(begin(1), "BEGIN").await);
    let running = fixture.clone();
    let slow = tokio::spawn(async move { running.run(primary_read(), "SELECT SLOW 300").await });
    eventually(|| fixture.backend.state.lock().log.iter().any(|(_, sql)| sql.contains("SLOW")))
        .await;
    fixture.owner.lease_ended();
    assert_eq!(outcome_label(&slow.await.unwrap()), "unknown");
    eventually(|| fixture.open_connections() == 0).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.open_connections(), 0, "connections were opened without a lease");
    assert_eq!(outcome_label(&fixture.run(in_transaction(1), INSERT).await), "UnknownTransaction");
    assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), "NotOwner");
    fixture.owner.lease_renewed();
    expect_done(fixture.run(primary_read(), "SELECT 1").await);
}

/// Guards against a previous owner that keeps connections, or opens new ones, after the
/// instance has moved.
#[tokio::test]
async fn moved_instance_is_released_as_transactions_end() {
    let mut fixture = Fixture::start().await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    let instance = fixture.instance();
    instance.previous = instance.owner.take();
    fixture.apply_view();
    assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), "NotOwner");
    eventually(|| fixture.open_connections() == 1).await;
    eventually(|| fixture.owner.take_reports().0.iter().all(|release| release.kept == 1)).await;
    expect_done(fixture.run(in_transaction(1), INSERT).await);
    assert_eq!(outcome_label(&fixture.run(commit(1), "").await), "COMMIT");
    let released = || {
        let (releases, _) = fixture.owner.take_reports();
        releases.iter().any(|release| release.epoch == Epoch(3) && release.kept == 0)
    };
    eventually(released).await;
    assert_eq!(fixture.open_connections(), 0);
}

/// Guards against a previous owner that never reports its release because it holds no
/// connections, and against connections to a former address of an instance.
#[tokio::test]
async fn unused_and_restarted_instances_are_released() {
    let mut fixture = Fixture::start().await;
    let restarted = FakeBackend::start().await;
    fixture.instance().spec.sql_addr = restarted.addr.clone();
    fixture.apply_view();
    expect_done(fixture.run(primary_read(), "SELECT 1").await);
    eventually(|| fixture.open_connections() == 0).await;

    let mut other = fixture.view.instances[0].clone();
    other.spec.id = "a9".into();
    other.previous = other.owner.take();
    fixture.view.instances.insert("a9".into(), other);
    fixture.apply_view();
    let (releases, _) = fixture.owner.take_reports();
    let [release] = &releases[..] else { panic!("{releases:?}") };
    assert_eq!((release.instance.as_str(), release.kept), ("a9", 0));
    fixture.view.instances.shift_remove(&InstanceId::from("a9"));
    fixture.view.instances[0].owner = None;
    fixture.apply_view();
    assert!(fixture.owner.take_reports().0.is_empty());
    eventually(|| restarted.state.lock().open == 0).await;
}

/// Guards against new requests at a drained instance, and against interrupting its open
/// transactions.
#[tokio::test]
async fn drained_instance_accepts_no_new_requests() {
    let mut fixture = Fixture::start().await;
    expect_done(fixture.run(begin(1), "BEGIN").await);
    fixture.view.groups[0].primary = None;
    fixture.view.desired.drains.push(Drain::Instance("a1".into()));
    fixture.apply_view();
    assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), "Draining");
    expect_done(fixture.run(in_transaction(1), INSERT).await);
    assert_eq!(outcome_label(&fixture.run(commit(1), "").await), "COMMIT");
}

/// Guards against a primary failure that goes unreported, and against a false suspicion
/// that slow statements cause.
#[tokio::test]
async fn unresponsive_primary_is_reported_and_a_slow_one_is_not() {
    let fixture = Fixture::start().await;
    let silent = |fixture: &Fixture| {
        let (_, observations) = fixture.owner.take_reports();
        observations.iter().any(|o| o.role == Role::Primary && o.silent_ms >= 1_000)
    };
    let mut slow = request(primary_read(), "SELECT SLOW 1300");
    slow.deadline_ms = 3_000;
    expect_done(fixture.owner.execute(slow).await);
    assert!(!silent(&fixture));
    fixture.backend.state.lock().refuse = true;
    fixture.backend.state.lock().disconnect_at = Some(("SELECT", DisconnectAt::Before));
    let urgent = fixture.owner.urgent_reports();
    timeout(Duration::from_millis(1_600), urgent.notified()).await.expect("report within 1.6 s");
    assert!(silent(&fixture));
}

/// Guards against requests that wait for an isolated primary until their deadline after
/// a promotion has started.
#[tokio::test]
async fn promotion_ends_requests_at_an_isolated_primary() {
    for (prefix, expected) in [("INSERT INTO jobs", "40001"), ("SELECT pomelopin_wait", "unknown")]
    {
        let mut fixture = Fixture::start().await;
        expect_done(fixture.run(primary_read(), "SELECT 1").await);
        fixture.backend.state.lock().hang = Some(prefix);
        fixture.view.groups[0].promotion = Some(Promotion { term: Term(2), preferred: None });
        let promote = async {
            while !fixture.backend.state.lock().hung {
                sleep(Duration::from_millis(5)).await;
            }
            fixture.apply_view();
        };
        let write = timeout(Duration::from_millis(600), fixture.write("k", "d"));
        let (outcome, ()) = tokio::join!(write, promote);
        assert_eq!(
            outcome_label(&outcome.expect("outcome before the deadline")),
            expected,
            "{prefix}"
        );
    }
}

/// Guards against requests that wait for an unresponsive instance until their deadline.
#[tokio::test]
async fn requests_at_an_unresponsive_instance_fail_early() {
    let fixture = Fixture::start().await;
    expect_done(fixture.run(primary_read(), "SELECT 1").await);
    fixture.backend.state.lock().hang = Some("");
    let mut req = request(primary_read(), "SELECT 1");
    req.deadline_ms = 5_000;
    let lost = timeout(Duration::from_millis(1_700), fixture.owner.execute(req.clone())).await;
    assert_eq!(outcome_label(&lost.expect("outcome before the deadline")), "unknown");
    let refused = timeout(Duration::from_millis(600), fixture.owner.execute(req.clone())).await;
    assert_eq!(outcome_label(&refused.expect("outcome before the deadline")), "NoConnection");
    fixture.backend.state.lock().hang = None;
    sleep(Duration::from_millis(1_500)).await;
    expect_done(fixture.owner.execute(req).await);
}

/// Guards against a replica's suspicion of its primary that is lost or that outlives the
/// announcement.
#[tokio::test]
async fn announcements_of_replicas_become_observations() {
    let fixture = Fixture::start().await;
    let announcement = Announcement {
        spec: fixture.view.instances[0].spec.clone(),
        sequence: 1,
        role: Role::Replica,
        position: Mark::new(1, 9),
        age_ms: 1_100,
        primary_silent_ms: 1_100,
    };
    fixture.backend.state.lock().primary = false;
    fixture.owner.handle_announcement(announcement);
    fixture.owner.urgent_reports().notified().await;
    let (_, observations) = fixture.owner.take_reports();
    assert_eq!((observations[0].role, observations[0].silent_ms), (Role::Replica, 1_100));
    sleep(Duration::from_millis(1_600)).await;
    assert!(fixture.owner.take_reports().1.iter().all(|o| o.silent_ms < 1_000));
}

/// Guards against extended queries whose parameters do not reach the target, and against
/// a describe request that fails or ignores the epoch.
#[tokio::test]
async fn extended_queries_and_describe_requests_are_forwarded() {
    let fixture = Fixture::start().await;
    let mut req = request(primary_read(), "SELECT $1");
    let values = vec![Some("1".into()), None];
    req.statement.bind = Some(Bind { values, ..Bind::default() });
    assert_eq!(expect_done(fixture.owner.execute(req).await).rows.len(), 1);
    fixture.owner.describe(&"a1".into(), Epoch(3), "SELECT 1").await.unwrap();
    assert!(fixture.owner.describe(&"a1".into(), Epoch(2), "SELECT 1").await.is_err());
}

/// Guards against password messages that a target does not accept, in clear text or as
/// MD5 hash, and against a missing failure on a wrong password.
#[tokio::test]
async fn owner_authenticates_with_clear_text_and_md5_passwords() {
    let md5 = md5_hash(b"pomelopin", b"secret", [1, 2, 3, 4]);
    let table = [
        (vec![0, 0, 0, 3], "secret".to_owned(), "SELECT 1"),
        (vec![0, 0, 0, 5, 1, 2, 3, 4], md5, "SELECT 1"),
        (vec![0, 0, 0, 3], "other!".to_owned(), "NoConnection"),
    ];
    for (request, expected, outcome) in table {
        let backend = FakeBackend::start().await;
        backend.state.lock().password = Some((request, expected));
        let settings = OwnerSettings { password: "secret".into(), ..OwnerSettings::default() };
        let fixture = Fixture::with_backend(backend, settings).await;
        assert_eq!(outcome_label(&fixture.run(primary_read(), "SELECT 1").await), outcome);
    }
}
