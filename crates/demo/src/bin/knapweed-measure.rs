//! Program `knapweed-measure`: measures a mesh of real processes on loopback. Each measurement
//! ends within two minutes.

use anyhow::{Context, ensure};
use clap::{Parser, Subcommand};
use knapweed_demo::mesh::BackendSpec;
use knapweed_demo::{Mesh, NodeSpec};
use serde_json::json;
use std::process::Command;
use std::time::{Duration, Instant};

/// Longest time until nodes have joined, and until a ticket is in force on all of them.
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures latency, idle resource use or convergence of a small mesh.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    what: Measurement,
}

#[derive(Debug, Subcommand)]
enum Measurement {
    /// Latency that two nodes add to a request, compared with the same request sent directly.
    Latency {
        /// Requests per second, over both targets.
        #[arg(long, default_value_t = 400)]
        rate: u32,
        /// Length of the run, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Memory, processor time and control traffic of nodes without calls.
    Idle {
        /// Number of nodes.
        #[arg(long, default_value_t = 8)]
        nodes: usize,
        /// Length of the run, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Time from the acceptance of a ticket until it is in force on all nodes.
    Convergence {
        /// Number of nodes.
        #[arg(long, default_value_t = 8)]
        nodes: usize,
        /// Number of tickets.
        #[arg(long, default_value_t = 200)]
        tickets: u64,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Args::parse().what {
        Measurement::Latency { rate, seconds } => latency(rate, seconds).await,
        Measurement::Idle { nodes, seconds } => idle(nodes, seconds).await,
        Measurement::Convergence { nodes, tickets } => convergence(nodes, tickets).await,
    }
}

/// Starts a mesh of `count` nodes in two availability zones, with one backend server on `h0`.
async fn mesh(count: usize) -> anyhow::Result<Mesh> {
    let specs: Vec<_> = (0..count).map(spec).collect();
    let mut mesh = Mesh::new(&specs)?;
    mesh.start_nodes()?;
    let hosts: Vec<_> = mesh.hosts().collect();
    let backend = BackendSpec {
        host: "h0",
        service: "calendar",
        version: "v1",
        work_ms: 0,
    };
    mesh.start_backend(&backend)?;
    mesh.until_joined(&hosts, count, SETUP_TIMEOUT).await?;
    let reply = mesh.file("h0", &ticket(1)).await?;
    ensure!(reply.status == 200, "the first ticket was not accepted");
    mesh.until_in_force(&hosts, 1, SETUP_TIMEOUT).await?;
    Ok(mesh)
}

fn spec(index: usize) -> NodeSpec {
    // Leaked, since host names must be `'static` and live as long as the program anyway.
    let host = Box::leak(format!("h{index}").into_boxed_str());
    let zone = if index.is_multiple_of(2) {
        "labasa-a"
    } else {
        "labasa-b"
    };
    NodeSpec {
        host,
        zone,
        region: "labasa",
    }
}

fn ticket(number: u64) -> serde_json::Value {
    json!({
        "ticket": number,
        "services": [{ "name": "calendar", "versions": [{ "version": "v1", "share": 100 }] }],
        "routes": [{ "name": "calendar", "path_prefix": "/", "service": "calendar",
                     "timeout_ms": 2000 + number, "idempotent_methods": ["GET"] }],
    })
}

async fn latency(rate: u32, seconds: u64) -> anyhow::Result<()> {
    let mut mesh = mesh(2).await?;
    let direct = format!("http://{}/calendar", mesh.backend("h0-calendar-v1"));
    let through = format!("http://{}/calendar", mesh.node("h1").callers);
    let program = std::env::current_exe()?.with_file_name("knapweed-load");
    let ids = ["h1", "h0"].map(|host| mesh.process(host).id());
    let before = [cpu_ticks(ids[0])?, cpu_ticks(ids[1])?];
    let status = Command::new(program)
        .args(["--compare", "--target", &direct, "--target", &through])
        .args(["--rate", &rate.to_string()])
        .args([
            "--duration-ms",
            &(seconds * 1_000).to_string(),
            "--warm-up-ms",
            "2000",
        ])
        .status()?;
    ensure!(status.success(), "the load program failed: {status}");
    // Only half of the requests go through the nodes. A tick of the kernel is 10 ms.
    let calls = f64::from(rate) / 2.0 * seconds as f64;
    for ((role, id), before) in ["ingress", "egress"].iter().zip(ids).zip(before) {
        let micros = (cpu_ticks(id)? - before) as f64 * 10_000.0 / calls;
        println!("processor time of the {role}: {micros:.0} µs for each call");
    }
    Ok(())
}

async fn idle(nodes: usize, seconds: u64) -> anyhow::Result<()> {
    let mut mesh = mesh(nodes).await?;
    let hosts: Vec<_> = mesh.hosts().collect();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = hosts.iter().map(|host| cpu_ticks(mesh.process(host).id()));
    let before: Vec<_> = before.collect::<Result<_, _>>()?;
    let mut metrics = Vec::new();
    for host in &hosts {
        metrics.push(LinkMetrics::read(&mesh, host).await?);
    }
    let calls_before = platform_calls(&mesh).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let calls_after = platform_calls(&mesh).await?;
    let mut rows = Vec::new();
    for ((host, before), metrics_before) in hosts.iter().zip(before).zip(metrics) {
        let id = mesh.process(host).id();
        let metrics = LinkMetrics::read(&mesh, host).await?;
        rows.push(NodeUsage {
            // The kernel counts 100 ticks per second on all supported machines, so that ticks per
            // second are percent of a core.
            cpu_percent: (cpu_ticks(id)? - before) as f64 / seconds as f64,
            memory_kb: resident_kb(id)? as f64,
            connections: metrics.connections,
            bytes_per_s: (metrics.bytes - metrics_before.bytes) / seconds as f64,
        });
    }
    print_rows(&rows);
    println!(
        "calls to the platform: {:.2} per second",
        (calls_after - calls_before) / seconds as f64
    );
    Ok(())
}

/// Resource use of one node during the measurement.
#[derive(Clone, Copy, Debug)]
struct NodeUsage {
    cpu_percent: f64,
    memory_kb: f64,
    connections: f64,
    bytes_per_s: f64,
}

fn print_rows(rows: &[NodeUsage]) {
    let print = |what: &str, value: fn(&NodeUsage) -> f64| {
        let mean = rows.iter().map(value).sum::<f64>() / rows.len() as f64;
        let most = rows.iter().map(value).fold(0.0, f64::max);
        println!("{what:28} mean {mean:10.2}  most {most:10.2}");
    };
    print("processor time, % of a core", |row| row.cpu_percent);
    print("resident memory, KB", |row| row.memory_kb);
    print("open connections", |row| row.connections);
    print("UDP bytes sent/s", |row| row.bytes_per_s);
}

/// Connection metrics of one node, from its endpoint `/metrics`.
#[derive(Clone, Copy, Debug, Default)]
struct LinkMetrics {
    connections: f64,
    bytes: f64,
}

impl LinkMetrics {
    async fn read(mesh: &Mesh, host: &str) -> anyhow::Result<Self> {
        let reply = mesh
            .client
            .get(mesh.node(host).operators, "/metrics")
            .await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
                .unwrap_or_default()
        };
        Ok(Self {
            connections: value("knapweed_link_connections"),
            bytes: value("knapweed_link_sent_bytes"),
        })
    }
}

async fn convergence(nodes: usize, tickets: u64) -> anyhow::Result<()> {
    let mesh = mesh(nodes).await?;
    let hosts: Vec<_> = mesh.hosts().collect();
    let calls_before = platform_calls(&mesh).await?;
    let mut times = Vec::new();
    for number in 2..tickets + 2 {
        let host = hosts[number as usize % hosts.len()];
        let reply = mesh.file(host, &ticket(number)).await?;
        let accepted = Instant::now();
        ensure!(reply.status == 200, "ticket {number} was not accepted");
        mesh.until_in_force(&hosts, number, SETUP_TIMEOUT).await?;
        times.push(accepted.elapsed());
    }
    let calls = platform_calls(&mesh).await? - calls_before;
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("in force on {nodes} nodes after acceptance, {tickets} tickets:");
    println!(
        "median {:?}, p99 {:?}, worst {:?}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    println!(
        "calls to the platform: {:.1} per ticket",
        calls / tickets as f64
    );
    Ok(())
}

/// Reads the total number of calls that the platform's stand-in has received.
async fn platform_calls(mesh: &Mesh) -> anyhow::Result<f64> {
    let calls = mesh.client.get(mesh.platform(), "/calls").await?.json()?;
    let count = |key: &str| calls[key].as_f64().unwrap_or_default();
    Ok(count("reads") + count("writes"))
}

/// Processor time that a process has used so far, in ticks of the kernel.
fn cpu_ticks(id: u32) -> anyhow::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat
        .rsplit_once(')')
        .context("/proc/PID/stat: no process name in parentheses")?
        .1;
    let field = |index: usize| {
        fields
            .split_whitespace()
            .nth(index)
            .and_then(|f| f.parse().ok())
    };
    let user: u64 = field(11).context("/proc/PID/stat: no user time")?;
    let system: u64 = field(12).context("/proc/PID/stat: no system time")?;
    Ok(user + system)
}

/// Resident memory of a process, in KiB as the kernel reports it.
fn resident_kb(id: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .context("/proc/PID/status: no line VmRSS")?;
    let value = line
        .split_whitespace()
        .nth(1)
        .context("/proc/PID/status: VmRSS has no value")?;
    Ok(value.parse()?)
}
