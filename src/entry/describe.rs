//! Types of statements for the extended protocol.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, timeout};

use super::{
    caller::{Caller, REQUEST_DEADLINE, text_field},
    cx::Cx,
    dispatch::OwnerRef,
    error,
};
use crate::{
    ids::Service,
    routing::classify::StatementClass,
    wire::peer::{Description, Failure, PeerRequest, PeerResponse},
};

/// Time for one instance to describe a statement; one that is cut off gives no answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before all instances are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Descriptions that are kept.
const KEPT_DESCRIPTIONS: usize = 4_096;

/// Age from which a description is asked for again, because tables may change.
const DESCRIPTION_AGE: Duration = Duration::from_secs(10);

/// SQLSTATE classes of faults of an instance: connection, resources, operator.
const FAULT_CLASSES: [&str; 3] = ["08", "53", "57"];

/// Recent descriptions by service and statement.
#[derive(Debug, Default)]
pub struct Descriptions {
    known: IndexMap<(Service, String), (Instant, Description)>,
}

impl Descriptions {
    fn get(&self, service: &Service, sql: &str) -> Option<Description> {
        let (at, description) = self.known.get(&(service.clone(), sql.to_owned()))?;
        (at.elapsed() < DESCRIPTION_AGE).then(|| description.clone())
    }

    fn insert(&mut self, service: &Service, sql: &str, description: &Description) {
        if self.known.len() >= KEPT_DESCRIPTIONS {
            self.known.shift_remove_index(0);
        }
        let key = (service.clone(), sql.to_owned());
        self.known.insert(key, (Instant::now(), description.clone()));
    }
}

impl Cx {
    /// Parameter and column types of `sql`, from any instance of the service.
    pub(super) async fn describe(
        self: &Arc<Self>,
        caller: &Caller,
        sql: &str,
    ) -> Result<Description, Failure> {
        let classified = self.statements.classify(sql);
        match classified.map_err(|unsupported| error::unsupported(&unsupported))? {
            StatementClass::TableAccess { .. } | StatementClass::NoTable => {}
            StatementClass::Show { name } => {
                return Ok(Description { parameters: Vec::new(), fields: vec![text_field(&name)] });
            }
            _ => return Ok(Description::default()),
        }
        if let Some(known) = self.descriptions.lock().get(&caller.service, sql) {
            return Ok(known);
        }
        let description = self.describe_at_any(caller, sql).await?;
        self.descriptions.lock().insert(&caller.service, sql, &description);
        Ok(description)
    }

    async fn describe_at_any(&self, caller: &Caller, sql: &str) -> Result<Description, Failure> {
        let deadline = Instant::now() + REQUEST_DEADLINE;
        while Instant::now() < deadline {
            for owner in self.describers(caller) {
                match timeout(ATTEMPT_TIMEOUT, self.describe_at(&owner, sql)).await {
                    Ok(Some(Ok(description))) => return Ok(description),
                    Ok(Some(Err(failure))) if !is_fault(&failure) => return Err(failure),
                    _ => spdlog::debug!("{} did not describe a statement", owner.instance),
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(error::no_primary())
    }

    /// Owners of the service's instances; the primary is the one known to be alive.
    fn describers(&self, caller: &Caller) -> Vec<OwnerRef> {
        let state = self.view.load();
        let Some(instances) = state.instances.get(&caller.service) else { return Vec::new() };
        let replicas = instances.replicas.iter().map(|replica| &replica.id);
        let all = instances.primary.as_ref().ok().into_iter().chain(replicas);
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
        match self.peers.call(&owner.peer_addr, &req, ATTEMPT_TIMEOUT).await {
            Ok(PeerResponse::Described(result)) => Some(result),
            _ => None,
        }
    }
}

/// Whether another instance may do better.
fn is_fault(failure: &Failure) -> bool {
    FAULT_CLASSES.iter().any(|class| failure.code.starts_with(class))
}
