//! TCP proxy on loopback that injects faults into the connections through it.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the read buffer of each direction, in bytes.
const BUFFER_LEN: usize = 16 * 1024;
/// Timeout for the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Data is forwarded unchanged.
    None,
    /// Each chunk of data is forwarded after this delay.
    Delay(Duration),
    /// Open connections are reset, and so is each new one.
    Reset,
    /// Data from the target is held back until the fault ends.
    HoldResponses,
    /// Data in both directions is held back until the fault ends; no connection is closed.
    Silence,
}

/// A proxy in front of one address; dropping it closes the listener and the connections.
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

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault of all open and future connections.
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
    // Ends only when the listener fails; dropping the proxy aborts this task.
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
    let to_server = copy(client_rx, server_tx, faults.clone(), false);
    let to_client = copy(server_rx, client_tx, faults.clone(), true);
    tokio::select! {
        () = to_server => {}
        () = to_client => {}
        // Closing sockets with unread data resets the connections.
        _ = faults.wait_for(|fault| *fault == Fault::Reset) => {}
    }
}

/// Forwards the data of one direction until either socket closes.
async fn copy(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    is_response: bool,
) {
    let mut buf = vec![0; BUFFER_LEN];
    loop {
        let Ok(len) = rx.read(&mut buf).await else {
            return;
        };
        let passes = |fault: &Fault| match fault {
            Fault::Silence => false,
            Fault::HoldResponses => !is_response,
            _ => true,
        };
        // Held-back data is forwarded when the fault ends, as TCP retransmits after packet loss.
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
