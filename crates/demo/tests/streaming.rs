//! Nodes stream long bodies without buffering them whole.

use anyhow::{Context, ensure};
use http::Method;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, NODES, limited};

/// Length of the body in bytes, that of a long video.
const BODY_LEN: usize = 200 * 1024 * 1024;
/// Largest allowed growth of the peak memory of a node, in KB: many times the flow control windows of
/// both directions.
const MAX_GROWTH_KB: u64 = 48 * 1024;

/// Guards against truncated or altered bodies (hazard H5), and against nodes that buffer whole
/// bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_body_of_200_mb_passes_both_ways_in_bounded_memory() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES[..2], &["a1"]).await?;
        let address = mesh.node("a2").callers;
        let small = mesh
            .client
            .send(Method::POST, address, "/echo", &[], "small")
            .await?;
        ensure!(
            small.status == 200,
            "the echo request failed: {}",
            small.status
        );
        let before = peak_memories(&mut mesh)?;
        let body = vec![b'v'; BODY_LEN];
        let reply = mesh
            .client
            .send(Method::POST, address, "/echo", &[], body.clone())
            .await?;
        ensure!(reply.status == 200, "the upload failed: {}", reply.status);
        ensure!(
            reply.body == body,
            "the echoed body of {} bytes differs",
            reply.body.len()
        );
        for ((host, after), before) in ["a1", "a2"]
            .iter()
            .zip(peak_memories(&mut mesh)?)
            .zip(before)
        {
            println!("peak memory of {host}: {before} KB before, {after} KB after");
            let growth = after.saturating_sub(before);
            ensure!(growth <= MAX_GROWTH_KB, "{host} grew by {growth} KB");
        }
        Ok(())
    })
    .await
}

/// Peak resident memory of both nodes so far, in KB.
fn peak_memories(mesh: &mut Mesh) -> anyhow::Result<[u64; 2]> {
    Ok([peak_memory_kb(mesh, "a1")?, peak_memory_kb(mesh, "a2")?])
}

fn peak_memory_kb(mesh: &mut Mesh, host: &str) -> anyhow::Result<u64> {
    let id = mesh.process(host).id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find(|l| l.starts_with("VmHWM:"))
        .context("/proc/PID/status: no line VmHWM")?;
    let value = line
        .split_whitespace()
        .nth(1)
        .context("/proc/PID/status: VmHWM has no value")?;
    Ok(value.parse()?)
}
