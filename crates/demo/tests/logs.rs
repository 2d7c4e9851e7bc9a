//! Log lines of real processes about a failed request.

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::Method;
use knapweed_demo::fleet::{self, NODES, limited};
use std::time::{Duration, Instant};

/// Idempotency key of the request, by which its log line is found.
const IDEMPOTENCY_KEY: &str = "order-4711";
/// Longest time until the log line is written.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against a failed request that cannot be found in the log: the log line of the ingress holds
/// its idempotency key, the configuration version, the route, the outcome and the cause.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failed_request_is_found_by_its_name() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES[..2], &[]).await?;
        let address = mesh.node(NODES[0].host).callers;
        let headers = [("idempotency-key", IDEMPOTENCY_KEY)];
        let sent = mesh
            .client
            .send(Method::POST, address, "/today", &headers, Bytes::new());
        let reply = sent.await?;
        ensure!(reply.status == 503, "status {}", reply.status);
        let process = mesh.process(NODES[0].host);
        let start = Instant::now();
        let line = loop {
            let log = process.log();
            let mut lines = log.lines().rev();
            let found =
                lines.find(|line| line.contains(IDEMPOTENCY_KEY) && line.contains("took_ms="));
            if let Some(line) = found {
                break line.to_owned();
            }
            let last = log.lines().last().unwrap_or_default().to_owned();
            ensure!(
                start.elapsed() < LOG_TIMEOUT,
                "no log line about the request; the last line is {last}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        let (_, text) = line
            .split_once("ingress: ")
            .context("the line has no log target")?;
        let stable = text.split(' ').filter(|word| !word.contains("_ms="));
        insta::assert_snapshot!(stable.collect::<Vec<_>>().join(" "));
        Ok(())
    })
    .await
}
