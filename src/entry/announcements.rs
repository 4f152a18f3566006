//! Handling of announcements that targets sent to this host.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::{cx::Cx, dispatch::OwnerRef};
use crate::wire::{announcement::Announcement, peer::PeerRequest};

/// Timeout for forwarding an announcement to the owner. A lost one is not sent again,
/// because targets announce themselves periodically.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles authenticated announcements until the HTTP listener has closed.
pub async fn run(cx: Arc<Cx>, mut rx: mpsc::Receiver<Announcement>) {
    while let Some(announcement) = rx.recv().await {
        cx.handle_announcement(announcement);
    }
}

impl Cx {
    /// Reports a changed instance spec to the control group and forwards the
    /// announcement to the owner of the instance.
    fn handle_announcement(self: &Arc<Self>, announcement: Announcement) {
        let spec = &announcement.spec;
        self.record_position(&spec.id, announcement.position, announcement.age_ms);
        let state = self.view.load();
        if state.view.instances.get(&spec.id).is_none_or(|known| known.spec != *spec) {
            self.pending_announcements.lock().insert(spec.id.clone(), spec.clone());
            self.renew_now.notify_one();
        }
        let Some(owner) = OwnerRef::find(&state.view, &spec.id) else { return };
        if owner.host == self.settings.host {
            self.owner.handle_announcement(announcement);
            return;
        }
        let cx = self.clone();
        tokio::spawn(async move {
            let req = PeerRequest::Announce(announcement);
            let _ = cx.peers.call(&owner.peer_addr, &req, FORWARD_TIMEOUT).await;
        });
    }
}
