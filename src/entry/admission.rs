//! Checks before a statement is sent to a target: route, lease, key and rate limit.

use std::sync::Arc;

use tokio::time::Instant;

use super::{caller::Caller, cx::Cx, error, view::ViewState};
use crate::{
    ids::Workspace, keys::authentication::KeyAuthenticator, routing::classify::StatementClass,
    state::model::Access, wire::peer::Failure,
};

/// Weight in the fair queue of statements without a workspace, and least weight of
/// all others.
const OPEN_WEIGHT: u32 = 1;

/// Configured properties of the route that serves a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementPolicy {
    pub is_write: bool,
    pub idempotent: bool,
    pub max_staleness_ms: Option<u64>,
    /// Workspace whose rows the statement accesses; `None` on open routes.
    pub workspace: Option<Workspace>,
    pub weight: u32,
}

impl Cx {
    /// Authorizes a statement and takes a token of the workspace's rate limit.
    pub(super) async fn admit(
        self: &Arc<Self>,
        caller: &Caller,
        classified: &StatementClass,
        deadline: Instant,
    ) -> Result<StatementPolicy, Failure> {
        let state = self.view.load();
        let policy = policy(&state, caller, classified)?;
        self.check_lease_and_key(&state, caller, &policy)?;
        if let Some(workspace) = &policy.workspace {
            self.take_token(workspace, deadline).await?;
        }
        Ok(policy)
    }

    /// Checks the lease of this host and the key of the caller, which statements on
    /// keyed routes need.
    fn check_lease_and_key(
        &self,
        state: &ViewState,
        caller: &Caller,
        policy: &StatementPolicy,
    ) -> Result<(), Failure> {
        if policy.workspace.is_none() {
            return Ok(());
        }
        if !self.has_lease() {
            return Err(error::no_lease());
        }
        let Some((workspace, key)) = &caller.workspace else { return Err(error::no_lease()) };
        KeyAuthenticator::new(&state.view)
            .revalidate(workspace, key)
            .map_err(|refusal| error::invalid_key(&refusal))
    }

    /// Checks the key of a caller for a statement without a route, such as `COMMIT`.
    pub(super) fn check_caller_key(&self, caller: &Caller) -> Result<(), Failure> {
        let state = self.view.load();
        let workspace = caller.workspace_name().cloned();
        let policy = StatementPolicy {
            is_write: false,
            idempotent: true,
            max_staleness_ms: None,
            weight: OPEN_WEIGHT,
            workspace,
        };
        self.check_lease_and_key(&state, caller, &policy)
    }
}

fn policy(
    state: &ViewState,
    caller: &Caller,
    classified: &StatementClass,
) -> Result<StatementPolicy, Failure> {
    let workspace = caller.workspace_name();
    if let StatementClass::NoTable = classified {
        return Ok(StatementPolicy {
            is_write: false,
            idempotent: true,
            max_staleness_ms: Some(u64::MAX),
            workspace: workspace.cloned(),
            weight: weight(state, workspace),
        });
    }
    let route = state.routes.find(&caller.service, workspace, classified);
    let route = route.map_err(|failure| error::no_route(&failure))?;
    let workspace = match route.access {
        Access::Keyed => workspace,
        Access::Open => None,
    };
    Ok(StatementPolicy {
        is_write: route.action.is_write(),
        idempotent: route.idempotent,
        max_staleness_ms: route.max_staleness_ms,
        workspace: workspace.cloned(),
        weight: weight(state, workspace),
    })
}

fn weight(state: &ViewState, workspace: Option<&Workspace>) -> u32 {
    let spec = workspace.and_then(|workspace| state.view.desired.workspaces.get(workspace));
    spec.map_or(OPEN_WEIGHT, |spec| spec.rate.max(OPEN_WEIGHT))
}
