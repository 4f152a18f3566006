//! Key that the hosts of a cluster share to authenticate their messages.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use derive_more::Display;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Minimum length of a key.
pub const MIN_KEY_BYTES: usize = 16;

/// Length of an HMAC-SHA256 signature.
pub const SIGNATURE_BYTES: usize = 32;

/// Shared HMAC-SHA256 key for messages between hosts.
#[derive(Clone)]
pub struct HostKey(Vec<u8>);

/// Why a host key is not usable.
#[derive(Debug, Display)]
pub enum HostKeyError {
    #[display("host key has {_0} bytes, at least {MIN_KEY_BYTES} are needed")]
    TooShort(usize),
    #[display("host key file {}: {_1}", _0.display())]
    Unreadable(PathBuf, io::Error),
}

impl std::error::Error for HostKeyError {}

impl HostKey {
    /// Key from text without its surrounding whitespace.
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

    /// Key from the content of a file.
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

    /// Whether `signature` belongs to `message`, compared in constant time.
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
