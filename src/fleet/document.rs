//! Operator's document in the log: compressed, and as the configuration that it holds.

use std::io::{Read, Write as _};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::fleet::{config::FleetConfig, messages::ConfigDocument, runtime::Ports};

/// Largest document after decompression, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses an operator's document.
pub fn compress(document: &[u8]) -> Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Operator's document as it was sent.
pub fn decompress(document: &ConfigDocument) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(document.deflated.as_ref()).take(MAX_DOCUMENT_BYTES);
    decoder.read_to_end(&mut bytes).wrap_err("cannot decompress the configuration")?;
    Ok(bytes)
}

/// Configuration of a document in the log. It was checked before it was logged, so a
/// failure means that the log was written by another version of the program.
pub fn decode_config<P: Ports>(ports: &P, document: &ConfigDocument) -> FleetConfig {
    if document.version == 0 {
        return FleetConfig::default();
    }
    match decompress(document).and_then(|bytes| ports.decode_config(&bytes)) {
        Ok(config) => config,
        Err(error) => {
            spdlog::error!("cannot read the configuration in force: {error:#}");
            FleetConfig::default()
        }
    }
}
