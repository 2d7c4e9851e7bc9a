//! What the logs of real processes tell about a request that failed.

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::Method;
use knapweed_demo::fleet::{self, PLACES, limited};
use std::time::{Duration, Instant};

/// Name that the caller gives its request.
const REQUEST: &str = "order-4711";
/// Longest time until a line is written.
const WRITTEN: Duration = Duration::from_secs(3);

/// Guards against a failed request that left no trace: its line at the ingress
/// names it, the configuration, the route, the outcome and its cause.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failed_request_is_found_by_its_name() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&PLACES[..2], &[]).await?;
        let address = mesh.node(PLACES[0].host).callers;
        let headers = [("idempotency-key", REQUEST)];
        let sent = mesh
            .client
            .send(Method::POST, address, "/today", &headers, Bytes::new());
        let reply = sent.await?;
        ensure!(reply.status == 503, "status {}", reply.status);
        let process = mesh.process(PLACES[0].host);
        let start = Instant::now();
        let line = loop {
            let log = process.log();
            let mut lines = log.lines().rev();
            let found = lines.find(|line| line.contains(REQUEST) && line.contains("took_ms="));
            if let Some(line) = found {
                break line.to_owned();
            }
            let last = log.lines().last().unwrap_or_default().to_owned();
            ensure!(start.elapsed() < WRITTEN, "no line; the last one is {last}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        let (_, text) = line.split_once("ingress: ").context("no prefix")?;
        let stable = text.split(' ').filter(|word| !word.contains("_ms="));
        insta::assert_snapshot!(stable.collect::<Vec<_>>().join(" "));
        Ok(())
    })
    .await
}
