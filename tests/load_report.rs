//! Tests for the violation checks, the report and the settings of the load tool.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use bpaf::Parser;
use pomelopin::{
    clock::Millis,
    load::{
        evaluation::{RunMetadata, evaluate, longest_gap},
        expectation::{BookingRow, BookingStatus, Counter, Expectation},
        faults::{Fault, FaultAction},
        limits::{Limit, Span, densest_window, inside_rate, over_rate},
        samples::{Kind, Outcome, Record, Sample, Violations},
        schedule::Schedule,
        scrape::{ReadCounts, parse},
    },
    settings::{load::load_arguments, target::target_arguments},
};
use quickcheck::{QuickCheck, TestResult};

const SECOND: u64 = 1_000_000;

fn spans(times: &[(u64, u64)]) -> Vec<Span> {
    times.iter().map(|(sent, done)| Span { sent: *sent, done: *done }).collect()
}

/// Guards against missed and false over-rate violations.
#[test]
fn over_rate_counts_only_statements_within_a_window() {
    let limit = Limit { rate: 2, burst: 1 };
    let cases: [(&str, Vec<Span>, u64); 6] = [
        ("nothing", vec![], 0),
        ("rate and burst", spans(&[(0, 1), (2, 3), (4, 5)]), 0),
        ("one too many", spans(&[(0, 1), (2, 3), (4, 5), (6, SECOND)]), 1),
        ("the last one ends later", spans(&[(0, 1), (2, 3), (4, 5), (6, SECOND + 1)]), 0),
        ("a window in the middle", spans(&[(0, 9), (5, 6), (5, 6), (5, 6), (5, SECOND + 5)]), 1),
        ("spread out", spans(&[(0, 1), (SECOND, SECOND), (2 * SECOND, 2 * SECOND)]), 0),
    ];
    for (name, spans, expected) in cases {
        assert_eq!(over_rate(limit, &spans), expected, "{name}");
    }
}

/// Guards against a densest-window search that disagrees with brute-force counting.
#[test]
fn densest_window_matches_brute_force() {
    fn agrees(times: Vec<(u8, u8)>, window: u8) -> TestResult {
        let spans: Vec<Span> = times
            .iter()
            .map(|(sent, length)| Span {
                sent: u64::from(*sent),
                done: u64::from(*sent) + u64::from(*length),
            })
            .collect();
        let window = u64::from(window);
        let count = |from: u64| {
            let inside = |span: &&Span| span.sent >= from && span.done <= from + window;
            spans.iter().filter(inside).count() as u64
        };
        let expected = spans.iter().map(|span| count(span.sent)).max().unwrap_or(0);
        TestResult::from_bool(densest_window(&spans, window) == expected)
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(30, 7))
        .quickcheck(agrees as fn(Vec<(u8, u8)>, u8) -> TestResult);
}

/// Guards against refusals that count as wrong although the caller exceeded its rate.
#[test]
fn refusal_is_wrong_only_within_the_rate() {
    let limit = Limit { rate: 2, burst: 10 };
    let spiky = Limit { rate: 10, burst: 2 };
    assert!(inside_rate(spiky, &[SECOND; 3], SECOND));
    assert!(
        !inside_rate(spiky, &[SECOND; 4], SECOND),
        "2 from the rate in 200 ms, and 1 from half of the burst"
    );
    let cases: [(&str, &[u64], u64, bool); 4] = [
        ("first request", &[SECOND], SECOND, true),
        ("at the rate", &[0, SECOND / 2, SECOND, 3 * SECOND / 2], 3 * SECOND / 2, true),
        ("short excess", &[SECOND, SECOND + 1, SECOND + 2], SECOND + 2, false),
        (
            "excess over three seconds",
            &[0, 1, SECOND, SECOND + 1, 2 * SECOND, 2 * SECOND + 1, 2 * SECOND + 999_999],
            2 * SECOND + 999_999,
            false,
        ),
    ];
    for (name, offered, at, expected) in cases {
        assert_eq!(inside_rate(limit, offered, at), expected, "{name}");
    }
}

/// Guards against outages at the start or the end of a run that go unreported.
#[test]
fn gaps_include_start_and_end_of_the_run() {
    assert_eq!(longest_gap(vec![], 100), 100);
    assert_eq!(longest_gap(vec![30, 10, 90], 100), 60);
    assert_eq!(longest_gap(vec![10, 20], 100), 80);
    assert_eq!(longest_gap(vec![10, 120], 100), 90, "a late success does not count");
}

/// Guards against lost, doubled, mixed and refused-but-executed writes that go unreported.
#[test]
fn audit_compares_rows_with_reported_outcomes() {
    let mut expectation = Expectation::default();
    for (id, status) in [
        ("kept", BookingStatus::Acknowledged),
        ("gone", BookingStatus::Acknowledged),
        ("changed", BookingStatus::Acknowledged),
        ("maybe", BookingStatus::Unknown),
        ("refused", BookingStatus::Refused),
        ("ran", BookingStatus::Refused),
    ] {
        expectation.record_booking(id.to_owned(), format!("value of {id}"), status);
    }
    let row = |id: &str, value: &str| (id.to_owned(), Some(format!("value of {value}")));
    let rows = BTreeMap::from([row("kept", "kept"), row("changed", "kept"), row("ran", "ran")]);
    let found = expectation.audit_bookings(&rows);
    let expected = Violations { lost: 1, mixed: 1, refused_but_ran: 1, ..Violations::default() };
    assert_eq!(found, expected);

    expectation.counter = Some(Counter { acknowledged: 5, unknown: 2 });
    let cases = [(Some(5), 0, 0), (Some(7), 0, 0), (Some(3), 2, 0), (Some(9), 0, 2), (None, 5, 0)];
    for (amount, lost, doubled) in cases {
        let found = expectation.audit_counter(amount);
        assert_eq!((found.lost, found.doubled), (lost, doubled), "{amount:?}");
    }
}

/// Guards against unreported reads that miss own writes or belong to another request.
#[test]
fn reads_are_checked_against_own_writes() {
    let mut expectation = Expectation::default();
    expectation.record_booking("a".to_owned(), "x".to_owned(), BookingStatus::Acknowledged);
    expectation.counter = Some(Counter { acknowledged: 2, unknown: 0 });
    let row = |id: &str, value: &str| BookingRow { id: id.into(), value: Some(value.into()) };
    let cases = [
        ("own row", vec![row("a", "x")], 0, 0),
        ("missing", vec![], 1, 0),
        ("other value", vec![row("a", "y")], 0, 1),
        ("other row", vec![row("b", "x")], 0, 1),
        ("two rows", vec![row("a", "x"), row("a", "x")], 0, 1),
    ];
    for (name, rows, stale, mixed) in cases {
        let found = expectation.check_booking("a", &rows);
        assert_eq!((found.stale_reads, found.mixed), (stale, mixed), "{name}");
    }
    let check_counter =
        |id: &str, amount| expectation.check_counter("c", &[(id.to_owned(), amount)]);
    assert_eq!(check_counter("c", 2), Violations::default());
    assert_eq!(check_counter("c", 1).stale_reads, 1);
    assert_eq!(check_counter("d", 2).mixed, 1);
}

fn sample(workspace: usize, kind: Kind, sent: u64, outcome: Outcome) -> Sample {
    Sample { workspace, service: 0, kind, scheduled: sent, sent, done: sent + 1_000, outcome }
}

/// Guards against overall figures that hide a starved workspace or a wrong refusal.
#[test]
fn shares_and_refusals_are_per_workspace() {
    let limit = Some(Limit { rate: 10, burst: 10 });
    let metadata = RunMetadata {
        workspaces: vec![("noisy".to_owned(), limit), ("quiet".to_owned(), limit)],
        services: vec!["returns".to_owned()],
        duration_us: 10 * SECOND,
    };
    let mut record = Record::default();
    // 500 requests in 10 s at a limit of 10/s: the burst of 10 and every fifth request succeed.
    for index in 0..500 {
        let outcome =
            if index < 10 || index % 5 == 0 { Outcome::Done } else { Outcome::RateLimited };
        record.samples.push(sample(0, Kind::Read, index * 20_000, outcome));
    }
    // 50 requests within the rate, of which one is refused.
    for index in 0..50 {
        let outcome = if index == 25 { Outcome::RateLimited } else { Outcome::Done };
        record.samples.push(sample(1, Kind::Insert, index * 200_000, outcome));
    }
    record.attempts = record.samples.iter().map(|sample| (sample.workspace, sample.sent)).collect();
    let report = evaluate(&metadata, &record);
    assert_eq!(report.wrongly_refused, 1);
    assert_eq!(report.workspaces["noisy"].share, 1.08);
    assert_eq!(report.worst_workspace_share, 0.98);
    assert_eq!(report.failover_gap_ms, 400);
    assert_eq!(report.over_rate, 0);
    assert_eq!((report.writes.count, report.writes.p50_us), (49, 1_000));
    assert_eq!(report.violations(0.0), [("wrongly_refused", 1)]);
    assert!(report.violations(0.02).is_empty());
    record.unsent.insert(1, 50);
    let report = evaluate(&metadata, &record);
    assert_eq!(
        report.worst_workspace_share, 0.49,
        "operations left unsent by slow answers count as offered"
    );
}

/// Guards against load that depends on answers or differs between runs with the same seed.
#[test]
fn schedules_are_open_loop_and_reproducible() {
    let times: Vec<u64> = Schedule::new(50.0, 2 * SECOND, 3).collect();
    assert_eq!(times.len(), 100);
    assert!(times.is_sorted());
    assert_eq!(times, Schedule::new(50.0, 2 * SECOND, 3).collect::<Vec<_>>());
    assert_eq!(Schedule::new(0.0, SECOND, 3).count(), 0);
}

/// Guards against incomplete or misspelled faults that are accepted.
#[test]
fn faults_are_parsed_or_rejected() {
    let fault: Fault =
        "at=5s,action=partition,target=http://127.0.0.1:1,from=a+b,for=500ms".parse().unwrap();
    let from = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(fault.at, Millis(5_000));
    let heal_after = Some(Millis(500));
    assert_eq!(fault.action, FaultAction::Partition { from, heal_after });
    for text in [
        "",
        "at=5s,action=partition",
        "action=heal,target=t",
        "at=5s,action=melt,target=t",
        "at=5s,action=freeze,target=t",
        "at=soon,action=heal,target=t",
        "at=5s,action=heal,target=t,color=red",
    ] {
        assert!(text.parse::<Fault>().is_err(), "{text}");
    }
}

/// Guards against metrics of other names or sources that count as reads.
#[test]
fn read_counts_are_parsed_from_metrics() {
    let text = "# TYPE pomelopin_reads counter\n\
                pomelopin_reads_total{source=\"replica\",service=\"a\"} 7\n\
                pomelopin_reads_total{source=\"replica\",service=\"b\"} 2\n\
                pomelopin_reads_total{source=\"primary\"} 1\n\
                pomelopin_writes_total 5\n";
    let reads = parse(text);
    assert_eq!(reads, ReadCounts { replica: 9, primary: 1 });
    assert_eq!(reads.replica_share_since(ReadCounts::default()), Some(0.9));
    assert_eq!(reads.replica_share_since(reads), None);
}

/// Guards against validation that stops at the first invalid setting.
#[test]
fn all_invalid_settings_are_reported_at_once() {
    let arguments: &[&str] = &["--sql-listen", "x", "--slots", "0", "--peer", "a", "--lag-ms", "-"];
    let target = target_arguments().to_options().run_inner(arguments).unwrap();
    let flags: Vec<_> =
        target.validate().unwrap_err().into_iter().map(|finding| finding.flag).collect();
    assert_eq!(flags, ["sql-listen", "peer", "slots", "lag-ms"]);

    let arguments: &[&str] =
        &["--mode", "x", "--limits", "w=3", "--read-share", "2", "--fault", "at=1s"];
    let load = load_arguments().to_options().run_inner(arguments).unwrap();
    let mut flags: Vec<_> =
        load.validate().unwrap_err().into_iter().map(|finding| finding.flag).collect();
    flags.sort_unstable();
    assert_eq!(flags, ["entry", "fault", "keys", "limits", "mode", "read-share", "service"]);
}
