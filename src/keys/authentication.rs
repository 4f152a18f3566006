//! Authentication of callers by their keys in the cluster view.
//!
//! The secret is verified once, when a caller connects. The state of the key is
//! checked again for each statement, so that withdrawing a key also affects callers
//! that are already connected.

use derive_more::Display;

use crate::{
    ids::{KeyId, Service, Workspace},
    keys::key::Key,
    state::model::{ClusterView, KeyState, WorkspaceSpec},
};

/// Verifier that matches no key. Comparing with it makes the refusal of an unknown id
/// take as long as that of a wrong secret.
const UNMATCHED_VERIFIER: &str = "................................................................";

/// Why a caller's key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AuthError {
    /// Workspace, key id or secret is wrong; callers are not told which.
    #[display("the workspace or its key is wrong")]
    InvalidCredentials,
    #[display("the key is withdrawn")]
    Withdrawn,
    #[display("the workspace may not use the service")]
    ServiceNotAllowed,
}

impl std::error::Error for AuthError {}

impl AuthError {
    /// SQLSTATE for the caller.
    pub fn sqlstate(self) -> &'static str {
        match self {
            AuthError::InvalidCredentials => "28P01",
            AuthError::Withdrawn | AuthError::ServiceNotAllowed => "28000",
        }
    }
}

/// Key with which a connected caller has authenticated.
///
/// Includes the verifier, because an operator may replace it under the same id, and the
/// replaced secret must stop working.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthenticatedKey {
    pub id: KeyId,
    verifier: String,
}

/// Authenticates keys against one cluster view.
#[derive(Debug, Clone, Copy)]
pub struct KeyAuthenticator<'a> {
    view: &'a ClusterView,
}

impl<'a> KeyAuthenticator<'a> {
    /// Authenticator that uses the keys of `view`.
    pub fn new(view: &'a ClusterView) -> Self {
        Self { view }
    }

    /// Authenticates a workspace by its key; returns the key for [`Self::revalidate`].
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
        let verifier = spec.map_or(UNMATCHED_VERIFIER, |spec| &spec.verifier);
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

    /// Checks that an authenticated key is still active. A key that was removed from
    /// the file or has a new verifier counts as withdrawn.
    ///
    /// # Errors
    ///
    /// Fails if the key is no longer active.
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
    /// Fails if the workspace is unknown or does not list the service.
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
