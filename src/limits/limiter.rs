//! Limiter owner of a workspace: divides the tokens among the hosts that request them.
//!
//! A host that becomes limiter owner starts with an empty bucket, and grants nothing
//! until no earlier owner can still grant and all grants of earlier owners have
//! expired. An earlier owner that was removed from the view had lost its lease and
//! cannot grant any more; one that is still live may act on an older view for
//! `view_overlap`. A limiter owner must hold a valid lease when it grants.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{HostId, Workspace},
    limits::bucket::{Bucket, BucketParams},
    ownership::rendezvous,
    session::history::{HostHistory, HostList, HostListVersion},
    settings::limits::LimitSettings,
    state::model::{Host, WorkspaceSpec},
    wire::peer::{Grant, GrantRequest},
};

/// Host that is the limiter owner of `workspace` under `list`.
pub fn limiter_owner<'a>(workspace: &Workspace, list: &'a HostList) -> Option<&'a Host> {
    rendezvous::owner(&format!("limit\0{workspace}"), list.iter(), None)
}

/// Token buckets of the workspaces whose limiter owner is this host.
#[derive(Debug)]
pub struct Limiter {
    host: HostId,
    settings: LimitSettings,
    workspaces: IndexMap<Workspace, OwnedWorkspace>,
}

#[derive(Debug)]
struct OwnedWorkspace {
    /// Version of the host list at the last check of ownership.
    checked_version: HostListVersion,
    /// Before this time, grants of earlier owners may still be in use.
    grants_start_at: Millis,
    bucket: Bucket,
    /// Hosts that requested tokens recently.
    requesters: IndexMap<HostId, Requester>,
}

#[derive(Debug, Clone, Copy)]
struct Requester {
    /// Waiting requests that have no token yet.
    waiting: u64,
    last_request_at: Millis,
}

/// Uninterrupted ownership of a workspace.
#[derive(Debug, PartialEq, Eq)]
struct Ownership {
    since: HostListVersion,
    /// Time at which all grants of earlier owners have expired.
    grants_start_at: Millis,
}

impl Limiter {
    /// Limiter of `host` without buckets.
    pub fn new(host: HostId, settings: LimitSettings) -> Self {
        Self { host, settings, workspaces: IndexMap::new() }
    }

    /// Answers a request for tokens of a workspace with limits `spec`.
    pub fn grant(
        &mut self,
        now: Millis,
        req: &GrantRequest,
        spec: &WorkspaceSpec,
        history: &HostHistory,
    ) -> Grant {
        let params = BucketParams::new(spec.rate, spec.burst, &self.settings);
        if !self.check_ownership(&req.workspace, params, history) {
            self.workspaces.swap_remove(&req.workspace);
            // The requesting host has another view; its requests wait until both agree.
            return empty_grant(self.settings.queue_wait);
        }
        let owned = &mut self.workspaces[&req.workspace];
        if now < owned.grants_start_at {
            return empty_grant(owned.grants_start_at.since(now) + self.settings.queue_wait);
        }
        owned.bucket.set_params(now, params);
        owned.allocate(now, req, &self.settings)
    }

    /// Removes the buckets of workspaces that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Workspace) -> bool) {
        self.workspaces.retain(|workspace, _| exists(workspace));
    }

    /// Whether this host is the limiter owner of `workspace`; creates the bucket if it
    /// has become so.
    fn check_ownership(
        &mut self,
        workspace: &Workspace,
        params: BucketParams,
        history: &HostHistory,
    ) -> bool {
        let version = history.version();
        if self.workspaces.get(workspace).is_some_and(|owned| owned.checked_version == version) {
            return true;
        }
        let Some(ownership) = self.ownership(workspace, params.max_token_age, history) else {
            return false;
        };
        if let Some(owned) = self.workspaces.get_mut(workspace)
            && ownership.since <= owned.checked_version
        {
            owned.checked_version = version;
            return true;
        }
        let owned = OwnedWorkspace {
            checked_version: version,
            grants_start_at: ownership.grants_start_at,
            bucket: Bucket::empty(ownership.grants_start_at, params),
            requesters: IndexMap::new(),
        };
        self.workspaces.insert(workspace.clone(), owned);
        true
    }

    /// Ownership of `workspace` under the current host list, if this host has it.
    fn ownership(
        &self,
        workspace: &Workspace,
        max_token_age: Millis,
        history: &HostHistory,
    ) -> Option<Ownership> {
        let current = history.current()?;
        let is_owned = |list: &&HostList| {
            limiter_owner(workspace, list).is_some_and(|owner| owner.id == self.host)
        };
        let first = history.lists().rev().take_while(is_owned).last()?;
        let overlap = self.settings.view_overlap;
        // Owners before the start of the history are unknown and may still overlap.
        let mut grants_stop = (history.known_since() + overlap).max(first.received_at());
        let replacements = history.lists().zip(history.lists().skip(1));
        for (list, next) in replacements.take_while(|(list, _)| list.version() < first.version()) {
            let Some(owner) = limiter_owner(workspace, list) else { continue };
            let latest = next.received_at() + overlap;
            let is_live =
                current.get(&owner.id).is_some_and(|host| host.incarnation == owner.incarnation);
            grants_stop =
                grants_stop.max(if is_live { latest } else { latest.min(current.received_at()) });
        }
        Some(Ownership { since: first.version(), grants_start_at: grants_stop + max_token_age })
    }
}

impl OwnedWorkspace {
    /// Grants the requesting host its fair share of tokens for waiting requests; if that
    /// covers them, also tokens for expected requests from the bucket's surplus.
    fn allocate(&mut self, now: Millis, req: &GrantRequest, settings: &LimitSettings) -> Grant {
        self.requesters.retain(|_, known| now.since(known.last_request_at) < settings.asking);
        let waiting = u64::from(req.waiting);
        self.requesters.insert(req.host.clone(), Requester { waiting, last_request_at: now });
        let share = self.fair_share(now, waiting);
        let served = self.bucket.take(now, waiting.min(share));
        let unmet = waiting - served;
        self.requesters[&req.host].waiting = unmet;
        let mut tokens = served;
        if unmet == 0 {
            let reserved: u64 = self.requesters.values().map(|known| known.waiting).sum();
            let spare = self.bucket.surplus(now).saturating_sub(reserved);
            tokens += self.bucket.take(now, spare.min(u64::from(req.expected)));
        }
        Grant {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            ttl_ms: self.bucket.params().ttl.0,
            retry_after_ms: self.retry_after(now, unmet, settings).0,
        }
    }

    /// Max-min fair share of the available tokens, at least one token: with fewer
    /// tokens than hosts, the first host to request is served.
    fn fair_share(&mut self, now: Millis, waiting: u64) -> u64 {
        let available = self.bucket.available(now);
        let mut demands: Vec<u64> = self
            .requesters
            .values()
            .map(|known| known.waiting)
            .filter(|waiting| *waiting > 0)
            .collect();
        demands.sort_unstable();
        let (mut left, mut share) = (available, waiting);
        for (index, demand) in demands.iter().enumerate() {
            let hosts_left = (demands.len() - index) as u64;
            share = left / hosts_left;
            if *demand > share {
                break;
            }
            left -= demand;
            share = waiting;
        }
        share.max(1)
    }

    /// Time until the requesting host should ask again; zero if nothing is missing.
    fn retry_after(&mut self, now: Millis, unmet: u64, settings: &LimitSettings) -> Millis {
        if unmet == 0 {
            return Millis(0);
        }
        let hosts =
            self.requesters.values().filter(|known| known.waiting > 0).count().max(1) as u64;
        let due = self.bucket.time_until(now, hosts).unwrap_or(settings.longest_retry);
        due.clamp(Millis(1), settings.longest_retry)
    }
}

fn empty_grant(retry_after: Millis) -> Grant {
    Grant { tokens: 0, ttl_ms: 0, retry_after_ms: retry_after.0 }
}
