//! `certificates`: certificates for development.

use crate::args::Certificates;
use crate::error::{Error, Exit};
use knapweed_transport::certificates::{Authority, IssuedCertificate};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Files of the authority.
const AUTHORITY: [&str; 2] = ["authority.pem", "authority.key"];

/// Runs a command on certificates.
///
/// The authority in the directory is used again when there is one, so that the
/// certificates of several hosts fit together.
pub(crate) fn run(command: Certificates) -> Result<Exit, Error> {
    let Certificates::Create {
        directory,
        host,
        addresses,
    } = command;
    fs::create_dir_all(&directory)?;
    let authority = authority(&directory)?;
    let pair = authority
        .issue(host.as_str(), &addresses)
        .map_err(io::Error::other)?;
    let files = [format!("{host}.pem"), format!("{host}.key")];
    write(&directory, &pair, &files.each_ref().map(String::as_str))?;
    println!(
        "wrote {} and {} in {}",
        files[0],
        files[1],
        directory.display()
    );
    Ok(Exit::Done)
}

fn authority(directory: &Path) -> Result<Authority, Error> {
    let [certificate, key] = AUTHORITY.map(|name| directory.join(name));
    if key.exists() {
        let own = IssuedCertificate {
            certificate: fs::read_to_string(certificate)?,
            key: fs::read_to_string(key)?,
        };
        return Ok(Authority::load(own).map_err(io::Error::other)?);
    }
    let authority = Authority::new().map_err(io::Error::other)?;
    write(directory, authority.pair(), &AUTHORITY)?;
    Ok(authority)
}

fn write(
    directory: &Path,
    pair: &IssuedCertificate,
    [certificate, key]: &[&str; 2],
) -> Result<(), Error> {
    fs::write(directory.join(certificate), &pair.certificate)?;
    // Only the owner may read a private key, from its first byte on.
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(directory.join(key))?;
    file.write_all(pair.key.as_bytes())?;
    Ok(())
}
