//! Dispatch of statements to the owner of an instance, on this host or another.

use std::time::Duration;

use super::{caller::RunningStatement, cx::Cx};
use crate::{
    adapters::peer::client::CallError,
    ids::{Epoch, HostId, InstanceId, Workspace},
    state::model::{Assignment, ClusterView},
    wire::peer::{Execute, Mode, Outcome, PeerRequest, PeerResponse, Refusal, Statement},
};

/// Time to wait for a response after the deadline of its request.
///
/// The owner ends the request at the deadline and then still has to send its outcome.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// Time to wait for a response after its host was removed from the view.
///
/// A host that shuts down gracefully answers its last requests shortly before it is
/// removed. The lease of any other removed host has expired, so it runs no request.
const REMOVAL_GRACE: Duration = Duration::from_millis(100);

/// Entry host that owns the connections to an instance, according to the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerRef {
    pub instance: InstanceId,
    pub host: HostId,
    pub epoch: Epoch,
    pub peer_addr: String,
}

impl OwnerRef {
    /// Owner of `instance`, if the owning incarnation of its host is live.
    pub fn find(view: &ClusterView, instance: &InstanceId) -> Option<Self> {
        let Assignment { host, incarnation, epoch, .. } =
            view.instances.get(instance)?.owner.as_ref()?;
        let live = view.hosts.get(host).filter(|live| live.incarnation == *incarnation)?;
        Some(Self {
            instance: instance.clone(),
            host: host.clone(),
            epoch: *epoch,
            peer_addr: live.peer_addr.clone(),
        })
    }
}

/// Statement with the workspace that it runs for and its weight in the fair queue.
#[derive(Debug, Clone, Copy)]
pub struct StatementRequest<'a> {
    pub workspace: Option<&'a Workspace>,
    pub weight: u32,
    pub statement: &'a Statement,
}

impl Cx {
    /// Runs `request` at the owner, directly or through a request to its host.
    pub async fn execute(
        &self,
        owner: &OwnerRef,
        request: StatementRequest<'_>,
        mode: Mode,
        remaining: Duration,
    ) -> Outcome {
        let req = Execute {
            instance: owner.instance.clone(),
            epoch: owner.epoch,
            workspace: request.workspace.cloned(),
            weight: request.weight,
            statement: request.statement.clone(),
            mode,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        if owner.host == self.settings.host {
            return self.execute_here(req).await;
        }
        let req = PeerRequest::Execute(Box::new(req));
        let answer = tokio::select! {
            answer = self.peers.call(&owner.peer_addr, &req, remaining + RESPONSE_GRACE) => answer,
            () = self.until_host_removed(&owner.host) => {
                return Outcome::Unknown { reason: format!("host {} was removed", owner.host) };
            }
        };
        match answer {
            Ok(PeerResponse::Executed(outcome)) => outcome,
            Ok(_) => Outcome::Unknown { reason: "the owner sent an answer of another kind".into() },
            Err(CallError::NotSent) => Outcome::Refused(Refusal::Unreachable),
            Err(error) => Outcome::Unknown { reason: format!("host {}: {error}", owner.host) },
        }
    }

    /// Waits until the view no longer contains the current incarnation of `host`, then
    /// for [`REMOVAL_GRACE`].
    async fn until_host_removed(&self, host: &HostId) {
        let incarnation = || self.view.load().view.hosts.get(host).map(|live| live.incarnation);
        let mut revision = self.view.subscribe();
        let first = incarnation();
        while first.is_some() && incarnation() == first {
            if revision.changed().await.is_err() {
                break;
            }
        }
        tokio::time::sleep(REMOVAL_GRACE).await;
    }

    /// Asks the owner to cancel the running statement of a transaction.
    pub async fn cancel(&self, running: RunningStatement) {
        let RunningStatement { owner, transaction } = running;
        if owner.host == self.settings.host {
            self.owner.cancel(&transaction);
            return;
        }
        let req = PeerRequest::Cancel { transaction };
        if let Err(error) = self.peers.call(&owner.peer_addr, &req, RESPONSE_GRACE).await {
            spdlog::debug!("cancel request to host {} failed: {error}", owner.host);
        }
    }

    /// Runs a statement on an instance that this host owns.
    pub async fn execute_here(&self, req: Execute) -> Outcome {
        // Without a lease another host may already own the instance.
        if !self.has_lease() {
            return Outcome::Refused(Refusal::NotOwner);
        }
        self.owner.execute(req).await
    }
}
