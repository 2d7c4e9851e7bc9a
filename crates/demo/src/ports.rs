//! Free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// An address on loopback whose TCP and UDP ports are free now.
///
/// # Errors
///
/// No port could be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
