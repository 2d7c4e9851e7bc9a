//! The command `certificates`, which issues certificates for development.

use crate::args::Certificates;
use crate::error::{Error, Exit};
use knapweed_transport::certificates::{Authority, IssuedCertificate};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Names of the authority's certificate and key files.
const AUTHORITY: [&str; 2] = ["authority.pem", "authority.key"];

/// Creates the certificate and key of a host.
///
/// An authority that exists in the directory is reused, so that all hosts get
/// certificates of the same authority.
pub(crate) fn run(command: Certificates) -> Result<Exit, Error> {
    let Certificates::Create {
        directory,
        host,
        addresses,
    } = command;
    fs::create_dir_all(&directory)?;
    let authority = authority(&directory)?;
    let issued = authority
        .issue(host.as_str(), &addresses)
        .map_err(io::Error::other)?;
    let files = [format!("{host}.pem"), format!("{host}.key")];
    write(&directory, &issued, &files.each_ref().map(String::as_str))?;
    println!(
        "wrote {} and {} in {}",
        files[0],
        files[1],
        directory.display()
    );
    Ok(Exit::Done)
}

/// Loads the authority from the directory, or creates it there.
fn authority(directory: &Path) -> Result<Authority, Error> {
    let [certificate, key] = AUTHORITY.map(|name| directory.join(name));
    if key.exists() {
        let existing = IssuedCertificate {
            certificate: fs::read_to_string(certificate)?,
            key: fs::read_to_string(key)?,
        };
        return Ok(Authority::load(existing).map_err(io::Error::other)?);
    }
    let authority = Authority::new().map_err(io::Error::other)?;
    write(directory, authority.pair(), &AUTHORITY)?;
    Ok(authority)
}

fn write(
    directory: &Path,
    issued: &IssuedCertificate,
    [certificate, key]: &[&str; 2],
) -> Result<(), Error> {
    fs::write(directory.join(certificate), &issued.certificate)?;
    // The mode is set at creation, so that other users can never read the key.
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(directory.join(key))?;
    file.write_all(issued.key.as_bytes())?;
    Ok(())
}
