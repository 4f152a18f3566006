//! Announcement that a target instance posts to an entry host.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Mark, Service},
    state::model::{InstanceSpec, Role},
};

/// Body of `POST /announce`.
///
/// The `x-pomelopin-signature` header holds the hexadecimal HMAC-SHA256 of the
/// body under the announcement key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub spec: InstanceSpec,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    pub role: Role,
    pub position: Mark,
    /// Age of the instance's data in milliseconds; 0 on the primary.
    pub age_ms: u64,
    /// Time since the last answer of the primary in milliseconds; 0 on the primary.
    pub primary_silent_ms: u64,
}

impl Announcement {
    /// Service of the instance.
    pub fn service(&self) -> &Service {
        &self.spec.service
    }
}
