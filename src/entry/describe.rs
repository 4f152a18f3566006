//! Types of statements for the extended protocol.

use std::sync::Arc;

use tokio::time::Instant;

use super::{
    caller::{Caller, REQUEST_DEADLINE, text_field},
    cx::Cx,
    dispatch::OwnerRef,
    error,
};
use crate::{
    routing::classify::Classified,
    wire::peer::{Description, Failure, PeerAnswer, PeerRequest},
};

impl Cx {
    /// Parameter and column types of `sql`, from any instance of the service.
    pub(super) async fn describe(
        self: &Arc<Self>,
        caller: &Caller,
        sql: &str,
    ) -> Result<Description, Failure> {
        let classified = self.statements.classify(sql);
        match classified.map_err(|unsupported| error::unsupported(&unsupported))? {
            Classified::Statement { .. } | Classified::NoTable => {}
            Classified::Show { name } => {
                return Ok(Description { parameters: Vec::new(), fields: vec![text_field(&name)] });
            }
            _ => return Ok(Description::default()),
        }
        let deadline = Instant::now() + REQUEST_DEADLINE;
        while Instant::now() < deadline {
            for owner in self.describers(caller) {
                if let Some(result) = self.describe_at(&owner, sql).await {
                    return result;
                }
            }
            let Some(_) = self.primary(caller, deadline).await else { break };
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        Err(error::no_primary())
    }

    /// Owners of the service's instances, replicas first.
    fn describers(&self, caller: &Caller) -> Vec<OwnerRef> {
        let state = self.view.load();
        let Some(placement) = state.placements.get(&caller.service) else { return Vec::new() };
        let replicas = placement.replicas.iter().map(|replica| &replica.id);
        let all = replicas.chain(placement.primary.as_ref().ok());
        all.filter_map(|id| OwnerRef::find(&state.view, id)).collect()
    }

    async fn describe_at(
        &self,
        owner: &OwnerRef,
        sql: &str,
    ) -> Option<Result<Description, Failure>> {
        if owner.host == self.settings.host {
            return Some(self.owner.describe(&owner.instance, owner.epoch, sql).await);
        }
        let req = PeerRequest::Describe {
            instance: owner.instance.clone(),
            epoch: owner.epoch,
            sql: sql.to_owned(),
        };
        match self.peers.call(&owner.peer_addr, &req, REQUEST_DEADLINE).await {
            Ok(PeerAnswer::Described(result)) => Some(result),
            _ => None,
        }
    }
}
