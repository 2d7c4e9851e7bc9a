//! `certificates`: certificates for development.

use crate::args::Certificates;
use crate::error::{Error, Exit};

/// Runs a command on certificates.
///
/// The crate `knapweed-transport` does not create certificates yet.
pub(crate) fn run(command: Certificates) -> Result<Exit, Error> {
    let Certificates::Create {
        directory: _,
        host: _,
        addresses: _,
    } = command;
    Err(Error::NotBuilt("certificates create"))
}
