//! Deltas that bring entry hosts up to date.
//!
//! Control hosts keep a bounded window of changes. A host inside the window gets
//! the changes that it lacks, any other host gets the whole view.

use std::collections::VecDeque;

use derive_more::Display;

use crate::{
    ids::Revision,
    state::model::{Change, ClusterView},
    wire::control::Update,
};

/// Recent changes by revision.
#[derive(Debug, Clone)]
pub struct ChangeHistory {
    /// Largest number of changes kept.
    limit: usize,
    held: usize,
    window: VecDeque<(Revision, Vec<Change>)>,
}

/// Update that cannot be applied; the host must ask for a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UpdateError {
    /// Revisions between the host's and the delta's are missing.
    #[display("delta starts at revision {from}, after revision {have}: a snapshot is needed")]
    Gap { have: Revision, from: Revision },
}

impl std::error::Error for UpdateError {}

impl ChangeHistory {
    /// History of at most `limit` changes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: 0, window: VecDeque::new() }
    }

    /// Adds the changes that led to `revision`.
    pub fn record(&mut self, revision: Revision, changes: Vec<Change>) {
        if self.window.back().is_some_and(|(last, _)| last.next() != revision) {
            self.window.clear();
            self.held = 0;
        }
        self.held += changes.len();
        self.window.push_back((revision, changes));
        while self.held > self.limit {
            let Some((_, dropped)) = self.window.pop_front() else { break };
            self.held -= dropped.len();
        }
    }

    /// Update for a host at `host_revision`; `view` is the present view.
    ///
    /// A host that is ahead of `view` gets nothing: the receiver of its renewal has
    /// not applied all committed commands yet.
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

    /// Whether the window holds every revision after `from` up to `to`.
    fn covers(&self, from: Revision, to: Revision) -> bool {
        let first = self.window.front().map(|(revision, _)| *revision);
        let last = self.window.back().map(|(revision, _)| *revision);
        first.is_some_and(|first| first <= from.next()) && last == Some(to)
    }
}

impl ClusterView {
    /// Applies an update; returns whether the view has changed.
    ///
    /// An update that does not lead past the present revision has no effect.
    ///
    /// # Errors
    ///
    /// Fails if revisions are missing between this view and the delta.
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
        // Changes up to the present revision may be applied again: each replaces a
        // whole item, and the last one of an item wins.
        self.apply_changes(changes);
        self.revision = to;
        Ok(true)
    }
}
