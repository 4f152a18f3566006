//! Checks of a group after the last fault. The bounds are those that the users state; they say
//! nothing of what the group usually takes.

use crate::{group::Group, ledger::ViolationKind};

/// Time within which a change is acknowledged.
const CHANGE_BOUND_MS: u64 = 12_000;

/// Time within which every host votes or follows the leader.
const FOLLOW_BOUND_MS: u64 = 30_000;

/// Time between two looks at the group.
const SLICE_MS: u64 = 50;

/// Runs a group after its last fault and reports what it does not reach in time.
pub fn check(group: &mut Group) {
    let end = group.now;
    let last_command = group.last_command();
    group.note_fault("the last fault has ended");
    let is_changed = |group: &Group| group.has_acknowledged_after(last_command);
    if !run_until(group, end + CHANGE_BOUND_MS, is_changed) {
        let text = format!("{CHANGE_BOUND_MS} ms after the last fault");
        group.ledger.report(ViolationKind::NoChange, text);
        return;
    }
    let index = group.ledger.acknowledged();
    if !run_until(group, end + FOLLOW_BOUND_MS, |group| group.all_have_committed(index)) {
        let text = format!("{index} entries are acknowledged; {}", group.commit_indexes());
        group.ledger.report(ViolationKind::HostLeftOut, text);
    }
}

fn run_until(group: &mut Group, end: u64, is_reached: impl Fn(&Group) -> bool) -> bool {
    while !is_reached(group) && group.now < end && group.ledger.violation.is_none() {
        group.run(SLICE_MS);
    }
    is_reached(group) || group.ledger.violation.is_some()
}
