//! Admission of operations under the rate limits: with a token of this host, or with one
//! that is borrowed from a lender of the workspace.

use std::{rc::Rc, time::Duration};

use crate::{
    clock::Millis,
    fleet::messages::TokenGrant,
    gateway::{cx::Cx, ports::Targets},
    ids::Workspace,
};

/// Longest wait for the answer of a lender: the operation could run within its latency
/// target after it.
const LENDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest wait for a token that this host's own bucket gains.
const MAX_REFILL_WAIT: Millis = Millis(40);

/// Permission to run one operation. The operation counts, unless it is refunded.
pub struct Admission<T: Targets> {
    cx: Rc<Cx<T>>,
    workspace: Workspace,
    is_borrowed: bool,
    may_have_run: bool,
}

impl<T: Targets> Admission<T> {
    /// Gives the token back, because no target ran the operation.
    pub fn refund(mut self) {
        self.may_have_run = false;
    }
}

impl<T: Targets> Drop for Admission<T> {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut rate_limiter = self.cx.rate_limiter.borrow_mut();
        if !self.is_borrowed {
            rate_limiter.settle(now, &self.workspace, self.may_have_run);
        } else if !self.may_have_run {
            rate_limiter.record_unused_loan(now, &self.workspace);
        }
    }
}

/// Admits an operation of `workspace`, or returns the time after which it may be tried
/// again.
pub async fn admit<T: Targets>(
    cx: &Rc<Cx<T>>,
    workspace: &Workspace,
) -> Result<Admission<T>, Millis> {
    let is_borrowed = match take_token(cx, workspace).await {
        Ok(is_borrowed) => is_borrowed,
        Err(retry_after) => {
            cx.rate_limiter.borrow_mut().record_refused(cx.now(), workspace);
            return Err(retry_after);
        }
    };
    let (cx, workspace) = (cx.clone(), workspace.clone());
    Ok(Admission { cx, workspace, is_borrowed, may_have_run: true })
}

/// Takes a token for a further attempt of an admitted operation; returns whether there was
/// one.
pub async fn charge<T: Targets>(cx: &Cx<T>, workspace: &Workspace) -> bool {
    let taken = take_token(cx, workspace).await;
    if taken == Ok(false) {
        cx.rate_limiter.borrow_mut().settle(cx.now(), workspace, true);
    }
    taken.is_ok()
}

/// Takes a token; returns whether it was borrowed.
async fn take_token<T: Targets>(cx: &Cx<T>, workspace: &Workspace) -> Result<bool, Millis> {
    let now = cx.now();
    {
        let mut rate_limiter = cx.rate_limiter.borrow_mut();
        rate_limiter.record_offered(now, workspace);
        if rate_limiter.admit(now, workspace) {
            return Ok(false);
        }
        let exhausted_until = rate_limiter.exhausted_until(now, workspace);
        if exhausted_until > now {
            return Err(rate_limiter.return_after(now, workspace, exhausted_until.since(now)));
        }
    }
    let refused = match borrow(cx, workspace).await {
        Ok(()) => return Ok(true),
        Err(refused) => refused,
    };
    if wait_for_refill(cx, workspace).await {
        return Ok(false);
    }
    let now = cx.now();
    let mut rate_limiter = cx.rate_limiter.borrow_mut();
    let Some(retry_after) = refused else {
        rate_limiter.record_no_lender(now, workspace);
        return Err(rate_limiter.retry_after(now, workspace));
    };
    rate_limiter.record_exhausted(now, workspace, retry_after);
    Err(rate_limiter.return_after(now, workspace, retry_after))
}

/// Borrows a token. The error holds the time after which a lender expects another one, if
/// one has answered.
async fn borrow<T: Targets>(cx: &Cx<T>, workspace: &Workspace) -> Result<(), Option<Millis>> {
    let mut retry_after = None;
    for addr in lender_addrs(cx, workspace) {
        let requested_at = cx.now();
        let grant = cx.peers.borrow_token(&addr, workspace);
        let Ok(Some(TokenGrant { tokens, retry_after: expected, .. })) =
            tokio::time::timeout(LENDER_TIMEOUT, grant).await
        else {
            continue;
        };
        let now = cx.now();
        if tokens > 0 && cx.rate_limiter.borrow_mut().admit_borrowed(now, workspace, requested_at) {
            return Ok(());
        }
        retry_after = Some(retry_after.map_or(expected, |other: Millis| other.min(expected)));
    }
    Err(retry_after)
}

/// Addresses of the other hosts that lend tokens of `workspace`.
fn lender_addrs<T: Targets>(cx: &Cx<T>, workspace: &Workspace) -> Vec<String> {
    let lenders = cx.lenders.borrow();
    let own = cx.as_entry_host();
    let others = lenders.of(cx.now(), workspace, &own).filter(|host| host.id != own.id);
    others.map(|host| host.addr.clone()).filter(|addr| cx.peers.is_usable(addr)).collect()
}

/// Takes a token of this host if it gains one soon.
async fn wait_for_refill<T: Targets>(cx: &Cx<T>, workspace: &Workspace) -> bool {
    let due = cx.rate_limiter.borrow_mut().time_until_token(cx.now(), workspace);
    let Some(due) = due.filter(|due| *due <= MAX_REFILL_WAIT) else { return false };
    tokio::time::sleep(due.duration()).await;
    cx.rate_limiter.borrow_mut().admit(cx.now(), workspace)
}
