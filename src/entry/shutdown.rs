//! Stages of a graceful shutdown.

use tokio::sync::watch;

/// Stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    Running,
    /// `/ready` answers 503; new callers are still accepted.
    NotReady,
    /// Instances are handed over to other hosts, and callers are disconnected between
    /// their transactions.
    Draining,
    /// All callers have left and the host owns no instance, or the drain timed out.
    Stopped,
}

/// Shutdown stage of this host, shared by all its tasks.
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
    /// Advances to `stage`; has no effect if a later stage was reached.
    pub fn advance(&self, stage: ShutdownStage) {
        self.stage.send_if_modified(|current| {
            let newer = stage > *current;
            if newer {
                *current = stage;
            }
            newer
        });
    }

    /// Whether shutdown has started, so that the host must not become owner of instances.
    pub fn is_shutting_down(&self) -> bool {
        *self.stage.borrow() >= ShutdownStage::NotReady
    }

    /// Whether the last stage was reached.
    pub fn has_stopped(&self) -> bool {
        *self.stage.borrow() == ShutdownStage::Stopped
    }

    /// Records that the control group has removed this incarnation of the host.
    pub fn mark_removed(&self) {
        self.removed.send_replace(true);
    }

    /// Waits until the control group has removed this incarnation of the host.
    pub async fn wait_until_removed(&self) {
        let _ = self.removed.subscribe().wait_for(|removed| *removed).await;
    }
}
