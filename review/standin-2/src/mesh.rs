//! A small deployment on loopback: the store's stand-in, nodes, servers, and what they record.

use crate::http::{self, Message};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Zones and regions of the deployment `vlmpa-outage`.
pub const ZONES: [(&str, &str); 4] = [
    ("labasa-a", "labasa"),
    ("labasa-b", "labasa"),
    ("savusavu-a", "savusavu"),
    ("savusavu-b", "savusavu"),
];
/// Services of that deployment; each has a server in each zone.
pub const SERVICES: [&str; 3] = ["calendar", "switching", "surveys"];
/// Host of all routes.
pub const HOST: &str = "jepu9.example";
const BOUNDS: &str = r#"["SeedLagS=3", "ReuseAfterS=2", "StableWindowMs=4000", "AckMs=4000", "CatchUpS=4", "DrainMs=2500", "GraceS=6", "LossSlackMs=200", "ConfigApplyMs=2500", "RollbackSlackMs=250", "MaxStretchMs=5000", "RetryBudgetRatio=0.2", "BudgetWindowS=10", "BudgetSlack=56", "ExposeShare=0.1", "ExposeSlack=50", "RollbackMs=5000", "RecoveryS=15"]"#;
/// Interval of heartbeats in that deployment.
const HEARTBEAT_MS: u64 = 1_500;
/// Port of the callers.
const OUTBOUND: u16 = 8629;
const READY: u16 = 8625;
const CONTROL: u16 = 8620;
const APP: u16 = 8628;
const CLUSTER: u16 = 7600;

/// What was sent, answered and run, with the time since the start.
#[derive(Debug)]
pub struct Record {
    pub start: Instant,
    lines: Mutex<File>,
    /// Runs at servers.
    pub runs: Mutex<Vec<Run>>,
}

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub service: String,
    pub version: String,
    pub machine: String,
    pub status: u16,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        }))
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:9.3} {text}");
    }

    /// A line that is printed too.
    pub fn note(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }
}

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub work: Duration,
    /// One in so many requests fails; 0 for none.
    pub fails_one_in: u64,
    /// From when, in milliseconds since the start of the record.
    pub fails_from_ms: Arc<AtomicU64>,
    pub answer_len: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(40),
            fails_one_in: 0,
            fails_from_ms: Arc::default(),
            answer_len: 1_500,
        }
    }
}

/// A machine with its node and its server.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    pub version: &'static str,
    pub ip: Ipv4Addr,
    pub id: String,
    /// Since when the node has run without a kill.
    pub node_started: Instant,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    /// Whether the server and its heartbeats run.
    is_on: Arc<AtomicBool>,
    /// Whether the server has left: it sends no heartbeats and fails its health check.
    has_left: Arc<AtomicBool>,
    /// Start of the server, in Unix milliseconds.
    pub born: Arc<AtomicU64>,
    /// Number of its last heartbeat.
    pub sequence: Arc<AtomicU64>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(OUTBOUND)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(READY)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL)
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let answer = http::call(self.ready(), "GET", "/ready", &[], &[], wait);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// What the node has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Process id of the node.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

/// The deployment.
pub struct Mesh {
    pub record: Arc<Record>,
    folder: PathBuf,
    root: PathBuf,
    net: (u8, u8),
    next_ip: u16,
    pub store: SocketAddr,
    store_process: Child,
    pub machines: Vec<Machine>,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.is_on.store(false, Ordering::Relaxed);
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = self.store_process.kill();
        let _ = self.store_process.wait();
        if std::env::var_os("RIG_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Process ids of all children, for the watchdog.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn started(child: Child) -> Child {
    CHILDREN.lock().unwrap().push(child.id());
    child
}

impl Mesh {
    /// Starts the store's stand-in. `root` is the root of the repository.
    pub fn start(root: &Path, record: Arc<Record>) -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-rig-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = free_net(pid)?;
        let store = SocketAddr::from(([127, net.0, net.1, 1], 8627));
        let ini = folder.join("store.ini");
        fs::write(
            &ini,
            format!("[platform]\nlisten = {store}\nreads_per_s = 2000\nwrites_per_s = 400\n"),
        )?;
        let log = File::create(folder.join("store.log"))?;
        let store_process = Command::new(root.join("target/release/knapweed-fake-platform"))
            .arg("--settings")
            .arg(&ini)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        let mesh = Self {
            record,
            folder,
            root: root.to_owned(),
            net,
            next_ip: 10,
            store,
            store_process: started(store_process),
            machines: Vec::new(),
        };
        let wait = Duration::from_millis(300);
        mesh.until("the store answers", Duration::from_secs(5), |mesh| {
            http::call(mesh.store, "GET", "/calls", &[], &[], wait).is_ok()
        })?;
        Ok(mesh)
    }

    pub fn until(
        &self,
        what: &str,
        limit: Duration,
        mut check: impl FnMut(&Self) -> bool,
    ) -> io::Result<()> {
        let start = Instant::now();
        while !check(self) {
            if start.elapsed() > limit {
                return Err(io::Error::other(format!("{what}: not within {limit:?}")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Adds a machine and starts its node.
    pub fn add(
        &mut self,
        zone: usize,
        service: &'static str,
        version: &'static str,
    ) -> io::Result<usize> {
        let number = self.next_ip;
        self.next_ip += 1;
        let ip = Ipv4Addr::new(
            127,
            self.net.0,
            self.net.1.wrapping_add((number >> 8) as u8),
            number as u8,
        );
        let (zone, region) = ZONES[zone];
        let name = format!("sidecar-{zone}-{number}");
        let settings = self.folder.join(format!("{name}.json"));
        let mut machine = Machine {
            log: self.folder.join(format!("{name}.log")),
            name,
            zone,
            region,
            service,
            version,
            ip,
            id: format!("i-{number:08x}"),
            node_started: Instant::now(),
            child: None,
            settings,
            is_on: Arc::default(),
            has_left: Arc::default(),
            born: Arc::default(),
            sequence: Arc::default(),
        };
        fs::write(&machine.settings, self.settings(&machine))?;
        self.start_process(&mut machine)?;
        self.machines.push(machine);
        Ok(self.machines.len() - 1)
    }

    fn settings(&self, machine: &Machine) -> String {
        let Machine {
            name, zone, region, ..
        } = machine;
        let zones = ZONES.map(|(zone, region)| format!("\"{zone}\": \"{region}\""));
        let zones = zones.join(", ");
        format!(
            r#"{{"NodeName": "{name}", "Role": "node", "MachineClass": "sidecar", "Serves": ["sidecar"],
"Ip": "{ip}", "Zone": "{zone}", "Region": "{region}", "Zones": {{{zones}}},
"Listen": {{"Inbound": "{ip}:8624", "Outbound": "{ip}:{OUTBOUND}", "Ready": "{ip}:{READY}", "Control": "{ip}:{CONTROL}"}},
"ClusterPorts": [{CLUSTER}, 7615], "Seeds": [], "Bootstrap": true, "InLossBudget": false,
"Limits": {{"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}},
"DataDir": null, "Discovery": "local", "Entry": "local", "HeartbeatMs": {HEARTBEAT_MS},
"Contracts": ["base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"],
"FaultTolerance": {{"Machines": 2, "Zones": 0, "Regions": 0}}, "Bounds": {BOUNDS},
"AppAddr": "{ip}:{APP}", "Service": "{service}",
"Platform": {{"Address": "{store}", "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "MinTtlMs": 1000}}}}"#,
            ip = machine.ip,
            service = machine.service,
            store = self.store,
        )
    }

    fn start_process(&self, machine: &mut Machine) -> io::Result<()> {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&machine.log)?;
        let child = Command::new(self.root.join("target/release/knapweed-sidecar"))
            .current_dir(&self.root)
            .env_clear()
            .env("KNAPWEEDREACH_SETTINGS", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        machine.child = Some(started(child));
        machine.node_started = Instant::now();
        Ok(())
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record
            .note(&format!("killed the node of {}", machine.name));
    }

    /// Sends a signal to a node.
    pub fn signal(&self, index: usize, signal: &str) {
        let machine = &self.machines[index];
        let pid = machine.pid();
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{signal} {pid}"))
            .status();
        self.record
            .note(&format!("sent {signal} to the node of {}", machine.name));
    }

    /// Starts a node again, with the settings that it had.
    pub fn start_again(&mut self, index: usize) -> io::Result<()> {
        let mut machine = self.machines.remove(index);
        let result = self.start_process(&mut machine);
        self.record
            .note(&format!("started the node of {} again", machine.name));
        self.machines.insert(index, machine);
        result
    }

    /// Starts the server of a machine and its heartbeats.
    pub fn start_server(&mut self, index: usize, behaviour: Behaviour) -> io::Result<()> {
        let machine = &self.machines[index];
        machine.is_on.store(true, Ordering::Relaxed);
        let server = Server {
            record: Arc::clone(&self.record),
            name: machine.name.clone(),
            id: machine.id.clone(),
            service: machine.service.to_owned(),
            version: machine.version.to_owned(),
            behaviour,
            count: AtomicU64::new(0),
            is_on: Arc::clone(&machine.is_on),
            has_left: Arc::clone(&machine.has_left),
        };
        let listener = TcpListener::bind(machine.address(APP))?;
        let server = Arc::new(server);
        thread::spawn(move || serve(&listener, &server));
        let beat = Heartbeats {
            record: Arc::clone(&self.record),
            control: machine.control(),
            app: machine.address(APP),
            id: machine.id.clone(),
            zone: machine.zone,
            service: machine.service,
            version: machine.version,
            is_on: Arc::clone(&machine.is_on),
            has_left: Arc::clone(&machine.has_left),
            born: Arc::clone(&machine.born),
            last: Arc::clone(&machine.sequence),
        };
        thread::spawn(move || beat.run());
        Ok(())
    }

    /// The server of a machine says that it leaves, and goes on serving. Returns the status of
    /// the acknowledgement.
    pub fn leave(&self, index: usize) -> io::Result<u16> {
        let machine = &self.machines[index];
        machine.has_left.store(true, Ordering::Relaxed);
        let path = format!("/instances/{}", machine.id);
        let wait = Duration::from_secs(1);
        let answer = http::call(machine.control(), "DELETE", &path, &[], &[], wait)?;
        self.record
            .note(&format!("DELETE {path}: {}", answer.status()));
        Ok(answer.status())
    }

    /// A heartbeat that the server of a machine sent before arrives only now.
    pub fn late_heartbeat(&self, index: usize, sequence: u64) -> io::Result<()> {
        let machine = &self.machines[index];
        let Machine {
            zone,
            service,
            version,
            ..
        } = machine;
        let born = machine.born.load(Ordering::Relaxed);
        let doc = heartbeat(machine.address(APP), service, version, zone, sequence, born);
        let path = format!("/instances/{}", machine.id);
        let headers = [("Content-Type", "application/json")];
        let wait = Duration::from_secs(1);
        let answer = http::call(
            machine.control(),
            "PUT",
            &path,
            &headers,
            doc.as_bytes(),
            wait,
        )?;
        self.record.note(&format!(
            "heartbeat {sequence} of {} arrives late: {}",
            machine.id,
            answer.status()
        ));
        Ok(())
    }

    /// Ends the server of a machine, which sends no more heartbeats.
    pub fn stop_server(&mut self, index: usize) {
        let machine = &self.machines[index];
        machine.is_on.store(false, Ordering::Relaxed);
        // The accepting thread sees the end at the next connection.
        let _ = TcpStream::connect_timeout(&machine.address(APP), Duration::from_millis(200));
    }

    /// The operator writes an object, which is there already if `is_change`.
    pub fn write(&self, kind: &str, name: &str, spec: &str, is_change: bool) -> io::Result<()> {
        let doc = format!("{{\"Metadata\": {{\"Name\": \"{name}\"}}, \"Spec\": {spec}}}");
        let (method, path) = match is_change {
            true => ("PUT", format!("/objects/{kind}/{name}")),
            false => ("POST", format!("/objects/{kind}")),
        };
        let headers = [("Content-Type", "application/json")];
        let wait = Duration::from_secs(2);
        let answer = http::call(self.store, method, &path, &headers, doc.as_bytes(), wait)?;
        let text = format!("the operator wrote {kind}/{name}: {}", answer.status());
        match kind {
            "config" => self.record.note(&text),
            _ => self.record.note(&format!("{text} {spec}")),
        }
        match answer.status() {
            200 | 201 => Ok(()),
            status => Err(io::Error::other(format!("the store answered {status}"))),
        }
    }

    /// An object of the store, as text.
    pub fn read(&self, path: &str) -> String {
        let wait = Duration::from_secs(2);
        let answer = http::call(self.store, "GET", path, &[], &[], wait);
        answer.map_or_else(
            |err| err.to_string(),
            |answer| String::from_utf8_lossy(&answer.body).into_owned(),
        )
    }

    /// Writes the first configuration: a route for each service.
    pub fn configure(&self) -> io::Result<()> {
        self.write_config(4, &[])
    }

    /// Writes a configuration with further routes, each a path prefix and a service.
    pub fn write_config(&self, version: u32, further: &[(&str, &str)]) -> io::Result<()> {
        let path = |name: &str, prefix: &str, kind: &str, service: &str, ms: u32| {
            format!(
                r#"{{"Name": "{name}", "PathPrefix": "{prefix}", "Kind": "{kind}", "TimeoutMs": {ms}, "TargetLatencyMs": 800, "MaxAttempts": 2, "Priority": 1, "Service": "{service}"}}"#
            )
        };
        let mut paths = vec![
            path("r-read", "/read/", "safe", "calendar", 5_000),
            path("r-order", "/order/", "unsafe", "switching", 5_000),
            path("r-survey", "/survey/", "upload", "surveys", 5_000),
            path("r-check", "/check/", "safe", "switching", 5_000),
        ];
        for (prefix, service) in further {
            let name = format!("r-more-{service}");
            paths.push(path(&name, prefix, "safe", service, 5_000));
        }
        let services = SERVICES.map(|name| {
            format!(r#"{{"Name": "{name}", "MaxConns": 110, "HealthPath": "/health"}}"#)
        });
        let spec = format!(
            r#"{{"Version": {version}, "VirtualHosts": [{{"Host": "{HOST}", "Paths": [{}]}}], "Services": [{}], "Limits": {{"MaxHeaderBytes": 32768, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000}}}}"#,
            paths.join(", "),
            services.join(", ")
        );
        self.write("config", "main", &spec, version > 4)
    }

    /// Starts a machine for each service in each zone, with servers of version `v1`.
    pub fn start_machines(&mut self, behaviour: &Behaviour) -> io::Result<()> {
        self.configure()?;
        for zone in 0..ZONES.len() {
            for service in SERVICES {
                let machine = self.add(zone, service, "v1")?;
                self.start_server(machine, behaviour.clone())?;
            }
        }
        self.until_ready(Duration::from_secs(10))
    }

    pub fn until_ready(&self, limit: Duration) -> io::Result<()> {
        self.until("all nodes are ready", limit, |mesh| {
            mesh.machines.iter().all(Machine::is_ready)
        })
    }

    /// The machine whose node controls rollouts, by the newest line of the logs.
    pub fn rollout_holder(&self) -> Option<usize> {
        let mut newest: Option<(String, usize)> = None;
        for (index, machine) in self.machines.iter().enumerate() {
            let log = machine.log();
            let took = log
                .lines()
                .filter(|l| l.contains("this node controls rollouts"))
                .last();
            let left = log
                .lines()
                .filter(|l| l.contains("no longer controls rollouts"))
                .last();
            let at = |line: &str| line.split("\"time\":\"").nth(1).map(|t| t[..23].to_owned());
            let (Some(took), left) = (took.and_then(at), left.and_then(at)) else {
                continue;
            };
            if left.is_some_and(|left| left > took) {
                continue;
            }
            if newest.as_ref().is_none_or(|(known, _)| *known < took) {
                newest = Some((took, index));
            }
        }
        newest.map(|(_, index)| index)
    }
}

/// Parts of the loopback network that nobody listens on.
fn free_net(seed: u32) -> io::Result<(u8, u8)> {
    for step in 0..50u32 {
        let number = seed.wrapping_mul(7).wrapping_add(step * 13);
        let net = (64 + (number % 128) as u8, (number / 128 % 100) as u8 * 2);
        let address = SocketAddr::from(([127, net.0, net.1, 1], 8627));
        let other = SocketAddr::from(([127, net.0, net.1, 10], CONTROL));
        if TcpListener::bind(address).is_ok() && TcpListener::bind(other).is_ok() {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

struct Heartbeats {
    record: Arc<Record>,
    control: SocketAddr,
    app: SocketAddr,
    id: String,
    zone: &'static str,
    service: &'static str,
    version: &'static str,
    is_on: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    born: Arc<AtomicU64>,
    last: Arc<AtomicU64>,
}

impl Heartbeats {
    fn run(self) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = born.as_millis() as u64;
        self.born.store(born, Ordering::Relaxed);
        let mut acknowledged = false;
        for sequence in 1u64.. {
            if !self.is_on.load(Ordering::Relaxed) || self.has_left.load(Ordering::Relaxed) {
                return;
            }
            self.last.store(sequence, Ordering::Relaxed);
            let doc = heartbeat(
                self.app,
                self.service,
                self.version,
                self.zone,
                sequence,
                born,
            );
            let path = format!("/instances/{}", self.id);
            let headers = [("Content-Type", "application/json")];
            let wait = Duration::from_secs(1);
            let answer = http::call(self.control, "PUT", &path, &headers, doc.as_bytes(), wait);
            let status = answer.map_or(0, |answer| answer.status());
            if (status == 200) != acknowledged {
                acknowledged = status == 200;
                let Self {
                    id,
                    service,
                    version,
                    ..
                } = &self;
                self.record.line(&format!(
                    "heartbeat {sequence} of {id} ({service} {version}): {status}"
                ));
            }
            let pause = match status {
                200 => HEARTBEAT_MS,
                _ => 100,
            };
            thread::sleep(Duration::from_millis(pause));
        }
    }
}

/// A heartbeat of a server that is ready.
fn heartbeat(
    app: SocketAddr,
    service: &str,
    version: &str,
    zone: &str,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"Address": "{app}", "Info": {{"Service": "{service}", "Version": "{version}", "Zone": "{zone}", "Slots": 12}}, "Status": {{"State": "ready", "Seq": {sequence}, "ColdLeftMs": 0}}, "born": {born}}}"#
    )
}

struct Server {
    record: Arc<Record>,
    name: String,
    id: String,
    service: String,
    version: String,
    behaviour: Behaviour,
    count: AtomicU64,
    is_on: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
}

fn serve(listener: &TcpListener, server: &Arc<Server>) {
    for stream in listener.incoming() {
        if !server.is_on.load(Ordering::Relaxed) {
            return;
        }
        let (Ok(stream), server) = (stream, Arc::clone(server)) else {
            continue;
        };
        thread::spawn(move || {
            let _ = server.serve_connection(stream);
        });
    }
}

impl Server {
    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buf)? {
            if !request.is_complete || !self.is_on.load(Ordering::Relaxed) {
                return Ok(());
            }
            let answer = self.answer(&request);
            stream.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        if request.path() == "/health" && self.has_left.load(Ordering::Relaxed) {
            let headers = [("X-Instance-Id", self.id.as_str())];
            return http::response("503 Service Unavailable", &headers, &[]);
        }
        if request.path() == "/health" {
            return http::response("200 OK", &[("X-Instance-Id", &self.id)], &[]);
        }
        let id = request.header("x-request-id").unwrap_or("");
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Request-Id", id)];
            return http::response("421 Misdirected Request", &headers, &[]);
        }
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let fails_one_in = self.behaviour.fails_one_in;
        let at = self.record.now();
        let is_bad = at.as_millis() as u64 >= self.behaviour.fails_from_ms.load(Ordering::Relaxed);
        let fails = is_bad && fails_one_in > 0 && number % fails_one_in == 0;
        let status = if fails { 500 } else { 200 };
        let run = Run {
            at,
            id: id.to_owned(),
            service: self.service.clone(),
            version: self.version.clone(),
            machine: self.name.clone(),
            status,
        };
        self.record.line(&format!(
            "run {id} {} {} by {} {} at {}: {status}",
            request.method(),
            request.path(),
            self.service,
            self.version,
            self.name
        ));
        self.record.runs.lock().unwrap().push(run);
        thread::sleep(self.behaviour.work);
        let headers = [
            ("X-Request-Id", id),
            ("X-Instance-Id", &self.id),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        let first = if fails {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        http::response(first, &headers, &vec![b'a'; self.behaviour.answer_len])
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Duration,
    pub machine: usize,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// Clients that send requests in a steady stream, each on a new connection.
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Clients {
    /// Sends `per_s` requests a second in turn to `targets`, for at most `limit`.
    pub fn start(
        record: &Arc<Record>,
        targets: Vec<(usize, SocketAddr)>,
        requests: &'static [(&'static str, &'static str)],
        per_s: u32,
        limit: Duration,
    ) -> Self {
        let sent = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let (record, list, stopped) = (Arc::clone(record), Arc::clone(&sent), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let start = Instant::now();
            for number in 0u32.. {
                let due = start + Duration::from_secs(1) * number / per_s;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::Relaxed) || start.elapsed() > limit {
                    return;
                }
                let (machine, to) = targets[number as usize % targets.len()];
                let (method, prefix) = requests[number as usize / targets.len() % requests.len()];
                let (record, list) = (Arc::clone(&record), Arc::clone(&list));
                thread::spawn(move || {
                    send_one(&record, &list, machine, to, method, prefix, number)
                });
            }
        });
        Self {
            sent,
            stop,
            thread: Some(thread),
        }
    }

    /// Stops, and waits for the requests under way.
    pub fn finish(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_millis(3_200));
        self.sent.lock().unwrap().clone()
    }
}

fn send_one(
    record: &Record,
    list: &Mutex<Vec<Sent>>,
    machine: usize,
    to: SocketAddr,
    method: &str,
    prefix: &str,
    number: u32,
) {
    let at = record.now();
    let id = format!("{:08x}{number:08x}", std::process::id());
    let path = format!("{prefix}{number:x}");
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "2500"),
    ];
    let wait = Duration::from_millis(2_500);
    let answer = http::call(to, method, &path, &headers, &[], wait);
    let status = answer.as_ref().map_or(0, Message::status);
    record.line(&format!(
        "sent {id} {method} {path} to {to} at {:.3}: {status}",
        at.as_secs_f64()
    ));
    list.lock().unwrap().push(Sent {
        id,
        at,
        machine,
        status,
    });
}

/// Counts of statuses.
pub fn statuses(sent: &[Sent]) -> String {
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for one in sent {
        *counts.entry(one.status).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    let counts = counts
        .into_iter()
        .map(|(status, count)| format!("{status}: {count}"));
    counts.collect::<Vec<_>>().join(", ")
}
