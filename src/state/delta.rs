//! Deltas that bring the views of entry hosts up to date.
//!
//! Control hosts keep a bounded window of recent changes. An entry host whose revision
//! is in the window gets the changes since then; any other host gets a snapshot of the
//! view.

use std::collections::VecDeque;

use derive_more::Display;

use crate::{
    ids::Revision,
    state::model::{Change, ClusterView},
    wire::control::Update,
};

/// Recent changes of the view, by revision.
#[derive(Debug, Clone)]
pub struct ChangeHistory {
    /// Maximum number of changes in the window.
    limit: usize,
    /// Number of changes in the window.
    change_count: usize,
    window: VecDeque<(Revision, Vec<Change>)>,
}

/// Why an update cannot be applied; the host must request a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UpdateError {
    /// Delta starts after the revision of the host's view.
    #[display("delta starts at revision {from}, after revision {have}: a snapshot is needed")]
    Gap { have: Revision, from: Revision },
}

impl std::error::Error for UpdateError {}

impl ChangeHistory {
    /// Empty history that keeps at most `limit` changes.
    pub fn new(limit: usize) -> Self {
        Self { limit, change_count: 0, window: VecDeque::new() }
    }

    /// Adds the changes of `revision`. Earlier changes are dropped if revisions in
    /// between are missing.
    pub fn record(&mut self, revision: Revision, changes: Vec<Change>) {
        if self.window.back().is_some_and(|(last, _)| last.next() != revision) {
            self.window.clear();
            self.change_count = 0;
        }
        self.change_count += changes.len();
        self.window.push_back((revision, changes));
        while self.change_count > self.limit {
            let Some((_, dropped)) = self.window.pop_front() else { break };
            self.change_count -= dropped.len();
        }
    }

    /// Update from `host_revision` to the current `view`.
    ///
    /// A host that is ahead of `view` gets no update: this control host has not applied
    /// all committed commands yet.
    pub fn update_for(&self, host_revision: Revision, view: &ClusterView) -> Update {
        if host_revision >= view.revision {
            return Update::None;
        }
        if !self.covers(host_revision, view.revision) {
            return Update::Snapshot(Box::new(view.clone()));
        }
        let newer = self.window.iter().filter(|(revision, _)| *revision > host_revision);
        let changes = newer.flat_map(|(_, changes)| changes.iter().cloned()).collect();
        Update::Delta { from: host_revision, to: view.revision, changes }
    }

    /// Whether the window has every revision after `from` up to `to`.
    fn covers(&self, from: Revision, to: Revision) -> bool {
        let first = self.window.front().map(|(revision, _)| *revision);
        let last = self.window.back().map(|(revision, _)| *revision);
        first.is_some_and(|first| first <= from.next()) && last == Some(to)
    }
}

impl ClusterView {
    /// Applies an update; returns whether the view has changed.
    ///
    /// An update that does not go beyond the current revision has no effect.
    ///
    /// # Errors
    ///
    /// Fails if revisions between this view and the delta are missing.
    pub fn apply_update(&mut self, update: Update) -> Result<bool, UpdateError> {
        match update {
            Update::None => Ok(false),
            Update::Snapshot(view) => {
                let newer = view.revision > self.revision;
                if newer {
                    *self = *view;
                }
                Ok(newer)
            }
            Update::Delta { from, to, changes } => self.apply_delta(from, to, changes),
        }
    }

    fn apply_delta(
        &mut self,
        from: Revision,
        to: Revision,
        changes: Vec<Change>,
    ) -> Result<bool, UpdateError> {
        if to <= self.revision {
            return Ok(false);
        }
        if from > self.revision {
            return Err(UpdateError::Gap { have: self.revision, from });
        }
        // Applying changes up to the current revision again is harmless: each replaces a
        // whole item, and the last change of an item wins.
        self.apply_changes(changes);
        self.revision = to;
        Ok(true)
    }
}
