//! The program announces its state, drains on SIGTERM and crashes on request.

mod common;

use common::{get, until};
use knapweed_fake_backend::announce::Announcement;
use knapweed_fake_backend::backend::Lifecycle;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Announcements = Arc<Mutex<Vec<Announcement>>>;

/// Starts a server that accepts announcements and records them, in place of a node.
async fn start_node() -> (SocketAddr, Announcements) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let received = Announcements::default();
    let recorded = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(record_announcements(socket, Arc::clone(&recorded)));
        }
    });
    (address, received)
}

async fn record_announcements(mut socket: TcpStream, recorded: Announcements) {
    let mut request = Vec::new();
    while socket.read_buf(&mut request).await.is_ok_and(|n| n > 0) {
        let Some(header_end) = request.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        if let Ok(doc) = serde_json::from_slice(&request[header_end + 4..]) {
            recorded.lock().expect("not poisoned").push(doc);
            request.clear();
            let ok = b"HTTP/1.1 204 No Content\r\n\r\n";
            socket.write_all(ok).await.expect("sent");
        }
    }
}

/// A running program, which is killed at the end of its test.
struct Program(Child);

impl Program {
    fn start(file: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_knapweed-fake-backend"))
            .arg("--settings")
            .arg(file)
            .stderr(Stdio::null())
            .spawn();
        Self(child.expect("the program runs"))
    }

    /// Waits until the program exits and returns its exit code.
    async fn exit(mut self) -> Option<i32> {
        let wait = tokio::task::spawn_blocking(move || self.0.wait());
        wait.await.expect("waited").expect("exited").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
    }
}

fn settings(folder: &Path, node: SocketAddr) -> std::path::PathBuf {
    let file = folder.join("backend.ini");
    let text = format!(
        "[backend]\nlisten = 127.0.0.1:0\nhost = a-1\nzone = labasa-a\nservice = calendar\n\
         version = v1\ncold_start_ms = 200\nannounce = {node}\n[log]\nlevel = error\n"
    );
    std::fs::write(&file, text).expect("written");
    file
}

fn states(received: &Announcements) -> Vec<Lifecycle> {
    let mut states: Vec<_> = received
        .lock()
        .expect("not poisoned")
        .iter()
        .map(|a| a.state)
        .collect();
    states.dedup();
    states
}

/// Guards against a graceful shutdown that interrupts a running request or one that arrives
/// before the node has stopped sending (hazard H9).
#[tokio::test]
async fn a_stop_is_announced_and_interrupts_no_request() {
    let folder = tempfile::tempdir().expect("a folder");
    let (node, received) = start_node().await;
    let program = Program::start(&settings(folder.path(), node));
    until(|| states(&received).contains(&Lifecycle::Ready)).await;
    let address = received.lock().expect("not poisoned")[0].address;
    let slow = |r: http::request::Builder| r.header("x-work-ms", "1500");
    let running = tokio::spawn(async move { common::send(address, "/x", slow, "").await.status });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let signal = Command::new("kill")
        .arg(program.0.id().to_string())
        .status();
    assert!(signal.expect("kill runs").success());
    until(|| states(&received).contains(&Lifecycle::Draining)).await;
    assert_eq!(get(address, "/late").await.status, 200);
    assert_eq!(running.await.expect("a response"), 200);
    assert_eq!(program.exit().await, Some(0));
    use Lifecycle::{Draining, Gone, Ready, Warming};
    assert_eq!(states(&received), [Warming, Ready, Draining, Gone]);
}

#[tokio::test]
async fn a_crash_request_ends_the_process_with_70() {
    let folder = tempfile::tempdir().expect("a folder");
    let (node, received) = start_node().await;
    let program = Program::start(&settings(folder.path(), node));
    until(|| !states(&received).is_empty()).await;
    let address = received.lock().expect("not poisoned")[0].address;
    let mut socket = TcpStream::connect(address).await.expect("connected");
    let request = b"GET /crash HTTP/1.1\r\nhost: a\r\n\r\n";
    socket.write_all(request).await.expect("sent");
    assert_eq!(program.exit().await, Some(70));
}

#[tokio::test]
async fn bad_settings_end_with_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.ini");
    std::fs::write(&file, "[backend]\nslots = 0\n").expect("written");
    assert_eq!(Program::start(&file).exit().await, Some(2));
}
