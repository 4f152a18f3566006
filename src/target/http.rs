//! HTTP endpoints for fencing and promotion, replication, status and fault injection.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Request, State as Shared},
    http::{HeaderMap, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::{Deserialize, Serialize};

use super::{
    faults::Partition,
    instance::Instance,
    replication::{self, PullRequest},
};
use crate::{
    clock::Millis,
    ids::{FailureDomain, InstanceId, Mark, Service, Term},
    state::model::Role,
    wire::control::{FenceRequest, FenceResponse, PromoteRequest},
};

/// Header with the name of the calling host; partitions are matched against it.
pub const FROM_HEADER: &str = "x-pomelopin-from";

/// Header that states whether the capture was truncated.
pub const TRUNCATED_HEADER: &str = "x-pomelopin-truncated";

/// Time after which a request across a partition fails.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request body in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// Response body of `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub name: InstanceId,
    pub service: Service,
    pub failure_domain: FailureDomain,
    pub role: Role,
    /// Highest accepted term.
    pub term: Term,
    /// Mark of the last log entry.
    pub last: Mark,
    /// Mark of the last applied entry.
    pub applied: Mark,
    pub age_ms: u64,
    pub primary_silent_ms: u64,
    pub connections: u32,
    /// Slots not held by a statement.
    pub free_slots: u32,
    pub leaving: bool,
}

/// Request body of `/test/freeze` and `/test/lag`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Span {
    pub ms: u64,
}

/// Request body of `/test/partition`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartitionRequest {
    pub from: Partition,
}

type Cx = Shared<Arc<Instance>>;

/// Router of all endpoints; faults affect `/fence`, `/promote` and `/replication/pull`.
pub fn router(instance: Arc<Instance>) -> Router {
    let faulty = Router::new()
        .route("/fence", post(fence))
        .route("/promote", post(promote))
        .route("/replication/pull", post(pull))
        .layer(middleware::from_fn_with_state(instance.clone(), faults));
    Router::new()
        .route("/status", get(status))
        .route("/test/partition", post(partition))
        .route("/test/heal", post(heal))
        .route("/test/freeze", post(freeze))
        .route("/test/lag", post(lag))
        .route("/test/leave", post(leave))
        .route("/test/capture", get(capture).post(capture))
        .merge(faulty)
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(instance)
}

/// Delays requests while the instance is frozen and fails them in a partition.
///
/// Checked before and after the handler, so that a response can be lost as well.
async fn faults(
    Shared(instance): Cx,
    headers: HeaderMap,
    request: Request,
    next: Next,
) -> Response {
    let from = headers.get(FROM_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
    instance.faults.wait_while_frozen().await;
    if instance.faults.blocks(from) {
        return fail_after_timeout().await;
    }
    let response = next.run(request).await;
    instance.faults.wait_while_frozen().await;
    if instance.faults.blocks(from) { fail_after_timeout().await } else { response }
}

async fn fail_after_timeout() -> Response {
    tokio::time::sleep(PARTITION_TIMEOUT).await;
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn fence(Shared(instance): Cx, Json(request): Json<FenceRequest>) -> Json<FenceResponse> {
    Json(instance.fence(request.term))
}

async fn promote(Shared(instance): Cx, Json(request): Json<PromoteRequest>) -> Json<FenceResponse> {
    Json(instance.promote(request.term))
}

async fn pull(Shared(instance): Cx, body: Bytes) -> Response {
    let Ok(request) = postcard::from_bytes::<PullRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if instance.faults.blocks(request.from.as_str()) {
        return fail_after_timeout().await;
    }
    let answer = replication::answer(&instance, &request).await;
    if instance.faults.blocks(request.from.as_str()) {
        return fail_after_timeout().await;
    }
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => bytes.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn status(Shared(instance): Cx) -> Json<Status> {
    let now = instance.now();
    let settings = &instance.settings;
    let free_slots = instance.slots.available_permits() as u32;
    Json(instance.with(|state| {
        state.apply_due(now);
        Status {
            name: settings.name.clone(),
            service: settings.service.clone(),
            failure_domain: settings.failure_domain.clone(),
            role: state.role,
            term: state.term,
            last: state.log.last(),
            applied: state.applied(),
            age_ms: state.age(now).0,
            primary_silent_ms: state.silence(now).0,
            connections: instance.connections(),
            free_slots,
            leaving: instance.is_leaving(),
        }
    }))
}

async fn partition(Shared(instance): Cx, Json(request): Json<PartitionRequest>) -> StatusCode {
    spdlog::info!("fault injection: partitioned from {:?}", request.from);
    instance.faults.partition(request.from);
    StatusCode::NO_CONTENT
}

async fn heal(Shared(instance): Cx) -> StatusCode {
    spdlog::info!("fault injection: partition ended");
    instance.faults.heal();
    StatusCode::NO_CONTENT
}

async fn freeze(Shared(instance): Cx, Json(span): Json<Span>) -> StatusCode {
    spdlog::info!("fault injection: frozen for {} ms", span.ms);
    instance.faults.freeze(Millis(span.ms));
    StatusCode::NO_CONTENT
}

async fn lag(Shared(instance): Cx, Json(span): Json<Span>) -> StatusCode {
    spdlog::info!("fault injection: replication lag set to {} ms", span.ms);
    instance.faults.set_lag(Millis(span.ms));
    StatusCode::NO_CONTENT
}

async fn leave(Shared(instance): Cx) -> StatusCode {
    spdlog::info!("fault injection: instance is leaving");
    instance.leave();
    StatusCode::NO_CONTENT
}

async fn capture(Shared(instance): Cx) -> Response {
    let (bytes, truncated) = instance.capture.read();
    ([(TRUNCATED_HEADER, truncated.to_string())], bytes).into_response()
}
