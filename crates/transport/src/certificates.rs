//! Development certificates: a certificate authority that issues one per host.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use std::net::IpAddr;

/// Error of generating or loading a certificate.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The key is invalid, or the certificate cannot be generated from its parameters.
    #[error("cannot generate a certificate for {subject}: {source}")]
    Generate {
        /// Common name of the certificate.
        subject: String,
        /// Error of the certificate library.
        source: rcgen::Error,
    },
}

/// A certificate and its private key, as PEM text.
#[derive(Clone, Debug)]
pub struct IssuedCertificate {
    /// PEM text of the certificate.
    pub certificate: String,
    /// PEM text of the private key.
    pub key: String,
}

/// Common name of the certificate authority.
const COMMON_NAME: &str = "knapweedreach development authority";

/// A certificate authority for development and tests.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    own: IssuedCertificate,
}

impl Authority {
    /// Generates a key and a self-signed certificate for a new authority.
    ///
    /// # Errors
    ///
    /// The key or the certificate cannot be generated.
    pub fn new() -> Result<Self, Error> {
        let build = || -> Result<_, rcgen::Error> {
            let key = KeyPair::generate()?;
            let certificate = authority_params().self_signed(&key)?;
            let own = IssuedCertificate {
                certificate: certificate.pem(),
                key: key.serialize_pem(),
            };
            Ok(Self {
                issuer: Issuer::new(authority_params(), key),
                own,
            })
        };
        build().map_err(|source| generate_error(COMMON_NAME, source))
    }

    /// Restores an authority from its certificate and private key.
    ///
    /// # Errors
    ///
    /// The key is not a private key in PEM format.
    pub fn load(own: IssuedCertificate) -> Result<Self, Error> {
        let key =
            KeyPair::from_pem(&own.key).map_err(|source| generate_error(COMMON_NAME, source))?;
        Ok(Self {
            issuer: Issuer::new(authority_params(), key),
            own,
        })
    }

    /// The certificate of the authority, as PEM text.
    pub fn certificate(&self) -> String {
        self.own.certificate.clone()
    }

    /// The certificate and the private key of the authority.
    pub fn pair(&self) -> &IssuedCertificate {
        &self.own
    }

    /// Issues a certificate for the node of `host` at `addresses`.
    ///
    /// # Errors
    ///
    /// The key or the certificate cannot be generated.
    pub fn issue(&self, host: &str, addresses: &[IpAddr]) -> Result<IssuedCertificate, Error> {
        let build = || -> Result<_, rcgen::Error> {
            let mut params = CertificateParams::new(vec![host.to_owned()])?;
            params.distinguished_name.push(DnType::CommonName, host);
            params
                .subject_alt_names
                .extend(addresses.iter().map(|a| SanType::IpAddress(*a)));
            params.extended_key_usages = vec![
                ExtendedKeyUsagePurpose::ServerAuth,
                ExtendedKeyUsagePurpose::ClientAuth,
            ];
            let key = KeyPair::generate()?;
            let certificate = params.signed_by(&key, &self.issuer)?;
            Ok(IssuedCertificate {
                certificate: certificate.pem(),
                key: key.serialize_pem(),
            })
        };
        build().map_err(|source| generate_error(host, source))
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params
        .distinguished_name
        .push(DnType::CommonName, COMMON_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

fn generate_error(subject: &str, source: rcgen::Error) -> Error {
    Error::Generate {
        subject: subject.into(),
        source,
    }
}
