//! Allocation of free ports on loopback.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Mutex;

/// Ports that this process has allocated.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns an address on loopback whose TCP and UDP ports are currently free.
///
/// Each port is returned once, and each process uses an IP address of its own. Concurrent meshes
/// and outgoing connections therefore do not occupy a port between its allocation and its use.
///
/// # Errors
///
/// No port could be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let tcp = TcpListener::bind((own_ip(), 0))?;
        let address = tcp.local_addr()?;
        let is_new = ALLOCATED_PORTS
            .lock()
            .expect("no holder panics")
            .insert(address.port());
        if is_new && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// Loopback address of this process, derived from its process id.
fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 128, middle, low)
}
