//! Check of callers' keys against the cluster view.
//!
//! The secret is checked once, when a caller connects. The state of the key is
//! checked again for each statement, so a withdrawn key also stops working for
//! connected callers.

use derive_more::Display;

use crate::{
    ids::{KeyId, Service, Workspace},
    keys::key::Key,
    state::model::{ClusterView, KeyState, WorkspaceSpec},
};

/// Verifier that no key has; unknown ids take as long to refuse as wrong secrets.
const NO_VERIFIER: &str = "................................................................";

/// Why a caller may not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AuthError {
    /// Workspace, key id or secret is wrong; which one is not told.
    #[display("the workspace or its key is wrong")]
    InvalidCredentials,
    #[display("the key is withdrawn")]
    Withdrawn,
    #[display("the workspace may not use the service")]
    ServiceNotAllowed,
}

impl std::error::Error for AuthError {}

impl AuthError {
    /// SQLSTATE that the caller sees.
    pub fn sqlstate(self) -> &'static str {
        match self {
            AuthError::InvalidCredentials => "28P01",
            AuthError::Withdrawn | AuthError::ServiceNotAllowed => "28000",
        }
    }
}

/// Key that a connected caller has shown.
///
/// The verifier is kept too: an operator may replace it under the same id, and the
/// replaced secret must stop working.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthenticatedKey {
    pub id: KeyId,
    verifier: String,
}

/// Check of keys against one view.
#[derive(Debug, Clone, Copy)]
pub struct KeyAuthenticator<'a> {
    view: &'a ClusterView,
}

impl<'a> KeyAuthenticator<'a> {
    /// Check against `view`.
    pub fn new(view: &'a ClusterView) -> Self {
        Self { view }
    }

    /// Authenticates a workspace by its key; returns what to check from then on.
    ///
    /// # Errors
    ///
    /// Fails if the key is not an active key of the workspace.
    pub fn authenticate(
        &self,
        workspace: &Workspace,
        password: &str,
    ) -> Result<AuthenticatedKey, AuthError> {
        let key = password.parse::<Key>().map_err(|_| AuthError::InvalidCredentials)?;
        let spec = self.workspace(workspace).and_then(|spec| spec.keys.get(key.id()));
        let verifier = spec.map_or(NO_VERIFIER, |spec| &spec.verifier);
        if !key.matches(verifier) {
            return Err(AuthError::InvalidCredentials);
        }
        match spec.map(|spec| spec.state) {
            Some(KeyState::Active) => {
                Ok(AuthenticatedKey { id: key.id().clone(), verifier: verifier.to_owned() })
            }
            Some(KeyState::Withdrawn) => Err(AuthError::Withdrawn),
            None => Err(AuthError::InvalidCredentials),
        }
    }

    /// Checks that an authenticated key is still active. A key that was removed
    /// from the file or has a new verifier counts as withdrawn.
    ///
    /// # Errors
    ///
    /// Fails if the key is withdrawn.
    pub fn revalidate(
        &self,
        workspace: &Workspace,
        key: &AuthenticatedKey,
    ) -> Result<(), AuthError> {
        let spec = self.workspace(workspace).and_then(|spec| spec.keys.get(&key.id));
        let spec = spec.filter(|spec| spec.verifier == key.verifier);
        match spec.map(|spec| spec.state) {
            Some(KeyState::Active) => Ok(()),
            Some(KeyState::Withdrawn) | None => Err(AuthError::Withdrawn),
        }
    }

    /// Checks that a workspace may use a service.
    ///
    /// # Errors
    ///
    /// Fails if the service is not among those of the workspace.
    pub fn check_service(&self, workspace: &Workspace, service: &Service) -> Result<(), AuthError> {
        match self.workspace(workspace) {
            Some(spec) if spec.services.contains(service) => Ok(()),
            _ => Err(AuthError::ServiceNotAllowed),
        }
    }

    fn workspace(&self, workspace: &Workspace) -> Option<&'a WorkspaceSpec> {
        self.view.desired.workspaces.get(workspace)
    }
}
