//! Shared key of the project's hosts.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use derive_more::Display;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Shortest accepted key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Length of a signature in bytes.
pub const SIGNATURE_BYTES: usize = 32;

/// Key that hosts share to sign messages with HMAC-SHA256.
#[derive(Clone)]
pub struct HostKey(Vec<u8>);

/// Host key that cannot be used.
#[derive(Debug, Display)]
pub enum HostKeyError {
    #[display("host key has {_0} bytes, at least {MIN_KEY_BYTES} are needed")]
    TooShort(usize),
    #[display("host key file {}: {_1}", _0.display())]
    Unreadable(PathBuf, io::Error),
}

impl std::error::Error for HostKeyError {}

impl HostKey {
    /// Key from text; surrounding white space is not part of it.
    ///
    /// # Errors
    ///
    /// Fails if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(text: &str) -> Result<Self, HostKeyError> {
        let key = text.trim().as_bytes();
        if key.len() < MIN_KEY_BYTES {
            return Err(HostKeyError::TooShort(key.len()));
        }
        Ok(Self(key.to_vec()))
    }

    /// Key from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the key is too short.
    pub fn from_file(path: &Path) -> Result<Self, HostKeyError> {
        let text = fs::read_to_string(path)
            .map_err(|error| HostKeyError::Unreadable(path.to_owned(), error))?;
        Self::new(&text)
    }

    /// HMAC-SHA256 of `message`.
    pub fn sign(&self, message: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.mac(message).finalize().into_bytes().into()
    }

    /// Whether `signature` is of `message`; takes the same time for all signatures.
    pub fn verify(&self, message: &[u8], signature: &[u8]) -> bool {
        self.mac(message).verify_slice(signature).is_ok()
    }

    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        #[allow(clippy::expect_used, reason = "HMAC accepts keys of every length")]
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts every key");
        mac.update(message);
        mac
    }
}

impl fmt::Debug for HostKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostKey(redacted)")
    }
}
