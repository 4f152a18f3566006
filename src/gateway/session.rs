//! Session of a caller: variables, prepared statements and positions of its commits.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    fleet::config::{FleetConfig, FleetRoute},
    gateway::{
        ports::StartupMessage,
        readmission::SessionHash,
        statement::{ErrorCode, PreparedStatement, StatementError},
    },
    ids::{Mark, Service, Workspace},
};

/// Session state that outlives a single operation.
#[derive(Debug, Default)]
pub struct Session {
    pub database: String,
    pub key: Option<String>,
    pub variables: IndexMap<String, String>,
    pub prepared: IndexMap<String, PreparedStatement>,
    pub hash: SessionHash,
    /// Position of the session's last commit by service.
    marks: IndexMap<Service, Mark>,
}

/// Route and workspace of a session under a configuration.
#[derive(Debug, Clone)]
pub struct Authorization {
    pub route: Arc<FleetRoute>,
    /// `None` for an anonymous session, on a route that allows these.
    pub workspace: Option<Workspace>,
}

impl Session {
    pub fn new(startup: StartupMessage) -> Self {
        Self { database: startup.database, key: startup.key, ..Self::default() }
    }

    /// Workspace of the session's API key.
    pub fn workspace<'a>(&self, config: &'a FleetConfig) -> Option<&'a Workspace> {
        self.key.as_deref().and_then(|key| config.api_keys.get(key))
    }

    /// Looks up the route by the database name and the workspace by the API key.
    pub fn authorize(&self, config: &FleetConfig) -> Result<Authorization, StatementError> {
        let Some(route) = config.routes.get(self.database.as_str()) else {
            return Err(StatementError::new(ErrorCode::NoDatabase, "no such database"));
        };
        let workspace = self.workspace(config).cloned();
        if workspace.is_none() && !route.allow_anonymous {
            return Err(StatementError::new(ErrorCode::NoAuth, "unknown key"));
        }
        Ok(Authorization { route: route.clone(), workspace })
    }

    /// Position of the session's last commit at `service`.
    pub fn mark(&self, service: &Service) -> Option<Mark> {
        self.marks.get(service).copied()
    }

    /// Records a commit of the session.
    pub fn record_commit(&mut self, service: &Service, position: Mark) {
        let mark = self.marks.entry(service.clone()).or_default();
        *mark = (*mark).max(position);
    }
}
