//! Session marks of callers and of the sessions that this host is a home of.

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

/// Marks that this host keeps as a home host.
pub struct HomeMarks {
    pub history: HomeSetHistory,
    pub table: MarkTable,
}

impl HomeMarks {
    /// Empty table of host `me`.
    pub fn new(me: HostId, settings: &SessionSettings) -> Self {
        Self {
            history: HomeSetHistory::new(me, settings.clone()),
            table: MarkTable::new(settings.clone()),
        }
    }
}

/// What a read must observe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observed {
    /// All writes of the session are at or before the mark.
    Known(Option<Mark>),
    /// Only the primary holds all writes for certain.
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
    /// Learns what a read of the session must observe, asking its home hosts.
    pub(super) async fn learn_mark(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
    ) -> Observed {
        match state.session.requirement(&caller.service) {
            MarkRequirement::Known(mark) => Observed::Known(mark),
            MarkRequirement::Lookup => match self.look_up(caller, state).await {
                Some(mark) => {
                    self.metrics.record_mark_lookup(MarkResult::Known);
                    Observed::Known(Some(state.session.record_complete(&caller.service, mark)))
                }
                None => {
                    self.metrics.record_mark_lookup(MarkResult::Unknown);
                    Observed::Unknown
                }
            },
        }
    }

    /// Mark of a shared session from the first home host that knows it.
    async fn look_up(self: &Arc<Self>, caller: &Caller, state: &mut CallerState) -> Option<Mark> {
        let key = &caller.mark_key(state);
        let homes = self.homes(state, key);
        let view = self.view.load();
        let mut answers: FuturesUnordered<_> =
            homes.iter().map(|host| self.mark_at(&view, host, key)).collect();
        let (mut lookup, mut result) = Lookup::new(homes.clone());
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

    /// Home hosts of the session; ranking all hosts is repeated only when they change.
    fn homes(&self, state: &mut CallerState, key: &MarkKey) -> Vec<HostId> {
        let sessions = self.sessions.lock();
        let version = sessions.history.version();
        if let Some((known, homes)) = &state.homes
            && *known == version
        {
            return homes.clone();
        }
        let item = SessionItem::new(&key.workspace, &key.session);
        let homes = sessions.history.home_set(&item);
        state.homes = Some((version, homes.clone()));
        homes
    }

    async fn mark_at(
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

    /// Mark that this host holds as a home host, if it is certain to be the last.
    pub(super) fn stored_mark(&self, key: &MarkKey) -> Option<Mark> {
        if !self.has_lease() {
            return None;
        }
        let now = self.clock.now();
        let HomeMarks { history, table } = &mut *self.sessions.lock();
        table.lookup(now, key, history)
    }

    /// Stores a mark as a home host.
    pub(super) fn keep_mark(&self, key: &MarkKey, mark: Mark) {
        let now = self.clock.now();
        let HomeMarks { history, table } = &mut *self.sessions.lock();
        table.raise(now, key, mark, history);
    }

    /// Stores the mark of a write before the caller sees its acknowledgement.
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
                Ok(missing) => self.store_at(&missing, &key, mark, &mut pending).await,
                Err(short) => spdlog::debug!("a write waits for its acknowledgement: {short}"),
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

    /// Tells the home hosts the position of a read on the primary, which includes all
    /// earlier writes of the session, so that its next read may use a replica.
    pub(super) fn share_position(
        self: &Arc<Self>,
        caller: &Caller,
        state: &CallerState,
        position: Mark,
    ) {
        let key = caller.mark_key(state);
        let item = SessionItem::new(&key.workspace, &key.session);
        let homes = self.sessions.lock().history.home_set(&item);
        let cx = self.clone();
        tokio::spawn(async move {
            cx.store_at(&homes, &key, position, &mut PendingStore::default()).await;
        });
    }

    async fn store_at(
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
            self.keep_mark(key, mark);
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

/// Time for one attempt to store a mark at another host.
const PUT_TIMEOUT: Duration = Duration::from_millis(500);
