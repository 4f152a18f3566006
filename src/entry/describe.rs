//! Parameter and column types of statements, for `Describe` in the extended query
//! protocol.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, timeout};

use super::{
    caller::{Caller, REQUEST_TIMEOUT, text_field},
    cx::Cx,
    dispatch::OwnerRef,
    error,
};
use crate::{
    ids::Service,
    routing::classify::StatementClass,
    wire::peer::{Description, Failure, PeerRequest, PeerResponse},
};

/// Timeout for a description by one instance. An instance behind a network partition
/// never answers, and another one can describe the statement as well.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before all instances are asked once more.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Capacity of the description cache in statements.
const MAX_CACHED_DESCRIPTIONS: usize = 4_096;

/// Time after which a cached description is fetched again, because the schema of a
/// table may have changed.
const DESCRIPTION_TTL: Duration = Duration::from_secs(10);

/// SQLSTATE classes of errors that concern the instance instead of the statement:
/// connection exception, insufficient resources, operator intervention.
const FAULT_CLASSES: [&str; 3] = ["08", "53", "57"];

/// Cache of descriptions by service and statement text; the oldest entry is evicted.
#[derive(Debug, Default)]
pub struct DescriptionCache {
    known: IndexMap<(Service, String), (Instant, Description)>,
}

impl DescriptionCache {
    fn get(&self, service: &Service, sql: &str) -> Option<Description> {
        let (at, description) = self.known.get(&(service.clone(), sql.to_owned()))?;
        (at.elapsed() < DESCRIPTION_TTL).then(|| description.clone())
    }

    fn insert(&mut self, service: &Service, sql: &str, description: &Description) {
        if self.known.len() >= MAX_CACHED_DESCRIPTIONS {
            self.known.shift_remove_index(0);
        }
        let key = (service.clone(), sql.to_owned());
        self.known.insert(key, (Instant::now(), description.clone()));
    }
}

impl Cx {
    /// Parameter and column types of `sql`, from the cache or any instance of the service.
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
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < deadline {
            for owner in self.owners_to_ask(caller) {
                match timeout(ATTEMPT_TIMEOUT, self.describe_at(&owner, sql)).await {
                    Ok(Some(Ok(description))) => return Ok(description),
                    Ok(Some(Err(failure))) if !is_retryable(&failure) => return Err(failure),
                    _ => spdlog::debug!("instance {} did not describe a statement", owner.instance),
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(error::no_primary())
    }

    /// Owners of the service's instances. The primary comes first, because it is the
    /// instance that is known to be alive.
    fn owners_to_ask(&self, caller: &Caller) -> Vec<OwnerRef> {
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

/// Whether another instance may describe the statement after this error.
fn is_retryable(failure: &Failure) -> bool {
    FAULT_CLASSES.iter().any(|class| failure.code.starts_with(class))
}
