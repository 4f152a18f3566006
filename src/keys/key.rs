//! Format, generation and verification of caller keys.

use std::{fmt, str::FromStr};

use derive_more::Display;
use rand::{TryRngCore, rngs::OsRng};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::KeyId;

/// Prefix of every key.
pub const KEY_PREFIX: &str = "pk_";

/// Length of a secret before its hexadecimal encoding.
pub const SECRET_BYTES: usize = 32;

/// Length of a verifier in hexadecimal digits.
pub const VERIFIER_DIGITS: usize = 64;

/// Maximum length of a key id.
pub const MAX_KEY_ID_BYTES: usize = 32;

/// Caller's key in the form `pk_<id>_<secret>` with a hexadecimal secret.
#[derive(Clone)]
pub struct Key {
    id: KeyId,
    secret: String,
}

/// Why a key cannot be parsed or generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyError {
    #[display("a key has the form pk_<id>_<secret>")]
    Malformed,
    #[display("a key id has 1 to {MAX_KEY_ID_BYTES} lower-case letters, digits and hyphens")]
    InvalidId,
    #[display("a secret has {} hexadecimal digits", SECRET_BYTES * 2)]
    InvalidSecret,
    #[display("the operating system gave no random bytes")]
    NoRandomBytes,
}

impl std::error::Error for KeyError {}

impl Key {
    /// Generates a key with a random secret.
    ///
    /// # Errors
    ///
    /// Fails if `id` is not a valid key id or random bytes are not available.
    pub fn generate(id: KeyId) -> Result<Self, KeyError> {
        if !is_key_id(&id) {
            return Err(KeyError::InvalidId);
        }
        let mut secret = [0; SECRET_BYTES];
        OsRng.try_fill_bytes(&mut secret).map_err(|_| KeyError::NoRandomBytes)?;
        Ok(Self { id, secret: hex::encode(secret) })
    }

    /// Public part of the key.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Whole key as callers present it, including the secret.
    pub fn reveal(&self) -> String {
        format!("{KEY_PREFIX}{}_{}", self.id, self.secret)
    }

    /// Hexadecimal SHA-256 of the secret, salted by the id.
    pub fn verifier(&self) -> String {
        let mut hash = Sha256::new();
        hash.update(self.id.as_bytes());
        hash.update([0]);
        hash.update(self.secret.as_bytes());
        hex::encode(hash.finalize())
    }

    /// Whether `verifier` is that of this key, compared in constant time.
    pub fn matches(&self, verifier: &str) -> bool {
        self.verifier().as_bytes().ct_eq(verifier.as_bytes()).into()
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let rest = text.strip_prefix(KEY_PREFIX).ok_or(KeyError::Malformed)?;
        let (id, secret) = rest.split_once('_').ok_or(KeyError::Malformed)?;
        if !is_key_id(id) {
            return Err(KeyError::InvalidId);
        }
        if secret.len() != SECRET_BYTES * 2 || !is_lower_hex(secret) {
            return Err(KeyError::InvalidSecret);
        }
        Ok(Self { id: id.into(), secret: secret.to_owned() })
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, redacted)", self.id)
    }
}

/// Whether `text` is a valid key id.
pub fn is_key_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_KEY_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Whether `text` has the form of a verifier.
pub fn is_verifier(text: &str) -> bool {
    text.len() == VERIFIER_DIGITS && is_lower_hex(text)
}

fn is_lower_hex(text: &str) -> bool {
    text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
