//! TLS configuration of both ends: each proves its certificate to the other.

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};
use std::net::SocketAddr;
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

/// Whom a node trusts.
#[derive(Debug)]
enum Trust {
    /// Nodes whose certificate an authority has signed.
    Authority(Arc<RootCertStore>),
    /// Any node that is reached at its address.
    Address,
}

/// Certificate and key of a node, and whom it trusts.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    trust: Trust,
    /// What the keys of stateless resets follow from; the same in each process
    /// at one address.
    reset_secret: Vec<u8>,
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
        let reset_secret = key.secret_der().to_vec();
        Ok(Self {
            chain,
            key,
            trust: Trust::Authority(Arc::new(roots)),
            reset_secret,
        })
    }

    /// An identity for one process of a mesh without an authority: traffic is
    /// encrypted, and other nodes are trusted by their address alone.
    ///
    /// Nothing secret outlives the process, so the keys of stateless resets
    /// follow from the address.
    ///
    /// # Errors
    ///
    /// No key could be made.
    pub fn ephemeral(address: SocketAddr) -> Result<Self, Error> {
        let names = vec![address.ip().to_string()];
        let made = rcgen::generate_simple_self_signed(names).map_err(unusable)?;
        let key = PrivateKeyDer::try_from(made.signing_key.serialize_der()).map_err(unusable)?;
        Ok(Self {
            chain: vec![made.cert.der().clone()],
            key,
            trust: Trust::Address,
            reset_secret: address.to_string().into_bytes(),
        })
    }

    /// A key for `purpose` that is the same in each process with this identity.
    pub(crate) fn derive_key(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.reset_secret)
    }

    /// The configuration for connections that others open.
    ///
    /// # Errors
    ///
    /// The key does not belong to the certificate, or the authority is unusable.
    pub fn server(&self) -> Result<quinn::ServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let cfg = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?;
        let cfg = match &self.trust {
            Trust::Authority(roots) => {
                let roots = Arc::clone(roots);
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
                cfg.with_client_cert_verifier(verifier.build().map_err(unusable)?)
            }
            Trust::Address => cfg.with_no_client_auth(),
        };
        let mut cfg = cfg
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        cfg.send_tls13_tickets = 0;
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
        let cfg = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?;
        let mut cfg = match &self.trust {
            Trust::Authority(roots) => cfg
                .with_root_certificates(Arc::clone(roots))
                .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
                .map_err(unusable)?,
            Trust::Address => cfg
                .dangerous()
                .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
                .with_no_client_auth(),
        };
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        cfg.resumption = rustls::client::Resumption::disabled();
        let crypto = QuicClientConfig::try_from(cfg).map_err(unusable)?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}

/// Accepts the certificate of any node, and checks that the node has its key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
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
