//! A mesh: its processes, addresses, certificates and settings files.

use crate::client::{Client, Reply};
use crate::ports::free_address;
use crate::process::Process;
use crate::settings::{Ini, addresses};
use anyhow::Context;
use http::Method;
use knapweed_transport::certificates::Authority;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Environment variable that, if set, keeps the folder with logs and settings after the run.
const KEEP_FOLDER_VAR: &str = "KNAPWEED_KEEP_FOLDER";

/// Identity of a node to run: its host and location.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeSpec {
    /// Name of the host.
    pub host: &'static str,
    /// Availability zone of the host.
    pub zone: &'static str,
    /// Region of the availability zone.
    pub region: &'static str,
}

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// UDP address for connections from other nodes.
    pub nodes: SocketAddr,
}

/// Identity and run time of a backend server to start.
#[derive(Clone, Copy, Debug)]
pub struct BackendSpec {
    /// Name of the host, which must be one of the mesh.
    pub host: &'static str,
    /// Name of the service that it provides.
    pub service: &'static str,
    /// Version of the service that it runs.
    pub version: &'static str,
    /// Run time of a request, in milliseconds.
    pub work_ms: u64,
}

/// A mesh of processes on loopback; dropping it kills them and removes its folder.
pub struct Mesh {
    folder: TempDir,
    platform: SocketAddr,
    /// Address of the platform's stand-in in the settings of nodes, such as that of a proxy.
    platform_for_nodes: SocketAddr,
    members: Vec<(NodeSpec, NodeAddresses)>,
    processes: BTreeMap<String, Process>,
    backends: BTreeMap<String, SocketAddr>,
    /// Client for requests to all processes of the mesh.
    pub client: Client,
}

/// Construction of a mesh.
impl Mesh {
    /// Starts the platform's stand-in, and prepares certificates and addresses of the given nodes.
    ///
    /// # Errors
    ///
    /// The stand-in cannot be started, a file cannot be written, or no port is free.
    pub fn new(specs: &[NodeSpec]) -> anyhow::Result<Self> {
        let mut folder = tempfile::tempdir()?;
        folder.disable_cleanup(std::env::var_os(KEEP_FOLDER_VAR).is_some());
        let authority = Authority::new()?;
        std::fs::write(folder.path().join("authority.pem"), authority.certificate())?;
        let mut nodes = Vec::new();
        for spec in specs {
            let found = NodeAddresses {
                callers: free_address()?,
                operators: free_address()?,
                nodes: free_address()?,
            };
            let pair = authority.issue(spec.host, &[found.nodes.ip()])?;
            let file = |end: &str| folder.path().join(format!("{}.{end}", spec.host));
            std::fs::write(file("pem"), pair.certificate)?;
            std::fs::write(file("key"), pair.key)?;
            nodes.push((*spec, found));
        }
        let platform = free_address()?;
        let mut mesh = Self {
            folder,
            platform,
            platform_for_nodes: platform,
            members: nodes,
            processes: BTreeMap::new(),
            backends: BTreeMap::new(),
            client: Client::default(),
        };
        mesh.start_platform()?;
        Ok(mesh)
    }
}

/// Addresses, processes and files.
impl Mesh {
    /// Address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Addresses of the node on `host`.
    ///
    /// Panics if the host is not part of the mesh.
    pub fn node(&self, host: &str) -> NodeAddresses {
        let found = self.members.iter().find(|(spec, _)| spec.host == host);
        found.expect("the host is part of the mesh").1
    }

    /// Names of all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &'static str> + '_ {
        self.members.iter().map(|(spec, _)| spec.host)
    }

    /// Returns the process with a name: `platform`, a host for its node, or
    /// `HOST-SERVICE-VERSION` for a backend server. Panics if it was never started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .expect("the process was started")
    }

    /// Address of a backend server, given the name of its process.
    pub fn backend(&self, name: &str) -> SocketAddr {
        self.backends[name]
    }

    /// Folder that holds settings, logs and certificates.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

/// Start of processes.
impl Mesh {
    /// Starts the platform's stand-in.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start_platform(&mut self) -> anyhow::Result<()> {
        let ini = Ini::default()
            .section("platform")
            .key("listen", self.platform);
        self.start("platform", "knapweed-fake-platform", &ini)
    }

    /// Sets the address at which nodes that are started later reach the platform's stand-in, such
    /// as that of a proxy in front of it.
    pub fn set_platform_address(&mut self, address: SocketAddr) {
        self.platform_for_nodes = address;
    }

    /// Starts the nodes of all hosts.
    ///
    /// # Errors
    ///
    /// A program cannot be started.
    pub fn start_nodes(&mut self) -> anyhow::Result<()> {
        let hosts: Vec<_> = self.hosts().collect();
        hosts.into_iter().try_for_each(|host| self.start_node(host))
    }

    /// Starts the node of `host`. A process of it that still runs is killed first.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start_node(&mut self, host: &str) -> anyhow::Result<()> {
        let ini = self.node_settings(host);
        self.start(host, "knapweed-node", &ini)
    }

    fn node_settings(&self, host: &str) -> Ini {
        let found = self.members.iter().find(|(spec, _)| spec.host == host);
        let (spec, node) = found.expect("the host is part of the mesh");
        let others = self.members.iter().filter(|(p, _)| p.host != host);
        let seeds: Vec<_> = others.map(|(_, a)| a.nodes).collect();
        Ini::default()
            .section("node")
            .key("host", spec.host)
            .key("zone", spec.zone)
            .key("region", spec.region)
            .key("seeds", addresses(&seeds))
            .section("listen")
            .key("callers", node.callers)
            .key("operators", node.operators)
            .key("nodes", node.nodes)
            .section("tls")
            .key("certificate", self.path(host, "pem").display())
            .key("key", self.path(host, "key").display())
            .key("authority", self.path("authority", "pem").display())
            .section("platform")
            .key("address", self.platform_for_nodes)
    }

    /// Starts a backend server.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start_backend(&mut self, spec: &BackendSpec) -> anyhow::Result<String> {
        self.start_backend_with(spec, &[])
    }

    /// Starts a backend server with further settings.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start_backend_with(
        &mut self,
        spec: &BackendSpec,
        settings: &[(&str, u64)],
    ) -> anyhow::Result<String> {
        let name = format!("{}-{}-{}", spec.host, spec.service, spec.version);
        let address = free_address()?;
        let found = self.members.iter().find(|(p, _)| p.host == spec.host);
        let zone = found.map_or("none", |(p, _)| p.zone);
        let ini = Ini::default()
            .section("backend")
            .key("listen", address)
            .key("host", spec.host)
            .key("zone", zone)
            .key("service", spec.service)
            .key("version", spec.version)
            .key("work_ms", spec.work_ms)
            .key("announce", self.node(spec.host).operators);
        let ini = settings
            .iter()
            .fold(ini, |ini, (name, value)| ini.key(name, value));
        self.start(&name, "knapweed-fake-backend", &ini)?;
        self.backends.insert(name.clone(), address);
        Ok(name)
    }

    fn start(&mut self, name: &str, program: &str, ini: &Ini) -> anyhow::Result<()> {
        let path = self.path(name, "ini");
        ini.write(&path)?;
        // An earlier process with this name must release its ports first.
        drop(self.processes.remove(name));
        self.processes
            .insert(name.to_owned(), Process::start(program, &path)?);
        Ok(())
    }

    fn path(&self, name: &str, end: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.{end}"))
    }
}

/// Requests to nodes, and waiting for conditions.
impl Mesh {
    /// Files a ticket through the node of `host`.
    ///
    /// # Errors
    ///
    /// The node does not respond.
    pub async fn file(&self, host: &str, ticket: &serde_json::Value) -> anyhow::Result<Reply> {
        let address = self.node(host).operators;
        let headers = [("content-type", "application/json")];
        let body = serde_json::to_vec(ticket)?;
        self.client
            .send(Method::POST, address, "/v1/tickets", &headers, body)
            .await
    }

    /// Polls `probe` until it returns a value, for at most `wait`, and returns the value with the
    /// elapsed time. `what` describes the condition in the error.
    ///
    /// # Errors
    ///
    /// The condition is not met within `wait`.
    pub async fn until<T, F, P>(
        &self,
        what: &str,
        wait: Duration,
        mut probe: P,
    ) -> anyhow::Result<(T, Duration)>
    where
        P: FnMut() -> F,
        F: Future<Output = Option<T>>,
    {
        let start = Instant::now();
        loop {
            if let Some(value) = probe().await {
                return Ok((value, start.elapsed()));
            }
            anyhow::ensure!(start.elapsed() < wait, "timed out after {wait:?}: {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every node of `hosts` responds and considers exactly `nodes` nodes alive.
    ///
    /// # Errors
    ///
    /// The condition is not met within `wait`.
    pub async fn until_joined(
        &self,
        hosts: &[&str],
        nodes: usize,
        wait: Duration,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        for host in hosts {
            let what = format!("host {host} knows {nodes} nodes");
            let joined = self.until(&what, wait, || async move {
                (self.alive_at(host).await.ok()? == nodes).then_some(())
            });
            if let Err(err) = joined.await {
                return Err(err.context(format!("alive: {:?}", self.alive_at(host).await)));
            }
        }
        Ok(start.elapsed())
    }

    /// Number of nodes that the node of `host` considers alive.
    async fn alive_at(&self, host: &str) -> anyhow::Result<usize> {
        let known = self.nodes_of(host).await?;
        Ok(known.iter().filter(|n| n["state"] == "alive").count())
    }

    /// Waits until each of `hosts` knows `servers` ready backend servers.
    ///
    /// # Errors
    ///
    /// One of them does not within `wait`.
    pub async fn until_announced(
        &self,
        hosts: &[&str],
        servers: usize,
        wait: Duration,
    ) -> anyhow::Result<()> {
        for host in hosts {
            let what = format!("host {host} knows {servers} ready backend servers");
            self.until(&what, wait, || async move {
                (self.ready_servers_at(host).await.ok()? >= servers).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Number of ready backend servers that the node of `host` knows.
    async fn ready_servers_at(&self, host: &str) -> anyhow::Result<usize> {
        let known = self.nodes_of(host).await?;
        let servers = known
            .iter()
            .filter_map(|n| n["backend_servers"].as_array())
            .flatten();
        Ok(servers.filter(|s| s["state"] == "ready").count())
    }

    /// Lists the nodes that the node of `host` knows, in the JSON form of `/v1/nodes`.
    ///
    /// # Errors
    ///
    /// The node does not respond.
    pub async fn nodes_of(&self, host: &str) -> anyhow::Result<Vec<serde_json::Value>> {
        let reply = self
            .client
            .get(self.node(host).operators, "/v1/nodes")
            .await?;
        let nodes = reply.json()?["nodes"].as_array().cloned();
        nodes.context("the response has no list of nodes")
    }

    /// Finds a host whose node reports that it holds `duty`, such as `relay/labasa-a`. `None` if
    /// no node does.
    ///
    /// # Errors
    ///
    /// A node does not respond.
    pub async fn duty_holder(&self, duty: &str) -> anyhow::Result<Option<&'static str>> {
        for host in self.hosts() {
            let reply = self.client.get(self.node(host).operators, "/v1/nodes");
            let duties = reply.await?.json()?["duties"].clone();
            let duties = duties.as_array().cloned().unwrap_or_default();
            if duties.iter().any(|d| d == duty) {
                return Ok(Some(host));
            }
        }
        Ok(None)
    }

    /// Configuration version in force on the node of `host`.
    ///
    /// # Errors
    ///
    /// The node does not respond.
    pub async fn version_of(&self, host: &str) -> anyhow::Result<u64> {
        let reply = self
            .client
            .get(self.node(host).operators, "/v1/config")
            .await?;
        reply.json()?["config"]["version"]
            .as_u64()
            .context("the response has no version")
    }

    /// Waits until `version` or a newer one is in force on all nodes of `hosts`.
    ///
    /// # Errors
    ///
    /// The condition is not met within `wait`.
    pub async fn until_in_force(
        &self,
        hosts: &[&str],
        version: u64,
        wait: Duration,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        for host in hosts {
            let what = format!("host {host} has version {version}");
            self.until(&what, wait, || async move {
                (self.version_of(host).await.ok()? >= version).then_some(())
            })
            .await?;
        }
        Ok(start.elapsed())
    }
}
