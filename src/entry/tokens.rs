//! Tokens of workspaces: taken at this host, granted by the limiter owner.

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

/// Interval at which queues are checked while requests wait.
const QUEUE_TICK: Duration = Duration::from_millis(2);

/// Limits of workspaces at this host, as an entry and as a limiter owner.
pub struct Limits {
    settings: LimitSettings,
    host: HostId,
    queues: Mutex<IndexMap<Workspace, Queue>>,
    limiter: Mutex<Limiter>,
    /// Wakes the queue task when a request begins to wait.
    waiting: Notify,
}

struct Queue {
    admission: AdmissionController,
    waiters: IndexMap<Ticket, oneshot::Sender<Verdict>>,
}

/// End of a wait for a token.
enum Verdict {
    Admitted,
    OverRate,
}

impl Limits {
    /// Limits without tokens.
    pub fn new(host: HostId, settings: LimitSettings) -> Self {
        Self {
            limiter: Mutex::new(Limiter::new(host.clone(), settings.clone())),
            settings,
            host,
            queues: Mutex::default(),
            waiting: Notify::new(),
        }
    }

    /// Drops what belongs to workspaces that no longer exist.
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
    fn admit(&mut self, now: Millis) -> Result<Option<Wait>, ()> {
        match self.admission.admit(now) {
            Decision::Admitted => Ok(None),
            Decision::Refused => Err(()),
            Decision::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiters.insert(ticket, tx);
                Ok(Some(Wait { ticket, rx }))
            }
        }
    }

    fn end(&mut self, tickets: Vec<Ticket>, verdict: impl Fn() -> Verdict) {
        for ticket in tickets {
            if let Some(tx) = self.waiters.swap_remove(&ticket) {
                let _ = tx.send(verdict());
            }
        }
    }
}

struct Wait {
    ticket: Ticket,
    rx: oneshot::Receiver<Verdict>,
}

impl Cx {
    /// Takes one token of `workspace`; waits for a bounded time.
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
        let Some(Wait { ticket, rx }) = admit.map_err(|()| error::over_rate())? else {
            return Ok(());
        };
        self.limits.waiting.notify_one();
        let since = Instant::now();
        let verdict = tokio::time::timeout_at(deadline, rx).await;
        self.metrics.record_wait(QueueName::Limit, since.elapsed());
        match verdict {
            Ok(Ok(Verdict::Admitted)) => Ok(()),
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

    /// Serves the queues while requests wait.
    pub(super) async fn serve_queues(self: Arc<Self>) {
        loop {
            while self.tick_queues() {
                tokio::time::sleep(QUEUE_TICK).await;
            }
            self.limits.waiting.notified().await;
        }
    }

    /// Refuses requests that waited too long and asks for tokens; false if none waits.
    fn tick_queues(self: &Arc<Self>) -> bool {
        let now = self.clock.now();
        let mut requests = Vec::new();
        let mut waiting = false;
        for queue in self.limits.queues.lock().values_mut() {
            if queue.admission.waiting() == 0 {
                continue;
            }
            let expired = queue.admission.expire(now);
            queue.end(expired, || Verdict::OverRate);
            requests.extend(queue.admission.next_grant_request(now));
            waiting |= queue.admission.waiting() > 0;
        }
        for request in requests {
            self.request_grant(now, request);
        }
        waiting
    }

    /// Asks the limiter owner and hands its tokens out.
    fn request_grant(self: &Arc<Self>, sent_at: Millis, request: GrantRequest) {
        let cx = self.clone();
        tokio::spawn(async move {
            let workspace = request.workspace.clone();
            let Some(grant) = cx.ask_limiter_owner(request).await else { return };
            let now = cx.clock.now();
            cx.limits.with_queue(&workspace, |queue| {
                let released = queue.admission.on_grant(now, sent_at, grant);
                queue.end(released, || Verdict::Admitted);
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

    /// Answers a request for tokens as the limiter owner.
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
