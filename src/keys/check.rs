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
pub enum KeyRefusal {
    /// Workspace, key id or secret is wrong; which one is not told.
    #[display("the workspace or its key is wrong")]
    Wrong,
    #[display("the key is withdrawn")]
    Withdrawn,
    #[display("the workspace may not use the service")]
    Service,
}

impl std::error::Error for KeyRefusal {}

impl KeyRefusal {
    /// SQLSTATE that the caller sees.
    pub fn sqlstate(self) -> &'static str {
        match self {
            KeyRefusal::Wrong => "28P01",
            KeyRefusal::Withdrawn | KeyRefusal::Service => "28000",
        }
    }
}

/// Key that a connected caller has shown.
///
/// The verifier is kept too: an operator may replace it under the same id, and the
/// replaced secret must stop working.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldKey {
    pub id: KeyId,
    verifier: String,
}

/// Check of keys against one view.
#[derive(Debug, Clone, Copy)]
pub struct KeyCheck<'a> {
    view: &'a ClusterView,
}

impl<'a> KeyCheck<'a> {
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
    ) -> Result<HeldKey, KeyRefusal> {
        let key = password.parse::<Key>().map_err(|_| KeyRefusal::Wrong)?;
        let spec = self.workspace(workspace).and_then(|spec| spec.keys.get(key.id()));
        let verifier = spec.map_or(NO_VERIFIER, |spec| &spec.verifier);
        if !key.matches(verifier) {
            return Err(KeyRefusal::Wrong);
        }
        match spec.map(|spec| spec.state) {
            Some(KeyState::Active) => {
                Ok(HeldKey { id: key.id().clone(), verifier: verifier.to_owned() })
            }
            Some(KeyState::Withdrawn) => Err(KeyRefusal::Withdrawn),
            None => Err(KeyRefusal::Wrong),
        }
    }

    /// Checks that an authenticated key is still active. A key that was removed
    /// from the file or has a new verifier counts as withdrawn.
    ///
    /// # Errors
    ///
    /// Fails if the key is withdrawn.
    pub fn recheck(&self, workspace: &Workspace, key: &HeldKey) -> Result<(), KeyRefusal> {
        let spec = self.workspace(workspace).and_then(|spec| spec.keys.get(&key.id));
        let spec = spec.filter(|spec| spec.verifier == key.verifier);
        match spec.map(|spec| spec.state) {
            Some(KeyState::Active) => Ok(()),
            Some(KeyState::Withdrawn) | None => Err(KeyRefusal::Withdrawn),
        }
    }

    /// Checks that a workspace may use a service.
    ///
    /// # Errors
    ///
    /// Fails if the service is not among those of the workspace.
    pub fn check_service(
        &self,
        workspace: &Workspace,
        service: &Service,
    ) -> Result<(), KeyRefusal> {
        match self.workspace(workspace) {
            Some(spec) if spec.services.contains(service) => Ok(()),
            _ => Err(KeyRefusal::Service),
        }
    }

    fn workspace(&self, workspace: &Workspace) -> Option<&'a WorkspaceSpec> {
        self.view.desired.workspaces.get(workspace)
    }
}
