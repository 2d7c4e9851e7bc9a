//! Observation of the configuration versions that nodes have in force.

use crate::client::{Client, Reply};
use crate::mesh::Mesh;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time between two reads of the same node.
const INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on the time of an observation.
const MAX_TIME: Duration = Duration::from_secs(60);

/// A node was seen at a lower version than before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Regression {
    /// The host.
    pub host: &'static str,
    /// The highest version seen before.
    pub from: u64,
    /// The version seen then.
    pub to: u64,
}

/// What was seen at one node.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Each version that was higher than all before, and when.
    rises: Vec<(u64, Instant)>,
    regressions: Vec<Regression>,
}

impl Seen {
    /// Adds a read. Version 0 is that of a node that has started and has no
    /// configuration yet; it refuses all requests.
    fn add(&mut self, host: &'static str, version: u64, now: Instant) {
        let highest = self.rises.last().map_or(0, |(v, _)| *v);
        if version == 0 {
            return;
        }
        if version > highest {
            self.rises.push((version, now));
        } else if version < highest {
            let from = highest;
            let to = version;
            self.regressions.push(Regression { host, from, to });
        }
    }
}

/// Reads the versions of all nodes of a mesh until dropped.
pub struct VersionWatch {
    seen: BTreeMap<&'static str, Arc<Mutex<Seen>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl VersionWatch {
    /// Starts to read.
    pub fn start(mesh: &Mesh) -> Self {
        let mut watch = Self {
            seen: BTreeMap::new(),
            tasks: Vec::new(),
        };
        for host in mesh.hosts() {
            let seen = Arc::<Mutex<Seen>>::default();
            watch.seen.insert(host, Arc::clone(&seen));
            let address = mesh.node(host).operators;
            let task = observe(mesh.client.clone(), host, address, seen);
            watch.tasks.push(tokio::spawn(task));
        }
        watch
    }

    /// When `host` was first seen at `version` or a higher one.
    pub fn reached(&self, host: &str, version: u64) -> Option<Instant> {
        let seen = self.lock(host);
        let rise = seen.rises.iter().find(|(v, _)| *v >= version);
        rise.map(|(_, at)| *at)
    }

    /// The highest version seen at `host`; 0 before the first.
    pub fn highest(&self, host: &str) -> u64 {
        self.lock(host).rises.last().map_or(0, |(v, _)| *v)
    }

    /// All cases in which a node was seen at a lower version than before.
    pub fn regressions(&self) -> Vec<Regression> {
        let hosts = self.seen.keys();
        hosts
            .flat_map(|h| self.lock(h).regressions.clone())
            .collect()
    }

    fn lock(&self, host: &str) -> std::sync::MutexGuard<'_, Seen> {
        let seen = self.seen.get(host).expect("the host is part of the mesh");
        seen.lock().expect("no reader panics")
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn observe(client: Client, host: &'static str, address: SocketAddr, seen: Arc<Mutex<Seen>>) {
    let start = Instant::now();
    let highest = || {
        let seen = seen.lock().expect("no reader panics");
        seen.rises.last().map_or(0, |(v, _)| *v)
    };
    while start.elapsed() < MAX_TIME {
        let mut version = read_version(&client, address).await;
        // A node that has started may hold an older version until it knows the
        // version floor; it refuses all requests meanwhile. One that is ready and
        // still has the older version serves it.
        if version.is_some_and(|v| v < highest()) {
            version = match is_ready(&client, address).await {
                true => read_version(&client, address).await,
                false => None,
            };
        }
        if let Some(version) = version {
            let mut seen = seen.lock().expect("no reader panics");
            seen.add(host, version, Instant::now());
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(client: &Client, address: SocketAddr, path: &str) -> Option<Reply> {
    let read = tokio::time::timeout(READ_TIMEOUT, client.get(address, path));
    read.await.ok()?.ok()
}

async fn read_version(client: &Client, address: SocketAddr) -> Option<u64> {
    let reply = read(client, address, "/v1/config").await?;
    reply.json().ok()?["config"]["version"].as_u64()
}

async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let reply = read(client, address, "/health/ready").await;
    reply.is_some_and(|reply| reply.status == 200)
}
