//! HTTP of an entry host: announcements, readiness and metrics.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use axum::{
    Router,
    body::Bytes,
    extract::State,
    http::{HeaderMap, StatusCode},
    routing::{get, post},
};
use tokio::sync::mpsc;

use super::cx::Cx;
use crate::{
    keys::announcement::{SIGNATURE_HEADER, is_signed},
    wire::announcement::Announcement,
};

/// Reads by the kind of instance that served them.
#[derive(Debug, Default)]
pub struct ReadCounters {
    replica: AtomicU64,
    primary: AtomicU64,
}

impl ReadCounters {
    /// Counts one served read.
    pub fn read(&self, by_replica: bool) {
        let counter = if by_replica { &self.replica } else { &self.primary };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct HttpState {
    cx: Arc<Cx>,
    tx: mpsc::Sender<Announcement>,
}

/// Router of this host.
pub fn router(cx: Arc<Cx>, tx: mpsc::Sender<Announcement>) -> Router {
    Router::new()
        .route("/announce", post(announce))
        .route("/ready", get(ready))
        .route("/health", get(|| async { "ok\n" }))
        .route("/metrics", get(metrics))
        .with_state(HttpState { cx, tx })
}

async fn announce(State(state): State<HttpState>, headers: HeaderMap, body: Bytes) -> StatusCode {
    let signature = headers.get(SIGNATURE_HEADER).and_then(|value| value.to_str().ok());
    if !is_signed(&state.cx.settings.announcement_key, &body, signature.unwrap_or_default()) {
        return StatusCode::UNAUTHORIZED;
    }
    let Ok(announcement) = serde_json::from_slice(&body) else { return StatusCode::BAD_REQUEST };
    match state.tx.try_send(announcement) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn ready(State(state): State<HttpState>) -> StatusCode {
    if state.cx.has_lease() && !state.cx.stop.is_stopping() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn metrics(State(state): State<HttpState>) -> String {
    let reads = &state.cx.metrics;
    let (replica, primary) =
        (reads.replica.load(Ordering::Relaxed), reads.primary.load(Ordering::Relaxed));
    format!(
        "pomelopin_reads_total{{source=\"replica\"}} {replica}\n\
         pomelopin_reads_total{{source=\"primary\"}} {primary}\n"
    )
}
