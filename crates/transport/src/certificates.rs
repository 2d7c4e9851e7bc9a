//! Development certificates: one authority and a certificate per host.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use std::net::IpAddr;

/// The reason why a certificate could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The library refused the parameters.
    #[error("could not make a certificate for {subject}: {source}")]
    Generate {
        /// Common name of the certificate.
        subject: String,
        /// Cause.
        source: rcgen::Error,
    },
}

/// A certificate and its private key, as PEM text.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Common name of the authority.
const SUBJECT: &str = "knapweedreach development authority";

/// A certificate authority for development and tests.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    own: Pair,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// The library refused the parameters.
    pub fn new() -> Result<Self, Error> {
        let make = || -> Result<_, rcgen::Error> {
            let key = KeyPair::generate()?;
            let certificate = parameters().self_signed(&key)?;
            let own = Pair {
                certificate: certificate.pem(),
                key: key.serialize_pem(),
            };
            Ok(Self {
                issuer: Issuer::new(parameters(), key),
                own,
            })
        };
        make().map_err(|source| generate(SUBJECT, source))
    }

    /// An authority that was made before.
    ///
    /// # Errors
    ///
    /// The key is not a private key in PEM form.
    pub fn load(own: Pair) -> Result<Self, Error> {
        let key = KeyPair::from_pem(&own.key).map_err(|source| generate(SUBJECT, source))?;
        Ok(Self {
            issuer: Issuer::new(parameters(), key),
            own,
        })
    }

    /// The certificate of the authority, as PEM text.
    pub fn certificate(&self) -> String {
        self.own.certificate.clone()
    }

    /// The certificate and the private key of the authority.
    pub fn pair(&self) -> &Pair {
        &self.own
    }

    /// Makes a certificate for the node of `host` at `addresses`.
    ///
    /// # Errors
    ///
    /// The library refused the parameters.
    pub fn issue(&self, host: &str, addresses: &[IpAddr]) -> Result<Pair, Error> {
        let make = || -> Result<_, rcgen::Error> {
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
            Ok(Pair {
                certificate: certificate.pem(),
                key: key.serialize_pem(),
            })
        };
        make().map_err(|source| generate(host, source))
    }
}

fn parameters() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, SUBJECT);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

fn generate(subject: &str, source: rcgen::Error) -> Error {
    Error::Generate {
        subject: subject.into(),
        source,
    }
}
