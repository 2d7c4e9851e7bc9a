//! Load above the capacity of a service.

use anyhow::{Context, ensure};
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, NODES, calendar_on, limited};
use knapweed_demo::load::Outcome;
use knapweed_demo::open_loop::{OpenLoop, Sample};
use std::time::Duration;

/// Hosts with a backend server.
const BACKENDS: [&str; 2] = ["a1", "b1"];
/// Concurrent requests of a backend server, its limit of connections, and the run time of a request
/// in milliseconds.
const SLOTS: u64 = 6;
const MAX_CONNECTIONS: u64 = 120;
const WORK_MS: u64 = 40;
/// Loads among which the peak goodput is searched, as fractions of the capacity.
const PEAK_LOAD_FACTORS: [f64; 3] = [0.8, 1.0, 1.2];
/// The overload, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Duration of each load.
const PEAK_DURATION: Duration = Duration::from_secs(3);
const OVERLOAD_DURATION: Duration = Duration::from_secs(6);
/// Smallest fraction of the peak goodput that is reached in overload (bound B6).
const MIN_GOODPUT_RATIO: f64 = 0.9;
/// Longest time until a shed request gets its response, at p99 (bound B6).
const MAX_SHED_LATENCY: Duration = Duration::from_millis(50);

/// Guards against goodput that collapses in overload (bound B6), and against backend servers that get
/// more concurrent requests or connections than they allow (bound B8).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn goodput_stays_near_the_peak_at_twice_the_capacity() -> anyhow::Result<()> {
    limited(async {
        let mesh = start().await?;
        let mut peak = 0.0_f64;
        for load_factor in PEAK_LOAD_FACTORS {
            let samples = run(&mesh, load_factor, PEAK_DURATION).await?;
            peak = peak.max(goodput(&samples, PEAK_DURATION));
        }
        let samples = run(&mesh, OVERLOAD_FACTOR, OVERLOAD_DURATION).await?;
        let overload = goodput(&samples, OVERLOAD_DURATION);
        println!("peak {peak:.0}/s, in overload {overload:.0}/s");
        check_backends(&mesh).await?;
        ensure!(
            overload >= MIN_GOODPUT_RATIO * peak,
            "goodput {overload:.0}/s"
        );
        let unknown = latencies(&samples, Outcome::Unknown);
        ensure!(unknown.is_empty(), "{} outcomes are unknown", unknown.len());
        Ok(())
    })
    .await
}

/// Guards against requests that are shed so late that the caller has no time left for a retry (bound
/// B6).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn shed_requests_are_answered_soon() -> anyhow::Result<()> {
    limited(async {
        let mesh = start().await?;
        let samples = run(&mesh, OVERLOAD_FACTOR, OVERLOAD_DURATION).await?;
        let shed = latencies(&samples, Outcome::NotRun);
        let percentile = |percent| shed.get(shed.len() * percent / 100).copied();
        let p99 = percentile(99).context("no request was shed")?;
        println!("{} of {} shed", shed.len(), samples.len());
        println!(
            "answered within {:?} at p50, {p99:?} at p99",
            percentile(50)
        );
        ensure!(
            p99 <= MAX_SHED_LATENCY,
            "shed responses after {p99:?} at p99"
        );
        Ok(())
    })
    .await
}

async fn start() -> anyhow::Result<Mesh> {
    let mut mesh = fleet::start(&NODES[..4], &[]).await?;
    for host in BACKENDS {
        let mut spec = calendar_on(host);
        spec.work_ms = WORK_MS;
        let settings = [("slots", SLOTS), ("max_connections", MAX_CONNECTIONS)];
        mesh.start_backend_with(&spec, &settings)?;
    }
    for host in mesh.hosts() {
        let address = mesh.node(host).callers;
        mesh.until(
            "the servers are discovered",
            Duration::from_secs(5),
            || async {
                let reply = mesh.client.get(address, "/today").await.ok()?;
                (reply.status == 200).then_some(())
            },
        )
        .await?;
    }
    Ok(mesh)
}

/// Sends requests at the rate of `load_factor` times the capacity for `time`.
async fn run(mesh: &Mesh, load_factor: f64, time: Duration) -> anyhow::Result<Vec<Sample>> {
    let capacity = (BACKENDS.len() as u64 * SLOTS * 1_000 / WORK_MS) as f64;
    let load = OpenLoop {
        addresses: mesh.hosts().map(|h| mesh.node(h).callers).collect(),
        path: "/today",
        rate: load_factor * capacity,
        time,
    };
    load.run(&mesh.client).await
}

/// Requests per second that were answered within `time`.
fn goodput(samples: &[Sample], time: Duration) -> f64 {
    let answered = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Answered && s.ended <= time);
    answered.count() as f64 / time.as_secs_f64()
}

/// Latencies of the requests with `outcome`, in ascending order.
fn latencies(samples: &[Sample], outcome: Outcome) -> Vec<Duration> {
    let matching = samples.iter().filter(|s| s.outcome == outcome);
    let mut latencies: Vec<_> = matching.map(|s| s.took).collect();
    latencies.sort();
    latencies
}

async fn check_backends(mesh: &Mesh) -> anyhow::Result<()> {
    for host in BACKENDS {
        let name = format!("{host}-calendar-v1");
        let stats = mesh.backend_stats(&name).await?;
        println!("{name}: {stats}");
        let connections = stats["connections"]["peak"].as_u64();
        ensure!(
            connections.is_some_and(|n| n <= MAX_CONNECTIONS)
                && stats["connections"]["refused"] == 0,
            "too many connections to {name}: {stats}"
        );
        // The stand-in never runs more requests than it has slots; a shed request shows that it got
        // more than fit into its slots and its queue.
        let running = stats["peak_running"].as_u64();
        ensure!(
            running.is_some_and(|n| n <= SLOTS) && stats["shed"] == 0,
            "too many requests to {name}: {stats}"
        );
    }
    Ok(())
}
