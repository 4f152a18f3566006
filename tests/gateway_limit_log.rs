//! Volume of the log lines on rate limits.

use pomelopin::{
    gateway::{limit_log::LimitLog, workspace_limit::LimitUse},
    ids::Workspace,
};

fn used(admitted: u32, refused: u32) -> Vec<(Workspace, LimitUse)> {
    vec![("w".into(), LimitUse { admitted, refused, ..LimitUse::default() })]
}

/// Guards against refusals that the log tells of late or without the admissions beside them.
#[test]
fn refusals_are_logged_with_all_admissions_since_the_last_line() {
    let mut log = LimitLog::default();
    assert!(log.record(used(3, 0)).is_empty());
    assert_eq!(log.record(used(2, 1)), [("w".into(), 2, used(5, 1)[0].1)]);
}

/// Guards against a line per second of each workspace whose callers are not refused.
#[test]
fn admissions_without_refusals_are_summed_up() {
    let mut log = LimitLog::default();
    assert!((0..4).all(|_| log.record(used(1, 0)).is_empty()));
    assert_eq!(log.record(used(1, 0)), [("w".into(), 5, used(5, 0)[0].1)]);
    assert!((0..20).all(|_| log.record(Vec::new()).is_empty()));
}
