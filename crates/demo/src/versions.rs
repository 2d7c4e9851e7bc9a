//! Observes which configuration versions are in force on nodes over time.

use crate::client::{Client, Reply};
use crate::mesh::Mesh;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time between two reads of the same node.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest duration of an observation.
const MAX_DURATION: Duration = Duration::from_secs(60);

/// A case in which a node served a lower version than before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Regression {
    /// Host of the node.
    pub host: &'static str,
    /// Highest version observed before.
    pub from: u64,
    /// Lower version observed after it.
    pub to: u64,
    /// Time of the first observation of the highest version.
    pub reached: Instant,
    /// Time of the observation of the lower version.
    pub at: Instant,
}

/// Versions observed at one node.
#[derive(Clone, Debug, Default)]
struct ObservedVersions {
    /// Each version that was higher than all before, with the time of its first observation.
    increases: Vec<(u64, Instant)>,
    regressions: Vec<Regression>,
}

impl ObservedVersions {
    /// Adds an observation. Version 0 is ignored: a node that has started reports it until it has a
    /// configuration, and refuses all requests meanwhile.
    fn add(&mut self, host: &'static str, version: u64, now: Instant) {
        if version == 0 {
            return;
        }
        match self.increases.last().copied() {
            Some((from, reached)) if version < from => self.regressions.push(Regression {
                host,
                from,
                to: version,
                reached,
                at: now,
            }),
            Some((highest, _)) if version == highest => {}
            _ => self.increases.push((version, now)),
        }
    }
}

/// Periodically reads the versions of all nodes of a mesh until it is dropped.
pub struct VersionWatch {
    observed: BTreeMap<&'static str, Arc<Mutex<ObservedVersions>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl VersionWatch {
    /// Starts one task for each node of the mesh.
    pub fn start(mesh: &Mesh) -> Self {
        let mut watch = Self {
            observed: BTreeMap::new(),
            tasks: Vec::new(),
        };
        for host in mesh.hosts() {
            let observed = Arc::<Mutex<ObservedVersions>>::default();
            watch.observed.insert(host, Arc::clone(&observed));
            let address = mesh.node(host).operators;
            let task = observe(mesh.client.clone(), host, address, observed);
            watch.tasks.push(tokio::spawn(task));
        }
        watch
    }

    /// Time at which `version` or a higher one was first observed on `host`; `None` if it was not.
    pub fn reached(&self, host: &str, version: u64) -> Option<Instant> {
        let observed = self.lock(host);
        let increase = observed.increases.iter().find(|(v, _)| *v >= version);
        increase.map(|(_, at)| *at)
    }

    /// Highest version observed on `host`; 0 if there is none yet.
    pub fn highest(&self, host: &str) -> u64 {
        self.lock(host).increases.last().map_or(0, |(v, _)| *v)
    }

    /// All cases in which a node served a lower version than before.
    pub fn regressions(&self) -> Vec<Regression> {
        let hosts = self.observed.keys();
        hosts
            .flat_map(|h| self.lock(h).regressions.clone())
            .collect()
    }

    fn lock(&self, host: &str) -> std::sync::MutexGuard<'_, ObservedVersions> {
        let observed = self
            .observed
            .get(host)
            .expect("the host is part of the mesh");
        observed.lock().expect("no reader panics")
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn observe(
    client: Client,
    host: &'static str,
    address: SocketAddr,
    observed: Arc<Mutex<ObservedVersions>>,
) {
    let start = Instant::now();
    let highest = || {
        let observed = observed.lock().expect("no reader panics");
        observed.increases.last().map_or(0, |(v, _)| *v)
    };
    while start.elapsed() < MAX_DURATION {
        let mut version = read_version(&client, address).await;
        // A restarted node may hold an older version until it knows the version floor, and refuses
        // all requests meanwhile. Only a node that is ready and still has the older version serves
        // it, which is a regression.
        if version.is_some_and(|v| v < highest()) {
            version = match is_ready(&client, address).await {
                true => read_version(&client, address).await,
                false => None,
            };
        }
        if let Some(version) = version {
            let mut observed = observed.lock().expect("no reader panics");
            observed.add(host, version, Instant::now());
        }
        tokio::time::sleep(READ_INTERVAL).await;
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
