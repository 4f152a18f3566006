//! Bodies of HTTP requests and responses, counted in a byte budget while they are held.
//!
//! Load: many clients that each send a large body, or a part of it, or that do not read a
//! large response.

use std::sync::Arc;

use axum::{
    body::{Body, Bytes},
    extract::{FromRequest, Request},
    http::StatusCode,
};
use derive_more::Deref;
use futures::StreamExt;
use tokio::time::timeout;

use super::{
    byte_budget::{ByteBudget, ByteHolder, Reservation},
    connection_slots::ConnectionSlot,
};
use crate::clock::Millis;

/// Budget and timeout of the bodies of one listener, as an extension of its requests.
#[derive(Debug, Clone)]
pub struct BodyLimits {
    pub budget: ByteBudget,
    pub timeout: Millis,
}

/// Complete body of a request of at most `MAX_BYTES`.
#[derive(Debug, Deref)]
pub struct HeldBody<const MAX_BYTES: usize> {
    #[deref]
    bytes: Vec<u8>,
    _holder: ByteHolder,
}

type Refusal = (StatusCode, &'static str);

const TOO_LARGE: Refusal = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
const NO_MEMORY: Refusal =
    (StatusCode::SERVICE_UNAVAILABLE, "the host is short of memory; nothing was done");
const TOO_SLOW: Refusal = (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time");
const INCOMPLETE: Refusal = (StatusCode::BAD_REQUEST, "the body is incomplete");

impl<const MAX_BYTES: usize, S: Sync> FromRequest<S> for HeldBody<MAX_BYTES> {
    type Rejection = Refusal;

    async fn from_request(request: Request, _: &S) -> Result<Self, Refusal> {
        let limits = request.extensions().get::<BodyLimits>().cloned();
        let limits = limits.ok_or((StatusCode::INTERNAL_SERVER_ERROR, "no limits are set"))?;
        let slot = request.extensions().get::<Arc<ConnectionSlot>>().cloned();
        let set_waits_for_client = |waits| {
            if let Some(slot) = &slot {
                slot.set_waits_for_client(waits);
            }
        };
        set_waits_for_client(true);
        let holder = limits.budget.holder();
        let read = read(request.into_body(), &holder, MAX_BYTES);
        let bytes = tokio::select! {
            biased;
            read = timeout(limits.timeout.duration(), read) => read.unwrap_or(Err(TOO_SLOW)),
            () = holder.closed() => Err(NO_MEMORY),
        }?;
        set_waits_for_client(false);
        holder.set_closable(false).map_err(|_| NO_MEMORY)?;
        Ok(Self { bytes, _holder: holder })
    }
}

async fn read(body: Body, holder: &ByteHolder, max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    let mut bytes = Vec::new();
    let mut parts = body.into_data_stream();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|_| INCOMPLETE)?;
        let len = bytes.len() + part.len();
        if len > max_bytes {
            return Err(TOO_LARGE);
        }
        if len > bytes.capacity() {
            let capacity = len.next_power_of_two().min(max_bytes);
            let added = capacity - bytes.capacity();
            holder.reserve(added as u64).await.map_err(|_| NO_MEMORY)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

/// Bytes of a response that are counted until they have been sent.
struct HeldBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Counts the body of a response in `budget` until it has been sent. Returns `None` if it does
/// not fit.
pub async fn held_response(budget: &ByteBudget, bytes: Vec<u8>) -> Option<Bytes> {
    let holder = budget.holder();
    // The response is sent as long as its client reads it.
    holder.set_closable(false).ok()?;
    let reservation = holder.reserve_scoped(bytes.len() as u64).await.ok()?;
    Some(Bytes::from_owner(HeldBytes { bytes, _reservation: reservation }))
}
