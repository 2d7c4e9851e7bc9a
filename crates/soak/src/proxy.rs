//! A TCP proxy on loopback that delays, resets, cuts or silences connections.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are read at once.
const CHUNK: usize = 16 * 1024;
/// Longest time to open the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to the connections of a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Each piece of data comes later by this time.
    Delay(Duration),
    /// Open connections end, and so does each new one.
    Reset,
    /// What the target sends does not arrive.
    CutBack,
    /// Nothing arrives in either direction, and nothing ends.
    Silence,
}

/// A proxy in front of one address; dropping it ends its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(Fault::None);
        let task = tokio::spawn(accept(listener, target, faults));
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault of all connections, open and new.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: watch::Receiver<Fault>) {
    // Ends when the listener fails, with the process.
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward(client, target, faults.clone()));
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut faults: watch::Receiver<Fault>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Ok(Ok(server)) = connecting.await else {
        return;
    };
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let there = pump(client_rx, server_tx, faults.clone(), false);
    let back = pump(server_rx, client_tx, faults.clone(), true);
    tokio::select! {
        () = there => {}
        () = back => {}
        // Dropping both ends with unread data resets them.
        _ = faults.wait_for(|fault| *fault == Fault::Reset) => {}
    }
}

/// Copies one direction until it ends.
async fn pump(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    is_back: bool,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let Ok(len) = rx.read(&mut buf).await else {
            return;
        };
        let passes = |fault: &Fault| match fault {
            Fault::Silence => false,
            Fault::CutBack => !is_back,
            _ => true,
        };
        // Data that a fault holds back arrives when it ends, like retransmissions.
        let Ok(fault) = faults.wait_for(passes).await.map(|fault| *fault) else {
            return;
        };
        if let Fault::Delay(time) = fault {
            tokio::time::sleep(time).await;
        }
        if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
