//! Load of a process, and delays between failing searches.

use pomelopin::{
    clock::Millis,
    gateway::{
        load_signal::LoadSignal,
        search_backoff::{SearchBackoff, SearchFailure},
    },
};

/// Records wake-ups that are `delay` late, for `span` from `from`.
fn record(signal: &mut LoadSignal, from: u64, span: u64, delay: u64) {
    for at in (from..from + span).step_by(50) {
        signal.record(Millis(at), Millis(delay));
    }
}

/// Number of 100 operations that are refused.
fn refused(signal: &mut LoadSignal, now: u64, priority: u32) -> usize {
    let mut refuses = || signal.refuses(Millis(now), priority, [0, 1, 2].into_iter());
    (0..100).filter(|_| refuses()).count()
}

/// Guards against a busy host that refuses urgent work, and against one that refuses after a
/// single pause.
#[test]
fn least_urgent_work_is_refused_first() {
    let mut signal = LoadSignal::default();
    record(&mut signal, 0, 1_000, 2);
    record(&mut signal, 1_000, 500, 300);
    assert_eq!((signal.busy_report(Millis(1_500)), refused(&mut signal, 1_500, 2)), (None, 0));
    for (delay, least, middle) in [(60, 0, 0), (120, 50, 0), (200, 100, 50), (900, 100, 100)] {
        let mut signal = LoadSignal::default();
        record(&mut signal, 0, 1_500, delay);
        assert!(signal.busy_report(Millis(1_500)).is_some());
        let refused = [2, 1, 0].map(|priority| refused(&mut signal, 1_500, priority));
        assert_eq!(refused, [least, middle, 0], "delay of {delay} ms");
    }
}

/// Guards against a host that stays busy after its load has ended.
#[test]
fn load_ends_within_two_seconds() {
    let mut signal = LoadSignal::default();
    record(&mut signal, 0, 2_000, 400);
    assert_eq!(refused(&mut signal, 2_000, 2), 100);
    record(&mut signal, 2_000, 1_000, 1);
    assert_eq!(refused(&mut signal, 3_000, 2), 0);
}

/// Guards against hundreds of searches in vain: in 8 s a fixed delay of 150 ms allows 53.
#[test]
fn failing_searches_become_rarer() {
    let mut backoff = SearchBackoff::default();
    let mut fail = |failure| backoff.record_failure(failure).0;
    let delays = [SearchFailure::Unproven; 4].map(&mut fail);
    assert_eq!(delays, [150, 300, 600, 600]);
    let searches = 2 + (8_000 - 450) / 600;
    assert!(searches * 3 < 8_000 / 150, "{searches}");
    assert_eq!(fail(SearchFailure::Leaving), 150, "another reason");
    assert_eq!(fail(SearchFailure::Leaving), 300);
    assert_eq!([SearchFailure::OldView; 2].map(&mut fail), [150, 150], "no target is queried");
    backoff.record_failure(SearchFailure::Unproven);
    backoff.record_failure(SearchFailure::Unproven);
    backoff.reset();
    assert_eq!(backoff.record_failure(SearchFailure::Unproven), Millis(150), "a new view");
}
