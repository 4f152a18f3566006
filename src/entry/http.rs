//! Status of an entry host for its HTTP listener.

use std::sync::Arc;

use axum::Router;
use tokio::sync::mpsc;

use super::cx::Cx;
use crate::{
    adapters::http::{AnnouncementReceiver, HostStatus, HttpState, router},
    settings::http::HttpSettings,
    wire::announcement::Announcement,
};

/// Status of this host.
pub struct EntryStatus {
    cx: Arc<Cx>,
}

impl HostStatus for EntryStatus {
    fn is_ready(&self) -> bool {
        self.cx.has_lease() && self.cx.stores_marks() && !self.cx.stop.is_stopping()
    }

    fn is_healthy(&self) -> bool {
        true
    }
}

/// Router of this host; accepted announcements go to `tx`.
pub fn entry_router(cx: &Arc<Cx>, tx: mpsc::Sender<Announcement>) -> Router {
    let key = cx.settings.announcement_key.clone();
    let state = HttpState {
        status: EntryStatus { cx: cx.clone() },
        metrics: cx.metrics.clone(),
        announcements: AnnouncementReceiver::new(key, HttpSettings::default(), tx),
    };
    router(Arc::new(state))
}
