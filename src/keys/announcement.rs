//! Signature of target announcements.

use crate::keys::host::HostKey;

/// Header that holds the hexadecimal signature of an announcement's body.
pub const SIGNATURE_HEADER: &str = "x-pomelopin-signature";

/// Value of the signature header for `body`.
pub fn signature(key: &HostKey, body: &[u8]) -> String {
    hex::encode(key.sign(body))
}

/// Whether `header` is the signature of `body`.
pub fn is_signed(key: &HostKey, body: &[u8], header: &str) -> bool {
    hex::decode(header).is_ok_and(|signature| key.verify(body, &signature))
}
