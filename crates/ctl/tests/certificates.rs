//! Certificates of several hosts are issued by one authority.

use knapweed_transport::tls::{Files, Identity};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

fn create(directory: &Path, host: &str) {
    let status = Command::new(env!("CARGO_BIN_EXE_knapweedctl"))
        .args(["certificates", "create"])
        .arg(directory)
        .args(["--host", host, "--address", "127.0.0.1"])
        .status()
        .expect("the program starts");
    assert!(status.success());
}

/// Guards against a second call that replaces the authority: hosts would then
/// reject the certificates of the first call.
#[test]
fn a_second_host_gets_a_certificate_of_the_same_authority() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    create(folder.path(), "a1");
    let authority = std::fs::read(folder.path().join("authority.pem")).expect("a file");
    create(folder.path(), "a2");
    let again = std::fs::read(folder.path().join("authority.pem")).expect("a file");
    assert_eq!(authority, again);
    for host in ["a1", "a2"] {
        let files = Files {
            certificate: folder.path().join(format!("{host}.pem")),
            key: folder.path().join(format!("{host}.key")),
            authority: folder.path().join("authority.pem"),
        };
        let identity = Identity::load(&files).expect("an identity");
        identity.server().expect("a usable certificate");
    }
}

/// Guards against private keys that other users of the machine can read.
#[test]
fn private_keys_are_readable_by_their_owner_only() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    create(folder.path(), "a1");
    for name in ["a1.key", "authority.key"] {
        let meta = std::fs::metadata(folder.path().join(name)).expect("a file");
        assert_eq!(meta.permissions().mode() & 0o777, 0o600, "{name}");
    }
}
