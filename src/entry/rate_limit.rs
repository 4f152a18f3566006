//! Rate limits of workspaces.
//!
//! Each workspace has a limiter owner, the entry host that grants tokens of its rate.
//! Each entry host takes a token per statement from its grants, and queues statements
//! for a short time when it has none.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{cx::Cx, error, view::ViewState};
use crate::{
    adapters::metrics::Queue as QueueName,
    clock::{Clock, Millis},
    ids::{HostId, Workspace},
    limits::{
        admission::{AdmissionController, Decision, Ticket},
        limiter::{Limiter, limiter_owner},
    },
    settings::limits::LimitSettings,
    state::model::ClusterView,
    wire::peer::{Failure, Grant, GrantRequest, PeerRequest, PeerResponse, Refusal},
};

/// Interval at which the queues are checked while statements wait in them.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Rate-limit state of this host: its queues, and the limiter of the workspaces that it
/// is the limiter owner of.
pub struct WorkspaceLimits {
    settings: LimitSettings,
    host: HostId,
    queues: Mutex<IndexMap<Workspace, Queue>>,
    limiter: Mutex<Limiter>,
    /// Wakes the queue task when a statement is queued.
    waiter_added: Notify,
}

struct Queue {
    admission: AdmissionController,
    waiters: IndexMap<Ticket, oneshot::Sender<WaitResult>>,
}

/// Result of a wait for a token.
enum WaitResult {
    Admitted,
    OverRate,
}

impl WorkspaceLimits {
    /// Creates empty queues and a limiter without grants.
    pub fn new(host: HostId, settings: LimitSettings) -> Self {
        Self {
            limiter: Mutex::new(Limiter::new(host.clone(), settings.clone())),
            settings,
            host,
            queues: Mutex::default(),
            waiter_added: Notify::new(),
        }
    }

    /// Removes the state of workspaces that no longer exist.
    pub fn retain(&self, view: &ClusterView) {
        let exists = |workspace: &Workspace| view.desired.workspaces.contains_key(workspace);
        self.queues.lock().retain(|workspace, _| exists(workspace));
        self.limiter.lock().retain(exists);
    }

    fn with_queue<T>(&self, workspace: &Workspace, f: impl FnOnce(&mut Queue) -> T) -> T {
        let mut queues = self.queues.lock();
        if !queues.contains_key(workspace) {
            let (host, settings) = (self.host.clone(), self.settings.clone());
            let admission = AdmissionController::new(workspace.clone(), host, settings);
            queues.insert(workspace.clone(), Queue { admission, waiters: IndexMap::new() });
        }
        f(&mut queues[workspace])
    }
}

impl Queue {
    fn admit(&mut self, now: Millis) -> Result<Option<Waiter>, ()> {
        match self.admission.admit(now) {
            Decision::Admitted => Ok(None),
            Decision::Refused => Err(()),
            Decision::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiters.insert(ticket, tx);
                Ok(Some(Waiter { ticket, rx }))
            }
        }
    }

    fn resolve(&mut self, tickets: Vec<Ticket>, result: impl Fn() -> WaitResult) {
        for ticket in tickets {
            if let Some(tx) = self.waiters.swap_remove(&ticket) {
                let _ = tx.send(result());
            }
        }
    }
}

struct Waiter {
    ticket: Ticket,
    rx: oneshot::Receiver<WaitResult>,
}

impl Cx {
    /// Takes one token of `workspace`; waits in its queue if there is none.
    pub(super) async fn take_token(
        self: &Arc<Self>,
        workspace: &Workspace,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let now = self.clock.now();
        let (admit, request) = self.limits.with_queue(workspace, |queue| {
            let admit = queue.admit(now);
            (admit, queue.admission.next_grant_request(now))
        });
        if let Some(request) = request {
            self.request_grant(now, request);
        }
        let Some(Waiter { ticket, rx }) = admit.map_err(|()| error::over_rate())? else {
            return Ok(());
        };
        self.limits.waiter_added.notify_one();
        let since = Instant::now();
        let result = tokio::time::timeout_at(deadline, rx).await;
        self.metrics.record_wait(QueueName::Limit, since.elapsed());
        match result {
            Ok(Ok(WaitResult::Admitted)) => Ok(()),
            Ok(_) => Err(error::over_rate()),
            Err(_) => {
                self.limits.with_queue(workspace, |queue| {
                    queue.admission.cancel(ticket);
                    queue.waiters.swap_remove(&ticket);
                });
                Err(error::refused(&Refusal::Deadline))
            }
        }
    }

    /// Checks the queues periodically while statements wait in them.
    pub(super) async fn serve_queues(self: Arc<Self>) {
        loop {
            while self.check_queues() {
                tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
            }
            self.limits.waiter_added.notified().await;
        }
    }

    /// Refuses statements that waited too long and requests tokens for the others;
    /// returns false if none waits.
    fn check_queues(self: &Arc<Self>) -> bool {
        let now = self.clock.now();
        let mut requests = Vec::new();
        let mut waiting = false;
        for queue in self.limits.queues.lock().values_mut() {
            if queue.admission.waiting() == 0 {
                continue;
            }
            let expired = queue.admission.expire(now);
            queue.resolve(expired, || WaitResult::OverRate);
            requests.extend(queue.admission.next_grant_request(now));
            waiting |= queue.admission.waiting() > 0;
        }
        for request in requests {
            self.request_grant(now, request);
        }
        waiting
    }

    /// Requests tokens from the limiter owner and admits queued statements with them.
    fn request_grant(self: &Arc<Self>, sent_at: Millis, request: GrantRequest) {
        let cx = self.clone();
        tokio::spawn(async move {
            let workspace = request.workspace.clone();
            let Some(grant) = cx.ask_limiter_owner(request).await else { return };
            let now = cx.clock.now();
            cx.limits.with_queue(&workspace, |queue| {
                let released = queue.admission.on_grant(now, sent_at, grant);
                queue.resolve(released, || WaitResult::Admitted);
            });
        });
    }

    async fn ask_limiter_owner(&self, request: GrantRequest) -> Option<Grant> {
        let owner = {
            let sessions = self.sessions.lock();
            let hosts = sessions.history.hosts();
            limiter_owner(&request.workspace, hosts.current()?).cloned()?
        };
        if owner.id == self.settings.host {
            return Some(self.grant(&request));
        }
        let limit = self.limits.settings.longest_ttl.duration();
        let req = PeerRequest::Grant(request);
        match self.peers.call(&owner.peer_addr, &req, limit).await {
            Ok(PeerResponse::Granted(grant)) => Some(grant),
            _ => None,
        }
    }

    /// Grants tokens as the limiter owner.
    pub(super) fn grant(&self, request: &GrantRequest) -> Grant {
        let ViewState { view, .. } = &*self.view.load();
        let spec = view.desired.workspaces.get(&request.workspace);
        // Without a lease another host may already be the limiter owner.
        let Some(spec) = spec.filter(|_| self.has_lease()) else {
            let retry_after_ms = self.limits.settings.queue_wait.0;
            return Grant { tokens: 0, ttl_ms: 0, retry_after_ms };
        };
        let now = self.clock.now();
        let sessions = self.sessions.lock();
        self.limits.limiter.lock().grant(now, request, spec, sessions.history.hosts())
    }
}
