//! HTTP listener of an entry host: readiness, health, metrics and announcements.
//!
//! An announcement is accepted if its signature is valid and it is newer than the
//! last one of its instance: of a larger incarnation, or of the same incarnation
//! with a larger sequence.

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
    /// Whether the load balancer may send new callers.
    fn is_ready(&self) -> bool;
    /// Whether the process works as intended.
    fn is_healthy(&self) -> bool;
}

/// Why an announcement was not accepted.
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
    fn status(self) -> StatusCode {
        match self {
            AnnouncementError::Forged => StatusCode::UNAUTHORIZED,
            AnnouncementError::Malformed => StatusCode::BAD_REQUEST,
            AnnouncementError::Stale => StatusCode::CONFLICT,
            AnnouncementError::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn result(self) -> AnnouncementResult {
        match self {
            AnnouncementError::Forged => AnnouncementResult::Forged,
            AnnouncementError::Malformed => AnnouncementResult::Malformed,
            AnnouncementError::Stale => AnnouncementResult::Stale,
            AnnouncementError::Busy => AnnouncementResult::Dropped,
        }
    }
}

/// Checks announcements and hands accepted ones on.
pub struct AnnouncementReceiver {
    key: Vec<u8>,
    settings: HttpSettings,
    accepted: mpsc::Sender<Announcement>,
    /// Last accepted announcement of each instance, in the order of first arrival.
    known: Mutex<IndexMap<InstanceId, (Incarnation, u64)>>,
}

impl AnnouncementReceiver {
    /// Accepts announcements signed with `key`; an empty key accepts none.
    pub fn new(key: Vec<u8>, settings: HttpSettings, accepted: mpsc::Sender<Announcement>) -> Self {
        Self { key, settings, accepted, known: Mutex::default() }
    }

    /// Checks one announcement. It counts as known only if it could be handed on, so
    /// that the target may send it again otherwise.
    pub fn accept(&self, signature: Option<&[u8]>, body: &[u8]) -> Result<(), AnnouncementError> {
        if !signature.is_some_and(|signature| verify_signature(&self.key, body, signature)) {
            return Err(AnnouncementError::Forged);
        }
        let announcement: Announcement =
            serde_json::from_slice(body).map_err(|_| AnnouncementError::Malformed)?;
        let permit = self.accepted.try_reserve().map_err(|_| AnnouncementError::Busy)?;
        if !self.is_new(&announcement) {
            return Err(AnnouncementError::Stale);
        }
        permit.send(announcement);
        Ok(())
    }

    fn is_new(&self, announcement: &Announcement) -> bool {
        let new = (announcement.spec.incarnation, announcement.sequence);
        let mut known = self.known.lock();
        if known.get(&announcement.spec.id).is_some_and(|last| *last >= new) {
            return false;
        }
        known.insert(announcement.spec.id.clone(), new);
        if known.len() > self.settings.max_known_instances {
            known.shift_remove_index(0);
        }
        true
    }
}

/// State of the listener's handlers.
pub struct HttpState<S> {
    pub status: S,
    pub metrics: Arc<EntryMetrics>,
    pub announcements: AnnouncementReceiver,
}

/// Router of an entry host.
pub fn router<S: HostStatus>(state: Arc<HttpState<S>>) -> Router {
    let limit = DefaultBodyLimit::max(state.announcements.settings.max_announcement_bytes);
    Router::new()
        .route("/ready", get(ready::<S>))
        .route("/health", get(health::<S>))
        .route("/metrics", get(metrics::<S>))
        .route("/announce", post(announce::<S>).layer(limit))
        .with_state(state)
}

fn available(available: bool) -> StatusCode {
    if available { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn ready<S: HostStatus>(State(state): State<Arc<HttpState<S>>>) -> StatusCode {
    available(state.status.is_ready())
}

async fn health<S: HostStatus>(State(state): State<Arc<HttpState<S>>>) -> StatusCode {
    available(state.status.is_healthy())
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
            state.metrics.record_announcement(error.result());
            (error.status(), error.to_string())
        }
    }
}
