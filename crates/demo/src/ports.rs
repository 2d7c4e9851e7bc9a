//! Free ports on loopback.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Mutex;

/// Ports that this process has given out.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address on loopback whose TCP and UDP ports are free now.
///
/// No address is given twice, and each process has an IP address of its own, so
/// that meshes that run at the same time do not take each other's ports, and
/// neither does an outgoing connection.
///
/// # Errors
///
/// No port could be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let tcp = TcpListener::bind((own_ip(), 0))?;
        let address = tcp.local_addr()?;
        let is_new = GIVEN
            .lock()
            .expect("no holder panics")
            .insert(address.port());
        if is_new && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// The loopback address of this process, from its id.
fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 128, middle, low)
}
