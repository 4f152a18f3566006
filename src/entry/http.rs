//! Readiness and metrics endpoints of an entry host, and receipt of announcements.

use std::sync::Arc;

use axum::Router;
use tokio::sync::mpsc;

use super::cx::Cx;
use crate::{
    adapters::http::{AnnouncementReceiver, HostStatus, HttpState, router},
    settings::http::HttpSettings,
    wire::announcement::Announcement,
};

/// Readiness and health of this host.
pub struct EntryStatus {
    cx: Arc<Cx>,
}

impl HostStatus for EntryStatus {
    fn is_ready(&self) -> bool {
        self.cx.has_lease() && self.cx.can_store_marks() && !self.cx.shutdown.is_shutting_down()
    }

    fn is_healthy(&self) -> bool {
        true
    }
}

/// HTTP router of this host; sends authenticated announcements to `tx`.
pub fn entry_router(cx: &Arc<Cx>, tx: mpsc::Sender<Announcement>) -> Router {
    let key = cx.settings.announcement_key.clone();
    let state = HttpState {
        status: EntryStatus { cx: cx.clone() },
        metrics: cx.metrics.clone(),
        announcements: AnnouncementReceiver::new(key, HttpSettings::default(), tx),
    };
    router(Arc::new(state))
}
