//! Compression and parsing of the operator's configuration document in the log.

use std::io::{Read, Write as _};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::fleet::{config::FleetConfig, messages::ConfigDocument, runtime::Ports};

/// Maximum size of a decompressed document.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses an operator's document with DEFLATE.
pub fn compress(document: &[u8]) -> Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Returns the operator's document as it was sent.
pub fn decompress(document: &ConfigDocument) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(document.deflated.as_ref()).take(MAX_DOCUMENT_BYTES);
    decoder.read_to_end(&mut bytes).wrap_err("cannot decompress the configuration")?;
    Ok(bytes)
}

/// Parses the document in the log. It was validated before it was logged, so a failure means
/// that another version of the program wrote the log; the configuration is then empty.
pub fn decode_config<P: Ports>(ports: &P, document: &ConfigDocument) -> FleetConfig {
    if document.version == 0 {
        return FleetConfig::default();
    }
    match decompress(document).and_then(|bytes| ports.decode_config(&bytes)) {
        Ok(config) => config,
        Err(error) => {
            spdlog::error!("cannot decode the configuration in force: {error:#}");
            FleetConfig::default()
        }
    }
}
