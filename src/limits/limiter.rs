//! Limiter owner: division of a workspace's tokens between the hosts that ask.
//!
//! A host that becomes limiter owner grants nothing until no earlier owner can
//! still grant and all its grants have ended, and it begins with an empty bucket.
//! An earlier owner that the view has removed had lost its lease and grants
//! nothing; one that is still live may act on an older view for `view_overlap`.
//! A limiter owner must hold a valid lease when it grants.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{HostId, Workspace},
    limits::bucket::{Bucket, BucketParams},
    ownership::rendezvous,
    session::history::{HostHistory, HostList, HostsVersion},
    settings::limits::LimitSettings,
    state::model::{Host, WorkspaceSpec},
    wire::peer::{Grant, GrantRequest},
};

/// Limiter owner of `workspace` in a view.
pub fn limiter_owner<'a>(workspace: &Workspace, list: &'a HostList) -> Option<&'a Host> {
    rendezvous::owner(&format!("limit\0{workspace}"), list.iter(), None)
}

/// Buckets of the workspaces whose limiter owner is this host.
#[derive(Debug)]
pub struct Limiter {
    me: HostId,
    settings: LimitSettings,
    workspaces: IndexMap<Workspace, Owned>,
}

#[derive(Debug)]
struct Owned {
    /// Host list at which ownership was last checked.
    checked: HostsVersion,
    starts_at: Millis,
    bucket: Bucket,
    asking: IndexMap<HostId, Asking>,
}

#[derive(Debug, Clone, Copy)]
struct Asking {
    waiting: u64,
    at: Millis,
}

/// Unbroken ownership of a workspace.
#[derive(Debug, PartialEq, Eq)]
struct Ownership {
    since: HostsVersion,
    /// Time at which all grants of earlier owners have ended.
    starts_at: Millis,
}

impl Limiter {
    /// Limiter of host `me` without buckets.
    pub fn new(me: HostId, settings: LimitSettings) -> Self {
        Self { me, settings, workspaces: IndexMap::new() }
    }

    /// Answers a request for tokens of a workspace with limits `spec`.
    pub fn grant(
        &mut self,
        now: Millis,
        req: &GrantRequest,
        spec: &WorkspaceSpec,
        history: &HostHistory,
    ) -> Grant {
        let terms = BucketParams::new(spec.rate, spec.burst, &self.settings);
        if !self.check_ownership(&req.workspace, terms, history) {
            self.workspaces.swap_remove(&req.workspace);
            // The views differ; requests wait for them to agree.
            return nothing(self.settings.queue_wait);
        }
        let owned = &mut self.workspaces[&req.workspace];
        if now < owned.starts_at {
            return nothing(owned.starts_at.since(now) + self.settings.queue_wait);
        }
        owned.bucket.set_params(now, terms);
        owned.divide(now, req, &self.settings)
    }

    /// Drops the buckets of workspaces that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Workspace) -> bool) {
        self.workspaces.retain(|workspace, _| exists(workspace));
    }

    /// Whether this host owns `workspace`; begins a new bucket if ownership is new.
    fn check_ownership(
        &mut self,
        workspace: &Workspace,
        terms: BucketParams,
        history: &HostHistory,
    ) -> bool {
        let version = history.version();
        if self.workspaces.get(workspace).is_some_and(|owned| owned.checked == version) {
            return true;
        }
        let Some(ownership) = self.ownership(workspace, terms.reach, history) else {
            return false;
        };
        if let Some(owned) = self.workspaces.get_mut(workspace)
            && ownership.since <= owned.checked
        {
            owned.checked = version;
            return true;
        }
        let owned = Owned {
            checked: version,
            starts_at: ownership.starts_at,
            bucket: Bucket::empty(ownership.starts_at, terms),
            asking: IndexMap::new(),
        };
        self.workspaces.insert(workspace.clone(), owned);
        true
    }

    fn ownership(
        &self,
        workspace: &Workspace,
        reach: Millis,
        history: &HostHistory,
    ) -> Option<Ownership> {
        let current = history.current()?;
        let is_mine = |list: &&HostList| {
            limiter_owner(workspace, list).is_some_and(|owner| owner.id == self.me)
        };
        let first = history.lists().rev().take_while(is_mine).last()?;
        let overlap = self.settings.view_overlap;
        // Owners from before the known history.
        let mut grants_stop = (history.since() + overlap).max(first.learned_at());
        let replaced = history.lists().zip(history.lists().skip(1));
        for (list, next) in replaced.take_while(|(list, _)| list.version() < first.version()) {
            let Some(owner) = limiter_owner(workspace, list) else { continue };
            let latest = next.learned_at() + overlap;
            let is_live =
                current.get(&owner.id).is_some_and(|host| host.incarnation == owner.incarnation);
            grants_stop =
                grants_stop.max(if is_live { latest } else { latest.min(current.learned_at()) });
        }
        Some(Ownership { since: first.version(), starts_at: grants_stop + reach })
    }
}

impl Owned {
    /// Serves the waiting requests of all hosts evenly, then expected ones from
    /// tokens above half of the bucket's depth.
    fn divide(&mut self, now: Millis, req: &GrantRequest, settings: &LimitSettings) -> Grant {
        self.asking.retain(|_, asking| now.since(asking.at) < settings.asking);
        let waiting = u64::from(req.waiting);
        self.asking.insert(req.host.clone(), Asking { waiting, at: now });
        let share = self.share(now, waiting);
        let served = self.bucket.take(now, waiting.min(share));
        let unmet = waiting - served;
        self.asking[&req.host].waiting = unmet;
        let mut tokens = served;
        if unmet == 0 {
            let reserved: u64 = self.asking.values().map(|asking| asking.waiting).sum();
            let spare = self.bucket.surplus(now).saturating_sub(reserved);
            tokens += self.bucket.take(now, spare.min(u64::from(req.expected)));
        }
        Grant {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            ttl_ms: self.bucket.params().ttl.0,
            retry_after_ms: self.retry_after(now, unmet, settings).0,
        }
    }

    /// Largest equal share of the available tokens, at least one token: with fewer
    /// tokens than hosts, the first to ask is served.
    fn share(&mut self, now: Millis, waiting: u64) -> u64 {
        let available = self.bucket.available(now);
        let mut waits: Vec<u64> =
            self.asking.values().map(|asking| asking.waiting).filter(|waits| *waits > 0).collect();
        waits.sort_unstable();
        let (mut left, mut level) = (available, waiting);
        for (index, waits_here) in waits.iter().enumerate() {
            let hosts_left = (waits.len() - index) as u64;
            level = left / hosts_left;
            if *waits_here > level {
                break;
            }
            left -= waits_here;
            level = waiting;
        }
        level.max(1)
    }

    /// When the next token for the asking host is due; zero if nothing is missing.
    fn retry_after(&mut self, now: Millis, unmet: u64, settings: &LimitSettings) -> Millis {
        if unmet == 0 {
            return Millis(0);
        }
        let hosts = self.asking.values().filter(|asking| asking.waiting > 0).count().max(1) as u64;
        let due = self.bucket.time_until(now, hosts).unwrap_or(settings.longest_retry);
        due.clamp(Millis(1), settings.longest_retry)
    }
}

fn nothing(retry_after: Millis) -> Grant {
    Grant { tokens: 0, ttl_ms: 0, retry_after_ms: retry_after.0 }
}
