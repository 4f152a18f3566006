//! Keys of callers: format, generation and verifiers.

use std::{fmt, str::FromStr};

use derive_more::Display;
use rand::{TryRngCore, rngs::OsRng};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::KeyId;

/// Start of every key.
pub const KEY_PREFIX: &str = "pk_";

/// Random bytes of a secret.
pub const SECRET_BYTES: usize = 32;

/// Hexadecimal digits of a verifier.
pub const VERIFIER_DIGITS: usize = 64;

/// Longest key id in bytes.
pub const MAX_KEY_ID_BYTES: usize = 32;

/// Key of a caller, `pk_<id>_<secret>`; the secret is hexadecimal.
#[derive(Clone)]
pub struct Key {
    id: KeyId,
    secret: String,
}

/// Text that is not a key, or an id that a key cannot have.
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
    /// New key with a random secret.
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

    /// Id of the key; not secret.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Key as callers give it. Holds the secret.
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

    /// Whether the key belongs to `verifier`; takes the same time for all secrets.
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

/// Whether `text` may be the id of a key.
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
