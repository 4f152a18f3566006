//! Rate limits of the workspaces at one entry host.
//!
//! The control leader allocates fractions of each workspace's limit to the hosts. A host
//! keeps a bucket of its fraction; each operation takes a token. A host without a token
//! borrows one from a lender of the workspace, which takes it from its own bucket.
//!
//! Tokens of operations that may still be refunded and tokens that are lent count into the
//! capacity of the bucket, so that refunds and late uses add nothing to the bound that
//! [`Allocations`](crate::fleet::allocation) states.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        allocation::Fraction,
        config::FleetWorkspace,
        messages::{
            Allocation, AllocationRevision, LimitReport, LimitUpdate, TokenGrant, TokenRequest,
            Usage,
        },
        rate_allocator::ALLOCATION_LEASE,
    },
    gateway::workspace_limit::{LOAN_EXPIRY, Limit, LimitUse},
    ids::Workspace,
    limits::token_bucket::{BucketShape, TOKEN_SCALE},
};

/// Time for which a borrowed token may be used after it was requested.
pub const LOAN_TTL: Millis = Millis(60);

/// Time for which an equal share applies that is not based on an allocation.
const EQUAL_SHARE_LEASE: Millis = Millis(2_000);

/// Longest retry delay reported to a caller.
const MAX_RETRY_AFTER: Millis = Millis(1_000);

/// Shortest retry delay reported to a caller.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// Allocations of this host.
#[derive(Debug, Default)]
struct Allocations {
    revision: AllocationRevision,
    fractions: IndexMap<Workspace, Fraction>,
    /// Fraction of every workspace, from a leader that knows no allocations.
    equal_share: Option<Fraction>,
    expires_at: Millis,
    /// When the leader last confirmed them.
    confirmed_at: Millis,
    /// Tokens given up for the current allocations that are not reported yet.
    released: Vec<(Workspace, u32)>,
}

/// Rate limits of all workspaces.
#[derive(Debug, Default)]
pub struct RateLimiter {
    allocation: Allocations,
    limits: IndexMap<Workspace, Limit>,
    /// Limits in the configuration.
    workspaces: IndexMap<Workspace, FleetWorkspace>,
}

impl RateLimiter {
    /// Applies the limits of a new configuration.
    pub fn set_workspaces(
        &mut self,
        now: Millis,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
    ) {
        self.workspaces.clone_from(workspaces);
        self.reshape(now);
        self.limits.retain(|workspace, _| workspaces.contains_key(workspace));
    }

    /// Applies an update of the leader that answers a report sent at `echo`. Updates of
    /// earlier leaders and older ones of the same leader are ignored.
    pub fn apply(&mut self, now: Millis, echo: Millis, update: LimitUpdate) {
        if update.revision < self.allocation.revision {
            return;
        }
        if update.revision > self.allocation.revision {
            let Some(allocations) = update.allocations else { return };
            self.replace(now, echo, update.revision, allocations);
        } else if update.revision != AllocationRevision::default() {
            self.reshape(now);
            self.extend(now, echo, ALLOCATION_LEASE);
        }
    }

    fn replace(
        &mut self,
        now: Millis,
        echo: Millis,
        revision: AllocationRevision,
        allocations: Vec<Allocation>,
    ) {
        self.reshape(now);
        let held = |limit: &Limit| limit.bucket.level() / TOKEN_SCALE;
        let before: Vec<u64> = self.limits.values().map(held).collect();
        self.allocation.revision = revision;
        self.allocation.equal_share = None;
        self.allocation.fractions =
            allocations.iter().map(|it| (it.workspace.clone(), it.fraction)).collect();
        self.extend(now, echo, ALLOCATION_LEASE);
        let released = self.limits.iter().zip(before).map(|((workspace, limit), before)| {
            let released = before.saturating_sub(held(limit));
            (workspace.clone(), u32::try_from(released).unwrap_or_default())
        });
        self.allocation.released = released.filter(|(_, tokens)| *tokens > 0).collect();
        for Allocation { workspace, tokens, .. } in &allocations {
            self.limit(now, workspace).bucket.put(now, u64::from(*tokens));
        }
    }

    /// Applies an equal share of all limits among `hosts` hosts, because the leader knows no
    /// allocations.
    pub fn share_equally(&mut self, now: Millis, echo: Millis, hosts: usize) {
        self.reshape(now);
        let share = Fraction::from_f64(1.0 / hosts.max(1) as f64);
        self.allocation = Allocations { equal_share: Some(share), ..Allocations::default() };
        self.extend(now, echo, EQUAL_SHARE_LEASE);
    }

    /// Extends the lease to `lease` after `echo`, when the answered report was sent.
    fn extend(&mut self, now: Millis, echo: Millis, lease: Millis) {
        self.allocation.confirmed_at = echo;
        self.allocation.expires_at = self.allocation.expires_at.max(echo + lease);
        self.reshape(now);
    }

    /// Report on the allocations. They are applied completely once no loans exceed them.
    pub fn report(&mut self, now: Millis) -> LimitReport {
        self.reshape(now);
        let fits = |limit: &Limit| limit.lent_tokens() <= limit.bucket.shape().whole_tokens();
        if !self.limits.values().all(fits) {
            return LimitReport::default();
        }
        let released = std::mem::take(&mut self.allocation.released);
        LimitReport { revision: self.allocation.revision, released }
    }

    /// Fraction of a workspace's limit that this host may use.
    pub fn fraction(&self, now: Millis, workspace: &Workspace) -> Fraction {
        if now >= self.allocation.expires_at {
            return Fraction::NONE;
        }
        let allocated = self.allocation.fractions.get(workspace).copied();
        allocated.or(self.allocation.equal_share).unwrap_or_default()
    }

    /// Revision of the allocations, and the time since the leader confirmed them.
    pub fn allocation_age(&self, now: Millis) -> (AllocationRevision, Millis) {
        (self.allocation.revision, now.since(self.allocation.confirmed_at))
    }

    /// Counts an operation of a caller.
    pub fn record_offered(&mut self, now: Millis, workspace: &Workspace) {
        self.limit(now, workspace).usage.offered += 1;
    }

    /// Admits an operation with a token of this host.
    pub fn admit(&mut self, now: Millis, workspace: &Workspace) -> bool {
        let limit = self.limit(now, workspace);
        if limit.bucket.take(now, 1) == 0 {
            return false;
        }
        limit.refundable += 1;
        limit.reserve(now);
        limit.usage.admitted += 1;
        limit.used.admitted += 1;
        true
    }

    /// Admits an operation with a token that was borrowed with a request sent at
    /// `requested_at`.
    pub fn admit_borrowed(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        requested_at: Millis,
    ) -> bool {
        if now.since(requested_at) >= LOAN_TTL {
            return false;
        }
        let limit = self.limit(now, workspace);
        limit.usage.admitted += 1;
        limit.used.borrowed += 1;
        true
    }

    /// Lends tokens to another host.
    pub fn lend(&mut self, now: Millis, req: &TokenRequest) -> TokenGrant {
        let limit = self.limit(now, &req.workspace);
        let taken = limit.bucket.take(now, u64::from(req.wanted));
        let tokens = u32::try_from(taken).unwrap_or(req.wanted);
        if tokens > 0 {
            limit.lent.push_back((now + LOAN_EXPIRY, tokens));
            limit.reserve(now);
            limit.used.lent += tokens;
        }
        limit.unmet.record(now, req.wanted - tokens);
        let waiting = limit.unmet.recent();
        let per_token = TOKEN_SCALE / limit.bucket.shape().refill.max(1);
        let retry_after = self.retry_after(now, &req.workspace) + Millis(per_token * waiting);
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        TokenGrant { request_id: req.request_id, tokens, retry_after }
    }

    /// Until when it is useless to ask the lenders for tokens.
    pub fn exhausted_until(&mut self, now: Millis, workspace: &Workspace) -> Millis {
        self.limit(now, workspace).exhausted_until
    }

    /// Records that lenders expect no token before `retry_after` has passed.
    pub fn record_exhausted(&mut self, now: Millis, workspace: &Workspace, retry_after: Millis) {
        let limit = self.limit(now, workspace);
        limit.exhausted_until = limit.exhausted_until.max(now + retry_after);
    }

    /// Counts a refused operation.
    pub fn record_refused(&mut self, now: Millis, workspace: &Workspace) {
        self.limit(now, workspace).used.refused += 1;
    }

    /// Counts an operation for which no lender answered.
    pub fn record_no_lender(&mut self, now: Millis, workspace: &Workspace) {
        self.limit(now, workspace).used.no_lender += 1;
    }

    /// Time until this host's next token, if there will be one.
    pub fn time_until_token(&mut self, now: Millis, workspace: &Workspace) -> Option<Millis> {
        let bucket = &mut self.limit(now, workspace).bucket;
        (bucket.shape().whole_tokens() > 0).then(|| bucket.time_until(now, 1)).flatten()
    }

    /// Time after which an operation may be tried again.
    pub fn retry_after(&mut self, now: Millis, workspace: &Workspace) -> Millis {
        let next = self.time_until_token(now, workspace).unwrap_or(MAX_RETRY_AFTER);
        next.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Time after which a refused operation may be tried again, if lenders expect a token after
    /// `lenders_in`: then, or with the next token of this host, whichever is first.
    pub fn return_after(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        lenders_in: Millis,
    ) -> Millis {
        let own = self.time_until_token(now, workspace).unwrap_or(MAX_RETRY_AFTER);
        own.min(lenders_in).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Ends the time in which an operation that was admitted with a token of this host may
    /// be refunded. Returns the token if no target ran the operation: callers retry such
    /// operations, and their retries would use up the rate while a service is unavailable.
    pub fn settle(&mut self, now: Millis, workspace: &Workspace, ran: bool) {
        let limit = self.limit(now, workspace);
        // A smaller allocation has taken the token already.
        let is_refundable = limit.refundable > 0;
        limit.refundable = limit.refundable.saturating_sub(1);
        limit.reserve(now);
        if ran {
            return;
        }
        limit.record_refund();
        if is_refundable {
            limit.bucket.put(now, 1);
        }
    }

    /// Returns and resets the operations since the last call.
    pub fn take_usage(&mut self) -> Vec<Usage> {
        let used = self.limits.values_mut().filter(|limit| limit.usage.offered > 0);
        used.map(|limit| {
            let empty = Usage { offered: 0, admitted: 0, ..limit.usage.clone() };
            std::mem::replace(&mut limit.usage, empty)
        })
        .collect()
    }

    /// Returns and resets the decisions since the last call.
    pub fn take_uses(&mut self) -> Vec<(Workspace, LimitUse)> {
        let used = self.limits.iter_mut().filter(|(_, it)| it.used != LimitUse::default());
        used.map(|(workspace, limit)| (workspace.clone(), std::mem::take(&mut limit.used)))
            .collect()
    }

    /// Counts an operation with a borrowed token that no target ran. The token has been
    /// taken from the lender for good.
    pub fn record_unused_loan(&mut self, now: Millis, workspace: &Workspace) {
        self.limit(now, workspace).record_refund();
    }

    /// Number of workspaces of which this host has an allocation.
    pub fn allocated(&self) -> usize {
        self.allocation.fractions.len()
    }

    fn limit(&mut self, now: Millis, workspace: &Workspace) -> &mut Limit {
        if !self.limits.contains_key(workspace) {
            let start = now.max(LOAN_EXPIRY);
            self.limits.insert(workspace.clone(), Limit::new(start, workspace.clone()));
        }
        let shape = self.shape(now, workspace);
        let expires_at = self.allocation.expires_at;
        let limit = &mut self.limits[workspace];
        limit.set_shape(now, shape, expires_at);
        limit
    }

    fn shape(&self, now: Millis, workspace: &Workspace) -> BucketShape {
        let limits = self.workspaces.get(workspace).cloned().unwrap_or_default();
        self.fraction(now, workspace).bucket(&limits)
    }

    /// Refills all buckets under the shapes that applied until now, and sets the current
    /// ones.
    fn reshape(&mut self, now: Millis) {
        let expires_at = self.allocation.expires_at;
        for index in 0..self.limits.len() {
            let Some((workspace, _)) = self.limits.get_index(index) else { continue };
            let shape = self.shape(now, &workspace.clone());
            if let Some((_, limit)) = self.limits.get_index_mut(index) {
                limit.set_shape(now, shape, expires_at);
            }
        }
    }
}
