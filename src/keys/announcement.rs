//! Signatures of the announcements that targets send to entry hosts.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// HTTP header with the hexadecimal signature of an announcement's body.
pub const SIGNATURE_HEADER: &str = "x-pomelopin-signature";

/// Returns the hexadecimal HMAC-SHA256 of `body` for the signature header.
pub fn sign(key: &[u8], body: &[u8]) -> String {
    mac(key, body).map(|mac| hex::encode(mac.finalize().into_bytes())).unwrap_or_default()
}

/// Whether `header` is the signature of `body`; always false for an empty key.
pub fn verify_signature(key: &[u8], body: &[u8], header: &[u8]) -> bool {
    let Ok(signature) = hex::decode(header) else { return false };
    !key.is_empty() && mac(key, body).is_some_and(|mac| mac.verify_slice(&signature).is_ok())
}

/// HMAC of `body`; never `None`, because HMAC accepts keys of every length.
fn mac(key: &[u8], body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(body);
    Some(mac)
}
