//! Session marks for read-your-writes consistency.
//!
//! A mark is the position of the last write of a session. Before a write of a named
//! session is acknowledged, its mark is stored at the home hosts of the session, so
//! that a read through any entry host can look it up there.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::Instant;

use super::{
    caller::{Caller, CallerState, OPEN_USER},
    cx::Cx,
    error,
    view::ViewState,
};
use crate::{
    adapters::metrics::MarkResult,
    clock::Clock,
    ids::{HostId, Mark, Workspace},
    session::{
        home_set::{HomeSetHistory, PendingStore, SessionItem},
        marks::{MarkKey, MarkTable},
        state::{Lookup, LookupResult, MarkRequirement},
    },
    settings::session::SessionSettings,
    wire::peer::{Failure, PeerRequest, PeerResponse},
};

/// Session marks that this host stores as a home host.
pub struct HomeMarks {
    pub history: HomeSetHistory,
    pub table: MarkTable,
}

impl HomeMarks {
    /// Creates an empty table for host `me`.
    pub fn new(me: HostId, settings: &SessionSettings) -> Self {
        Self {
            history: HomeSetHistory::new(me, settings.clone()),
            table: MarkTable::new(settings.clone()),
        }
    }
}

/// Mark that a read of a session must observe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequiredMark {
    /// All writes of the session are at or before the mark; `None` if there are none.
    Known(Option<Mark>),
    /// The mark is not known, so the read must go to the primary, which has all writes.
    Unknown,
}

impl Caller {
    fn mark_key(&self, state: &CallerState) -> MarkKey {
        let open = || Workspace::from(OPEN_USER);
        MarkKey {
            workspace: self.workspace_name().cloned().unwrap_or_else(open),
            session: state.session.id().clone(),
            service: self.service.clone(),
        }
    }
}

impl Cx {
    /// Determines the mark that a read of the session must observe; asks the home hosts
    /// if necessary.
    pub(super) async fn required_mark(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
    ) -> RequiredMark {
        match state.session.requirement(&caller.service) {
            MarkRequirement::Known(mark) => RequiredMark::Known(mark),
            MarkRequirement::Lookup => match self.look_up_mark(caller, state).await {
                Some(mark) => {
                    self.metrics.record_mark_lookup(MarkResult::Known);
                    RequiredMark::Known(Some(state.session.record_complete(&caller.service, mark)))
                }
                None => {
                    self.metrics.record_mark_lookup(MarkResult::Unknown);
                    RequiredMark::Unknown
                }
            },
        }
    }

    /// Looks up the mark of a shared session at its home hosts; the first one that knows
    /// it decides.
    async fn look_up_mark(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
    ) -> Option<Mark> {
        let key = &caller.mark_key(state);
        let home_hosts = self.home_hosts(state, key);
        let view = self.view.load();
        let mut answers: FuturesUnordered<_> =
            home_hosts.iter().map(|host| self.fetch_mark(&view, host, key)).collect();
        let (mut lookup, mut result) = Lookup::new(home_hosts.clone());
        let deadline = Instant::now() + self.session_settings.lookup_wait.duration();
        while result == LookupResult::Pending {
            let answer = tokio::time::timeout_at(deadline, answers.next()).await;
            let Ok(Some((host, mark))) = answer else { return None };
            result = lookup.answer(&host, mark);
        }
        match result {
            LookupResult::Known(mark) => Some(mark),
            LookupResult::Unknown | LookupResult::Pending => None,
        }
    }

    /// Home hosts of the session; cached, because computing them ranks all hosts.
    fn home_hosts(&self, state: &mut CallerState, key: &MarkKey) -> Vec<HostId> {
        let sessions = self.sessions.lock();
        let version = sessions.history.version();
        if let Some((known, home_hosts)) = &state.home_hosts
            && *known == version
        {
            return home_hosts.clone();
        }
        let item = SessionItem::new(&key.workspace, &key.session);
        let home_hosts = sessions.history.home_set(&item);
        state.home_hosts = Some((version, home_hosts.clone()));
        home_hosts
    }

    async fn fetch_mark(
        &self,
        view: &ViewState,
        host: &HostId,
        key: &MarkKey,
    ) -> (HostId, Option<Mark>) {
        if *host == self.settings.host {
            return (host.clone(), self.stored_mark(key));
        }
        let Some(peer) = view.view.hosts.get(host) else { return (host.clone(), None) };
        let MarkKey { workspace, session, service } = key.clone();
        let req = PeerRequest::GetMark { session, workspace, service };
        let limit = self.session_settings.lookup_wait.duration();
        match self.peers.call(&peer.peer_addr, &req, limit).await {
            Ok(PeerResponse::Mark(mark)) => (host.clone(), mark),
            _ => (host.clone(), None),
        }
    }

    /// Mark that this host stores as a home host, if it certainly includes all writes.
    pub(super) fn stored_mark(&self, key: &MarkKey) -> Option<Mark> {
        if !self.has_lease() {
            return None;
        }
        let now = self.clock.now();
        let HomeMarks { history, table } = &mut *self.sessions.lock();
        table.lookup(now, key, history)
    }

    /// Stores a mark as a home host, unless a higher one is stored.
    pub(super) fn raise_stored_mark(&self, key: &MarkKey, mark: Mark) {
        let now = self.clock.now();
        let HomeMarks { history, table } = &mut *self.sessions.lock();
        table.raise(now, key, mark, history);
    }

    /// Stores the mark of a write at the home hosts, which must confirm it before the
    /// write is acknowledged to the caller.
    pub(super) async fn store_mark(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        mark: Mark,
        deadline: Instant,
    ) -> Result<(), Failure> {
        state.session.raise(&caller.service, mark);
        if !state.session.is_shared() {
            return Ok(());
        }
        let key = caller.mark_key(state);
        let item = SessionItem::new(&key.workspace, &key.session);
        let mut pending = PendingStore::default();
        loop {
            let missing = pending.missing(self.clock.now(), &self.sessions.lock().history, &item);
            match missing {
                Ok(missing) if missing.is_empty() && self.has_lease() => return Ok(()),
                Ok(missing) => self.store_mark_at(&missing, &key, mark, &mut pending).await,
                Err(short) => spdlog::debug!("delaying the acknowledgement of a write: {short}"),
            }
            let still_missing =
                pending.missing(self.clock.now(), &self.sessions.lock().history, &item);
            if still_missing.is_ok_and(|missing| missing.is_empty()) && self.has_lease() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(error::unknown("its session mark could not be stored in time", None));
            }
            tokio::time::sleep(self.session_settings.store_retry.duration()).await;
        }
    }

    /// Stores the position of a read on the primary at the home hosts, without waiting.
    ///
    /// The position includes all earlier writes of the session, so that its next read
    /// may use a replica.
    pub(super) fn store_position_in_background(
        self: &Arc<Self>,
        caller: &Caller,
        state: &CallerState,
        position: Mark,
    ) {
        let key = caller.mark_key(state);
        let item = SessionItem::new(&key.workspace, &key.session);
        let home_hosts = self.sessions.lock().history.home_set(&item);
        let cx = self.clone();
        tokio::spawn(async move {
            cx.store_mark_at(&home_hosts, &key, position, &mut PendingStore::default()).await;
        });
    }

    async fn store_mark_at(
        self: &Arc<Self>,
        hosts: &[HostId],
        key: &MarkKey,
        mark: Mark,
        pending: &mut PendingStore,
    ) {
        let view = self.view.load();
        let mut answers: FuturesUnordered<_> =
            hosts.iter().map(|host| self.put_mark(&view, host, key, mark)).collect();
        while let Some(confirmed) = answers.next().await {
            if let Some(host) = confirmed {
                pending.confirm(host);
            }
        }
    }

    async fn put_mark(
        &self,
        view: &ViewState,
        host: &HostId,
        key: &MarkKey,
        mark: Mark,
    ) -> Option<HostId> {
        if *host == self.settings.host {
            self.raise_stored_mark(key, mark);
            return Some(host.clone());
        }
        let peer = view.view.hosts.get(host)?;
        let MarkKey { workspace, session, service } = key.clone();
        let req = PeerRequest::PutMark { session, workspace, service, mark };
        match self.peers.call(&peer.peer_addr, &req, PUT_TIMEOUT).await {
            Ok(PeerResponse::Done) => Some(host.clone()),
            _ => None,
        }
    }
}

/// Timeout of one attempt to store a mark at another host.
const PUT_TIMEOUT: Duration = Duration::from_millis(500);
