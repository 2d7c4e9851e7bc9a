//! TLS configuration for mutual authentication of nodes.

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

/// ALPN protocol name that both ends must offer.
pub const ALPN: &[u8] = b"knapweed/1";

/// Error of loading an identity or creating a TLS configuration from it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or has no PEM content of the expected kind.
    #[error("cannot load {kind} from {}: {source}", path.display())]
    File {
        /// Expected content of the file.
        kind: &'static str,
        /// Path of the file.
        path: PathBuf,
        /// Error of reading or parsing the file.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate, its key or the authority is invalid, or they do not match.
    #[error("the certificate, its key or the authority is invalid: {0}")]
    Invalid(String),
}

/// PEM files that contain the identity of a node.
#[derive(Clone, Debug)]
pub struct Files {
    /// Certificate of the node.
    pub certificate: PathBuf,
    /// Private key of the node.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates of all nodes.
    pub authority: PathBuf,
}

/// How a node authenticates its peers.
#[derive(Debug)]
enum Trust {
    /// By a certificate that one of these authorities has signed.
    Authority(Arc<RootCertStore>),
    /// By the address only; any certificate is accepted.
    Address,
}

/// Certificate and key of a node, and how it authenticates its peers.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    trust: Trust,
    /// Secret from which the keys of stateless resets are derived; the same for each
    /// process at one address.
    reset_secret: Vec<u8>,
}

impl Identity {
    /// Loads an identity from its files.
    ///
    /// # Errors
    ///
    /// A file is missing or has no PEM content of the expected kind, or the authority
    /// is invalid.
    pub fn load(files: &Files) -> Result<Self, Error> {
        let chain = certificates("the node certificate", &files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|source| file_error("the private key", &files.key, source))?;
        let mut roots = RootCertStore::empty();
        for authority in certificates("the authority certificate", &files.authority)? {
            roots.add(authority).map_err(invalid)?;
        }
        let reset_secret = key.secret_der().to_vec();
        Ok(Self {
            chain,
            key,
            trust: Trust::Authority(Arc::new(roots)),
            reset_secret,
        })
    }

    /// Creates an identity for one process of a mesh without a certificate authority:
    /// traffic is encrypted, and peers are authenticated by their address alone.
    ///
    /// No secret outlives the process, so the keys of stateless resets are derived
    /// from the address.
    ///
    /// # Errors
    ///
    /// The key or the certificate cannot be generated.
    pub fn ephemeral(address: SocketAddr) -> Result<Self, Error> {
        let names = vec![address.ip().to_string()];
        let made = rcgen::generate_simple_self_signed(names).map_err(invalid)?;
        let key = PrivateKeyDer::try_from(made.signing_key.serialize_der()).map_err(invalid)?;
        Ok(Self {
            chain: vec![made.cert.der().clone()],
            key,
            trust: Trust::Address,
            reset_secret: address.to_string().into_bytes(),
        })
    }

    /// Derives a key for `purpose`, which is the same in each process with this identity.
    pub(crate) fn derive_key(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.reset_secret)
    }

    /// TLS configuration for incoming connections.
    ///
    /// # Errors
    ///
    /// The key does not match the certificate, or the authority is invalid.
    pub fn server(&self) -> Result<quinn::ServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let cfg = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(invalid)?;
        let cfg = match &self.trust {
            Trust::Authority(roots) => {
                let roots = Arc::clone(roots);
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
                cfg.with_client_cert_verifier(verifier.build().map_err(invalid)?)
            }
            Trust::Address => cfg.with_no_client_auth(),
        };
        let mut cfg = cfg
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(invalid)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        cfg.send_tls13_tickets = 0;
        let crypto = QuicServerConfig::try_from(cfg).map_err(invalid)?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
    }

    /// TLS configuration for outgoing connections.
    ///
    /// # Errors
    ///
    /// The key does not match the certificate.
    pub fn client(&self) -> Result<quinn::ClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let cfg = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(invalid)?;
        let mut cfg = match &self.trust {
            Trust::Authority(roots) => cfg
                .with_root_certificates(Arc::clone(roots))
                .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
                .map_err(invalid)?,
            Trust::Address => cfg
                .dangerous()
                .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
                .with_no_client_auth(),
        };
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        cfg.resumption = rustls::client::Resumption::disabled();
        let crypto = QuicClientConfig::try_from(cfg).map_err(invalid)?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}

/// Accepts any certificate, but verifies that the peer has its private key.
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

fn invalid(err: impl std::fmt::Display) -> Error {
    Error::Invalid(err.to_string())
}
