//! Announcements of targets that reached this host.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::{cx::Cx, dispatch::OwnerRef};
use crate::wire::{announcement::Announcement, peer::PeerRequest};

/// Time for passing an announcement on; the next one follows soon.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles accepted announcements until the listener ends.
pub async fn run(cx: Arc<Cx>, mut rx: mpsc::Receiver<Announcement>) {
    while let Some(announcement) = rx.recv().await {
        cx.announced(announcement);
    }
}

impl Cx {
    /// Proposes structural changes to control and tells the instance's owner.
    fn announced(self: &Arc<Self>, announcement: Announcement) {
        let spec = &announcement.spec;
        self.observe(&spec.id, announcement.position, announcement.age_ms);
        let state = self.view.load();
        if state.view.instances.get(&spec.id).is_none_or(|known| known.spec != *spec) {
            self.announced.lock().insert(spec.id.clone(), spec.clone());
            self.report_soon.notify_one();
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
