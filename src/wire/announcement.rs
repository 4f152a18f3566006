//! Announcement that a target instance sends to an entry host.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Mark, Service},
    state::model::{InstanceSpec, Role},
};

/// Body of `POST /announce`.
///
/// The `x-pomelopin-signature` header contains the hexadecimal HMAC-SHA256 of the
/// body, computed with the announcement key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub spec: InstanceSpec,
    /// Increases with each announcement within one incarnation of the instance.
    pub sequence: u64,
    pub role: Role,
    pub position: Mark,
    /// Staleness of the instance's data in milliseconds; 0 on the primary.
    pub age_ms: u64,
    /// Time since the last response from the primary in milliseconds; 0 on the primary.
    pub primary_silent_ms: u64,
}

impl Announcement {
    pub fn service(&self) -> &Service {
        &self.spec.service
    }
}
