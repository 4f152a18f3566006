//! Matching of statements against the configured routes.

use std::sync::Arc;

use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::{
    ids::{Service, Workspace},
    routing::classify::StatementClass,
    state::model::{Access, Action, ClusterView, DesiredState, Route},
};

/// Why a statement has no usable route.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RouteError {
    /// No route exists for any caller.
    #[display("no route for {action} on `{table}` of service `{service}`")]
    NoRoute { service: Service, table: Arc<str>, action: Action },
    /// Route exists but the caller has no key.
    #[display("{action} on `{table}` of service `{service}` needs a key")]
    KeyRequired { service: Service, table: Arc<str>, action: Action },
    /// Workspace is not configured for the service.
    #[display("workspace `{workspace}` may not use service `{service}`")]
    ServiceNotAllowed { workspace: Workspace, service: Service },
    /// Statement accesses no table and therefore needs no route.
    #[display("the statement touches no table")]
    NoTable,
}

impl RouteError {
    /// SQLSTATE of the error.
    pub fn code(&self) -> &'static str {
        match self {
            RouteError::NoRoute { .. } => "42501",
            RouteError::KeyRequired { .. } | RouteError::ServiceNotAllowed { .. } => "28000",
            RouteError::NoTable => "0A000",
        }
    }
}

/// Route for a statement of class `class`, found by a scan over all routes.
///
/// [`RouteIndex::find`] returns the same result without the scan.
pub fn find_route<'a>(
    view: &'a ClusterView,
    service: &Service,
    workspace: Option<&Workspace>,
    class: &StatementClass,
) -> Result<&'a Route, RouteError> {
    let StatementClass::TableAccess { table, action } = class else {
        return Err(RouteError::NoTable);
    };
    let candidates = view.desired.routes.iter().filter(|route| {
        route.service == *service && route.table == **table && route.action == *action
    });
    let is_allowed = |workspace: &Workspace| {
        view.desired.workspaces.get(workspace).is_some_and(|spec| spec.services.contains(service))
    };
    let query = RouteQuery { service, workspace, table, action: *action };
    query.select(candidates, is_allowed)
}

/// Table access for which a route is wanted.
struct RouteQuery<'q> {
    service: &'q Service,
    workspace: Option<&'q Workspace>,
    table: &'q Arc<str>,
    action: Action,
}

impl RouteQuery<'_> {
    /// Selects a keyed route that the workspace may use, or else an open one.
    fn select<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Route>,
        is_allowed: impl Fn(&Workspace) -> bool,
    ) -> Result<&'a Route, RouteError> {
        let (mut keyed, mut open) = (None, None);
        for route in candidates {
            match route.access {
                Access::Keyed => keyed = keyed.or(Some(route)),
                Access::Open => open = open.or(Some(route)),
            }
        }
        let may_use_keyed = self.workspace.is_some_and(is_allowed);
        match (keyed, open) {
            (Some(route), _) if may_use_keyed => Ok(route),
            (_, Some(route)) => Ok(route),
            (Some(_), None) => Err(self.access_denied()),
            (None, None) => Err(RouteError::NoRoute {
                service: self.service.clone(),
                table: self.table.clone(),
                action: self.action,
            }),
        }
    }

    fn access_denied(&self) -> RouteError {
        let service = self.service.clone();
        match self.workspace {
            Some(workspace) => {
                RouteError::ServiceNotAllowed { workspace: workspace.clone(), service }
            }
            None => {
                RouteError::KeyRequired { service, table: self.table.clone(), action: self.action }
            }
        }
    }
}

/// Routes by service and table, and services by workspace; built once per view revision.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    services: IndexMap<Service, IndexMap<String, Vec<Route>>>,
    workspaces: IndexMap<Workspace, Vec<Service>>,
}

impl RouteIndex {
    pub fn build(desired: &DesiredState) -> Self {
        let mut index = Self::default();
        for route in &desired.routes {
            let tables = index.services.entry(route.service.clone()).or_default();
            tables.entry(route.table.clone()).or_default().push(route.clone());
        }
        for (workspace, spec) in &desired.workspaces {
            index.workspaces.insert(workspace.clone(), spec.services.clone());
        }
        index
    }

    /// Route for a statement of class `class`; same rules as [`find_route`].
    pub fn find(
        &self,
        service: &Service,
        workspace: Option<&Workspace>,
        class: &StatementClass,
    ) -> Result<&Route, RouteError> {
        let StatementClass::TableAccess { table, action } = class else {
            return Err(RouteError::NoTable);
        };
        let table_routes = self.services.get(service).and_then(|tables| tables.get(&**table));
        let candidates = table_routes.into_iter().flatten().filter(|route| route.action == *action);
        let is_allowed = |workspace: &Workspace| {
            self.workspaces.get(workspace).is_some_and(|services| services.contains(service))
        };
        RouteQuery { service, workspace, table, action: *action }.select(candidates, is_allowed)
    }
}
