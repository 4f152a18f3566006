//! TLS configuration of the caller listener.

use std::sync::Arc;

use eyre::{Context, Result};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio_rustls::{TlsAcceptor, rustls::ServerConfig};

use crate::settings::entry::TlsFiles;

/// Loads the certificate and key of `files` into a TLS acceptor.
pub fn acceptor(files: &TlsFiles) -> Result<TlsAcceptor> {
    let path = files.certificate.display();
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .wrap_err_with(|| format!("--tls-certificate: cannot read {path}"))?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .wrap_err_with(|| format!("--tls-key: cannot read {}", files.key.display()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .wrap_err("--tls-certificate and --tls-key do not fit together")?;
    config.alpn_protocols = vec![b"postgresql".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
