//! HTTP listener of a control host: operator API, readiness, health and metrics.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Query, Request as HttpRequest, State},
    http::{StatusCode, header::AUTHORIZATION},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::Deserialize;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    adapters::bus::Bus,
    clock::{Clock, Millis, SystemClock},
    configuration,
    control::{
        event_loop::Event,
        metrics::Metrics,
        operators::{Answer, Request},
    },
    ids::Revision,
    settings::operator::OperatorToken,
    state::model::{ApplyAnswer, ApplyCommand},
    wire::operator::{APPLY_PATH, AUDIT_PATH, ApplyRequest, FILE_PATH, InvalidFile, STATUS_PATH},
};

/// Time limit for a response, in addition to the wait for hosts that the request asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for hosts that a request may ask for.
const MAX_HOST_WAIT: Millis = Millis(60_000);

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// State shared by the handlers.
#[derive(Clone)]
pub struct HttpCx {
    pub clock: SystemClock,
    pub token: OperatorToken,
    pub bus: Bus,
    pub metrics: Arc<Metrics>,
    pub events: mpsc::Sender<Event>,
}

/// Routes of the listener.
pub fn router(cx: HttpCx) -> Router {
    let operator_api = Router::new()
        .route(APPLY_PATH, post(apply))
        .route(STATUS_PATH, get(status))
        .route(AUDIT_PATH, get(audit))
        .route(FILE_PATH, get(file))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::from_fn_with_state(cx.clone(), authenticate));
    Router::new()
        .route("/ready", get(ready))
        .route("/health", get(health))
        .route("/metrics", get(metrics))
        .merge(operator_api)
        .with_state(cx)
}

async fn authenticate(State(cx): State<HttpCx>, request: HttpRequest, next: Next) -> Response {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    if header.is_some_and(|header| cx.token.accepts(header)) {
        return next.run(request).await;
    }
    StatusCode::UNAUTHORIZED.into_response()
}

async fn ready(State(cx): State<HttpCx>) -> StatusCode {
    status_code(cx.metrics.is_ready(cx.clock.now()))
}

async fn health(State(cx): State<HttpCx>) -> StatusCode {
    status_code(cx.metrics.is_healthy(cx.clock.now()))
}

fn status_code(is_ok: bool) -> StatusCode {
    if is_ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn metrics(State(cx): State<HttpCx>) -> Response {
    match cx.metrics.encode(&cx.bus) {
        Ok(text) => text.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn apply(State(cx): State<HttpCx>, Json(request): Json<ApplyRequest>) -> Response {
    let desired = match configuration::read_successor(&request.file, request.expected_version) {
        Ok(configuration) => configuration.desired,
        Err(findings) => {
            let invalid = Json(InvalidFile { findings });
            return (StatusCode::UNPROCESSABLE_ENTITY, invalid).into_response();
        }
    };
    let wait = Millis(request.wait_ms).min(MAX_HOST_WAIT);
    let command = Box::new(ApplyCommand {
        id: request.id,
        operator: request.operator,
        at_unix_ms: unix_ms(),
        expected_version: request.expected_version,
        file: request.file,
        desired,
    });
    send_to_event_loop(&cx, Request::Apply { command, wait }, wait.duration()).await
}

async fn status(State(cx): State<HttpCx>) -> Response {
    send_to_event_loop(&cx, Request::Status, Duration::ZERO).await
}

/// Query parameters of an audit request.
#[derive(Debug, Deserialize)]
struct AuditQuery {
    #[serde(default)]
    from: u64,
}

async fn audit(State(cx): State<HttpCx>, Query(query): Query<AuditQuery>) -> Response {
    send_to_event_loop(&cx, Request::Audit { from: Revision(query.from) }, Duration::ZERO).await
}

async fn file(State(cx): State<HttpCx>) -> Response {
    send_to_event_loop(&cx, Request::File, Duration::ZERO).await
}

/// Passes the request to the event loop and waits for its answer.
async fn send_to_event_loop(cx: &HttpCx, request: Request, wait: Duration) -> Response {
    let (reply, answer_rx) = oneshot::channel();
    let answer = async {
        cx.events.send(Event::Operator { request, reply }).await.ok()?;
        answer_rx.await.ok()
    };
    match timeout(RESPONSE_TIMEOUT + wait, answer).await {
        Ok(Some(answer)) => answer.into_response(),
        Ok(None) => Answer::unavailable("this host is stopping").into_response(),
        Err(_) => Answer::unavailable("no majority answered in time; send the request again")
            .into_response(),
    }
}

impl IntoResponse for Answer {
    fn into_response(self) -> Response {
        match self {
            Self::Apply(answer) if matches!(answer.answer, ApplyAnswer::Conflict { .. }) => {
                (StatusCode::CONFLICT, Json(answer)).into_response()
            }
            Self::Apply(answer) => Json(answer).into_response(),
            Self::Status(answer) => Json(answer).into_response(),
            Self::Audit(answer) => Json(answer).into_response(),
            Self::File(answer) => Json(answer).into_response(),
            Self::NotLeader(answer) => {
                (StatusCode::MISDIRECTED_REQUEST, Json(answer)).into_response()
            }
            Self::Unavailable(answer) => {
                (StatusCode::SERVICE_UNAVAILABLE, Json(answer)).into_response()
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
