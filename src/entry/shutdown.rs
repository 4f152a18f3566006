//! Stages of a planned stop.

use tokio::sync::watch;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    Running,
    /// `/ready` answers 503; new work is still accepted.
    NotReady,
    /// Ownership is handed over and callers leave between transactions.
    Draining,
    /// No work is left.
    Stopped,
}

/// Stage of this host, seen by all its parts.
#[derive(Debug)]
pub struct Shutdown {
    stage: watch::Sender<ShutdownStage>,
    removed: watch::Sender<bool>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(ShutdownStage::Running),
            removed: watch::Sender::new(false),
        }
    }
}

impl Shutdown {
    /// Moves on to `stage`; never back.
    pub fn advance(&self, stage: ShutdownStage) {
        self.stage.send_if_modified(|current| {
            let newer = stage > *current;
            if newer {
                *current = stage;
            }
            newer
        });
    }

    /// Whether the host must get no new ownership.
    pub fn is_shutting_down(&self) -> bool {
        *self.stage.borrow() >= ShutdownStage::NotReady
    }

    /// Whether no work is left.
    pub fn has_stopped(&self) -> bool {
        *self.stage.borrow() == ShutdownStage::Stopped
    }

    /// Records that the control group has removed this incarnation.
    pub fn mark_removed(&self) {
        self.removed.send_replace(true);
    }

    /// Waits until this incarnation is removed.
    pub async fn wait_until_removed(&self) {
        let _ = self.removed.subscribe().wait_for(|removed| *removed).await;
    }
}
