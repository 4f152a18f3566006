//! HTTP listener of an entry host: readiness, health, metrics and announcements.
//!
//! An announcement is accepted if its signature is valid and it is newer than the last
//! one of its instance: it has a larger incarnation, or the same incarnation and a
//! larger sequence.

use std::sync::Arc;

use axum::{
    Router,
    body::Bytes,
    extract::{DefaultBodyLimit, State},
    http::{HeaderMap, StatusCode, header},
    response::IntoResponse,
    routing::{get, post},
};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{
    adapters::metrics::{AnnouncementResult, CONTENT_TYPE, EntryMetrics},
    ids::{Incarnation, InstanceId},
    keys::announcement::{SIGNATURE_HEADER, verify_signature},
    settings::http::HttpSettings,
    wire::announcement::Announcement,
};

/// Readiness and health of the host.
pub trait HostStatus: Send + Sync + 'static {
    /// Whether the load balancer may route new connections to the host.
    fn is_ready(&self) -> bool;
    /// Whether the process works as intended.
    fn is_healthy(&self) -> bool;
}

/// Reason for rejecting an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum AnnouncementError {
    #[display("the signature is missing or wrong")]
    Forged,
    #[display("the body is not an announcement")]
    Malformed,
    #[display("a newer announcement of the instance is known")]
    Stale,
    #[display("too many announcements wait; send the next one at the usual time")]
    Busy,
}

impl AnnouncementError {
    fn status_code(self) -> StatusCode {
        match self {
            AnnouncementError::Forged => StatusCode::UNAUTHORIZED,
            AnnouncementError::Malformed => StatusCode::BAD_REQUEST,
            AnnouncementError::Stale => StatusCode::CONFLICT,
            AnnouncementError::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn metric_result(self) -> AnnouncementResult {
        match self {
            AnnouncementError::Forged => AnnouncementResult::Forged,
            AnnouncementError::Malformed => AnnouncementResult::Malformed,
            AnnouncementError::Stale => AnnouncementResult::Stale,
            AnnouncementError::Busy => AnnouncementResult::Dropped,
        }
    }
}

/// Verifies announcements and forwards the accepted ones.
pub struct AnnouncementReceiver {
    key: Vec<u8>,
    settings: HttpSettings,
    tx: mpsc::Sender<Announcement>,
    /// Last accepted announcement of each instance, in the order of first arrival.
    last_seen: Mutex<IndexMap<InstanceId, (Incarnation, u64)>>,
}

impl AnnouncementReceiver {
    /// Accepts announcements signed with `key`; an empty key accepts none.
    pub fn new(key: Vec<u8>, settings: HttpSettings, tx: mpsc::Sender<Announcement>) -> Self {
        Self { key, settings, tx, last_seen: Mutex::default() }
    }

    /// Verifies and forwards one announcement. It is recorded as seen only if the queue has
    /// room for it, so that the target can otherwise send it again.
    pub fn accept(&self, signature: Option<&[u8]>, body: &[u8]) -> Result<(), AnnouncementError> {
        if !signature.is_some_and(|signature| verify_signature(&self.key, body, signature)) {
            return Err(AnnouncementError::Forged);
        }
        let announcement: Announcement =
            serde_json::from_slice(body).map_err(|_| AnnouncementError::Malformed)?;
        let permit = self.tx.try_reserve().map_err(|_| AnnouncementError::Busy)?;
        if !self.record_if_new(&announcement) {
            return Err(AnnouncementError::Stale);
        }
        permit.send(announcement);
        Ok(())
    }

    /// Records the announcement as the last one; false if it is not newer.
    fn record_if_new(&self, announcement: &Announcement) -> bool {
        let new = (announcement.spec.incarnation, announcement.sequence);
        let mut last_seen = self.last_seen.lock();
        if last_seen.get(&announcement.spec.id).is_some_and(|last| *last >= new) {
            return false;
        }
        last_seen.insert(announcement.spec.id.clone(), new);
        if last_seen.len() > self.settings.known_instances {
            last_seen.shift_remove_index(0);
        }
        true
    }
}

/// State shared by the handlers.
pub struct HttpState<S> {
    pub status: S,
    pub metrics: Arc<EntryMetrics>,
    pub announcements: AnnouncementReceiver,
}

/// Routes of an entry host.
pub fn router<S: HostStatus>(state: Arc<HttpState<S>>) -> Router {
    let limit = DefaultBodyLimit::max(state.announcements.settings.announcement_bytes);
    Router::new()
        .route("/ready", get(ready::<S>))
        .route("/health", get(health::<S>))
        .route("/metrics", get(metrics::<S>))
        .route("/announce", post(announce::<S>).layer(limit))
        .with_state(state)
}

fn status_code(is_ok: bool) -> StatusCode {
    if is_ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn ready<S: HostStatus>(State(state): State<Arc<HttpState<S>>>) -> StatusCode {
    status_code(state.status.is_ready())
}

async fn health<S: HostStatus>(State(state): State<Arc<HttpState<S>>>) -> StatusCode {
    status_code(state.status.is_healthy())
}

async fn metrics<S: HostStatus>(State(state): State<Arc<HttpState<S>>>) -> impl IntoResponse {
    ([(header::CONTENT_TYPE, CONTENT_TYPE)], state.metrics.encode())
}

async fn announce<S: HostStatus>(
    State(state): State<Arc<HttpState<S>>>,
    headers: HeaderMap,
    body: Bytes,
) -> (StatusCode, String) {
    let signature = headers.get(SIGNATURE_HEADER).map(|value| value.as_bytes());
    match state.announcements.accept(signature, &body) {
        Ok(()) => {
            state.metrics.record_announcement(AnnouncementResult::Accepted);
            (StatusCode::ACCEPTED, String::new())
        }
        Err(error) => {
            state.metrics.record_announcement(error.metric_result());
            (error.status_code(), error.to_string())
        }
    }
}
