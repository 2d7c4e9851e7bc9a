//! TLS configuration of both ends: each proves its certificate to the other.

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Protocol name that both ends must offer.
pub const ALPN: &[u8] = b"knapweed/1";

/// The reason why the TLS configuration could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or has no PEM content of the expected kind.
    #[error("could not load {kind} from {}: {source}", path.display())]
    File {
        /// What the file should hold.
        kind: &'static str,
        /// The file.
        path: PathBuf,
        /// Cause.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate, the key and the authority do not fit together.
    #[error("the certificate, its key or the authority cannot be used: {0}")]
    Unusable(String),
}

/// Files that hold the identity of a node.
#[derive(Clone, Debug)]
pub struct Files {
    /// The certificate of the node, PEM.
    pub certificate: PathBuf,
    /// Its private key, PEM.
    pub key: PathBuf,
    /// The certificate of the authority that signs all nodes, PEM.
    pub authority: PathBuf,
}

/// Certificate, key and authority, loaded.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl Identity {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// A file is missing or is not PEM of the expected kind.
    pub fn load(files: &Files) -> Result<Self, Error> {
        let chain = certificates("the node certificate", &files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|source| file_error("the private key", &files.key, source))?;
        let mut roots = RootCertStore::empty();
        for authority in certificates("the authority certificate", &files.authority)? {
            roots.add(authority).map_err(unusable)?;
        }
        Ok(Self {
            chain,
            key,
            roots: Arc::new(roots),
        })
    }

    /// A key for `purpose` that follows from the private key and is the same in
    /// each process with this identity.
    pub(crate) fn derive_key(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, self.key.secret_der())
    }

    /// The configuration for connections that others open.
    ///
    /// # Errors
    ///
    /// The key does not belong to the certificate, or the authority is unusable.
    pub fn server(&self) -> Result<quinn::ServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::clone(&self.roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(unusable)?;
        let mut cfg = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicServerConfig::try_from(cfg).map_err(unusable)?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
    }

    /// The configuration for connections that this node opens.
    ///
    /// # Errors
    ///
    /// The key does not belong to the certificate.
    pub fn client(&self) -> Result<quinn::ClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut cfg = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicClientConfig::try_from(cfg).map_err(unusable)?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}

fn certificates(kind: &'static str, path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    match found {
        Ok(certificates) if certificates.is_empty() => Err(file_error(
            kind,
            path,
            rustls::pki_types::pem::Error::NoItemsFound,
        )),
        Ok(certificates) => Ok(certificates),
        Err(source) => Err(file_error(kind, path, source)),
    }
}

fn file_error(kind: &'static str, path: &Path, source: rustls::pki_types::pem::Error) -> Error {
    Error::File {
        kind,
        path: path.into(),
        source,
    }
}

fn unusable(err: impl std::fmt::Display) -> Error {
    Error::Unusable(err.to_string())
}
