//! Checks before a statement may go to a target: lease, key, route and rate.

use std::sync::Arc;

use tokio::time::Instant;

use super::{caller::Caller, cx::Cx, error, view::ViewState};
use crate::{
    ids::Workspace, keys::check::KeyCheck, routing::classify::StatementClass, state::model::Access,
    wire::peer::Failure,
};

/// Weight of callers without a workspace in the fair queue.
const OPEN_WEIGHT: u32 = 1;

/// What the configuration says of one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    pub is_write: bool,
    pub idempotent: bool,
    pub max_staleness_ms: Option<u64>,
    /// Workspace that the statement runs for; `None` on open routes.
    pub workspace: Option<Workspace>,
    pub weight: u32,
}

impl Cx {
    /// Rule of the statement, once the caller may run it.
    pub(super) async fn admit(
        self: &Arc<Self>,
        caller: &Caller,
        classified: &StatementClass,
        deadline: Instant,
    ) -> Result<Rule, Failure> {
        let state = self.view.load();
        let rule = rule(&state, caller, classified)?;
        self.check_key(&state, caller, &rule)?;
        if let Some(workspace) = &rule.workspace {
            self.take_token(workspace, deadline).await?;
        }
        Ok(rule)
    }

    /// Checks the lease and the key; keyed statements need both.
    fn check_key(&self, state: &ViewState, caller: &Caller, rule: &Rule) -> Result<(), Failure> {
        if rule.workspace.is_none() {
            return Ok(());
        }
        if !self.has_lease() {
            return Err(error::no_lease());
        }
        let Some((workspace, key)) = &caller.workspace else { return Err(error::no_lease()) };
        KeyCheck::new(&state.view).recheck(workspace, key).map_err(|refusal| error::key(&refusal))
    }

    /// Checks the key of a caller whose statement needs no route.
    pub(super) fn check_caller(&self, caller: &Caller) -> Result<(), Failure> {
        let state = self.view.load();
        let workspace = caller.workspace_name().cloned();
        let rule = Rule {
            is_write: false,
            idempotent: true,
            max_staleness_ms: None,
            weight: OPEN_WEIGHT,
            workspace,
        };
        self.check_key(&state, caller, &rule)
    }
}

fn rule(state: &ViewState, caller: &Caller, classified: &StatementClass) -> Result<Rule, Failure> {
    let workspace = caller.workspace_name();
    if let StatementClass::NoTable = classified {
        return Ok(Rule {
            is_write: false,
            idempotent: true,
            max_staleness_ms: Some(u64::MAX),
            workspace: workspace.cloned(),
            weight: weight(state, workspace),
        });
    }
    let route = state.routes.find(&caller.service, workspace, classified);
    let route = route.map_err(|failure| error::route(&failure))?;
    let workspace = match route.access {
        Access::Keyed => workspace,
        Access::Open => None,
    };
    Ok(Rule {
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
