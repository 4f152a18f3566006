//! Session of a caller: variables, prepared statements and its own last commits.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    fleet::config::{FleetConfig, FleetRoute},
    gateway::{
        ports::StartupMessage,
        statement::{ErrorCode, PreparedStatement, StatementError},
    },
    ids::{Mark, Service, Workspace},
};

/// State of a session between its operations.
#[derive(Debug, Default)]
pub struct Session {
    pub database: String,
    pub key: Option<String>,
    pub variables: IndexMap<String, String>,
    pub prepared: IndexMap<String, PreparedStatement>,
    marks: IndexMap<Service, Mark>,
}

/// What a configuration says of a session.
#[derive(Debug, Clone)]
pub struct Authorization {
    pub route: Arc<FleetRoute>,
    /// `None` on open routes without a known key.
    pub workspace: Option<Workspace>,
}

impl Session {
    /// Session of a caller that begins with `start`.
    pub fn new(start: StartupMessage) -> Self {
        Self { database: start.database, key: start.key, ..Self::default() }
    }

    /// Route and workspace under the configuration in force.
    pub fn access(&self, config: &FleetConfig) -> Result<Authorization, StatementError> {
        let Some(route) = config.routes.get(self.database.as_str()) else {
            return Err(StatementError::new(ErrorCode::NoDatabase, "no such database"));
        };
        let workspace = self.key.as_deref().and_then(|key| config.api_keys.get(key)).cloned();
        if workspace.is_none() && !route.allow_anonymous {
            return Err(StatementError::new(ErrorCode::NoAuth, "unknown key"));
        }
        Ok(Authorization { route: route.clone(), workspace })
    }

    /// Position of the session's last commit at `service`.
    pub fn mark(&self, service: &Service) -> Option<Mark> {
        self.marks.get(service).copied()
    }

    /// Notes a commit of the session.
    pub fn committed(&mut self, service: &Service, position: Mark) {
        let mark = self.marks.entry(service.clone()).or_default();
        *mark = (*mark).max(position);
    }
}
