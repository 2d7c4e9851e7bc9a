//! UDP socket that sends no faster than the link of the host.

use knapweed_link::pacer::Pacer;
use knapweed_timer::TimerService;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// Size of a packet, in bytes, for which a waiting sender needs room.
const FULL_PACKET: u64 = 1_500;

/// A socket whose sends are paced. A sender that would exceed the rate waits as if the
/// buffer of the socket were full.
pub(crate) struct PacedSocket {
    inner: Arc<dyn AsyncUdpSocket>,
    pacer: Pacer,
    timer: TimerService,
}

impl PacedSocket {
    pub(crate) fn new(
        inner: Arc<dyn AsyncUdpSocket>,
        pacer: Pacer,
        timer: TimerService,
    ) -> Arc<Self> {
        Arc::new(Self {
            inner,
            pacer,
            timer,
        })
    }
}

impl fmt::Debug for PacedSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PacedSocket")
            .field("pacer", &self.pacer)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for PacedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(PacedPoller {
            inner: Arc::clone(&self.inner).create_io_poller(),
            socket: self,
            wait: None,
        })
    }

    fn try_send(&self, transmit: &Transmit) -> io::Result<()> {
        let len = transmit.contents.len() as u64;
        match self.pacer.try_send(len, self.timer.now()) {
            Ok(()) => self.inner.try_send(transmit),
            Err(_) => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        self.inner.poll_recv(cx, bufs, meta)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}

/// Waits for one sender until the link is free.
struct PacedPoller {
    socket: Arc<PacedSocket>,
    inner: Pin<Box<dyn UdpPoller>>,
    wait: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl fmt::Debug for PacedPoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PacedPoller").finish_non_exhaustive()
    }
}

impl UdpPoller for PacedPoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.wait.is_none() {
            let socket = &self.socket;
            if let Err(wait) = socket.pacer.check(FULL_PACKET, socket.timer.now()) {
                let timer = socket.timer.clone();
                self.wait = Some(Box::pin(async move { timer.sleep(wait).await }));
            }
        }
        if let Some(wait) = &mut self.wait {
            ready!(wait.as_mut().poll(cx));
            self.wait = None;
        }
        self.inner.as_mut().poll_writable(cx)
    }
}
