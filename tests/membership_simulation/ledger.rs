//! What the group has committed and acknowledged, and violations of its promises.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::Display;
use pomelopin::{ids::ControlId, wire::group::GroupTerm};

/// State machine: number of applied commands and a digest of them.
pub type AppliedState = (u64, u64);

/// Broken promise, in words.
#[derive(Debug, Clone, Display)]
#[display("{kind}: {text}")]
pub struct Violation {
    pub kind: ViolationKind,
    pub text: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ViolationKind {
    #[display("two leaders in a term")]
    TwoLeaders,
    #[display("a committed entry was replaced")]
    EntryReplaced,
    #[display("a serving leader lacks an acknowledged entry")]
    EntryLost,
    #[display("no change is acknowledged after the last fault")]
    NoChange,
    #[display("a host neither votes nor follows after the last fault")]
    HostLeftOut,
}

/// Committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Committed {
    term: GroupTerm,
    command: Bytes,
    /// State after the command.
    state: AppliedState,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// First command that any host committed at each index.
    committed: BTreeMap<u64, Committed>,
    leaders: BTreeMap<GroupTerm, ControlId>,
    /// Index up to which entries are acknowledged.
    acknowledged: u64,
    pub violation: Option<Violation>,
}

impl Ledger {
    /// Records that a host applied `command` and has reached `state`.
    pub fn record_commit(
        &mut self,
        host: &str,
        index: u64,
        term: GroupTerm,
        command: Bytes,
        state: AppliedState,
    ) {
        let found = Committed { term, command, state };
        let first = self.committed.entry(index).or_insert_with(|| found.clone());
        if *first != found {
            let text = format!("{host} committed {found:?} at {index} instead of {first:?}");
            self.report(ViolationKind::EntryReplaced, text);
        }
    }

    /// Records that a host is the leader in `term`.
    pub fn record_leader(&mut self, term: GroupTerm, leader: &ControlId) {
        let first = self.leaders.entry(term).or_insert_with(|| leader.clone());
        if first != leader {
            let text = format!("{first} and {leader} in term {term}");
            self.report(ViolationKind::TwoLeaders, text);
        }
    }

    /// Checks that a serving leader has all acknowledged entries, and records those up to its
    /// commit index as acknowledged.
    pub fn record_serving(&mut self, host: &str, commit_index: u64, state: AppliedState) {
        let expected = self.state_at(commit_index);
        if commit_index < self.acknowledged || state != expected {
            let acknowledged = self.acknowledged;
            let text = format!(
                "{host} serves at {commit_index} with state {state:?}; acknowledged are \
                 {acknowledged} entries, the state is {expected:?}"
            );
            self.report(ViolationKind::EntryLost, text);
        }
        self.acknowledged = self.acknowledged.max(commit_index);
    }

    /// Last command that is acknowledged.
    pub fn last_acknowledged_command(&self) -> Option<&Bytes> {
        self.committed.range(..=self.acknowledged).next_back().map(|(_, it)| &it.command)
    }

    /// Index up to which entries are acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Records the first violation of the run.
    pub fn report(&mut self, kind: ViolationKind, text: String) {
        self.violation.get_or_insert(Violation { kind, text });
    }

    /// State after the entry at `index`.
    fn state_at(&self, index: u64) -> AppliedState {
        let last = self.committed.range(..=index).next_back();
        last.map_or(AppliedState::default(), |(_, it)| it.state)
    }
}
