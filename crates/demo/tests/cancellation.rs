//! Closing the connection of a caller cancels its request at the backend server.

use bytes::Bytes;
use http::Method;
use knapweed_demo::fleet::{self, NODES, limited};
use std::time::Duration;

/// Guards against slots that stay occupied after the caller has closed its connection, across two
/// nodes (requirement P1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_cancels_its_request() -> anyhow::Result<()> {
    limited(async {
        let mesh = fleet::start(&NODES[..2], &["a1"]).await?;
        let address = mesh.node("a2").callers;
        mesh.until(
            "the server is discovered",
            Duration::from_secs(5),
            || async {
                let reply = mesh.client.get(address, "/today").await.ok()?;
                (reply.status == 200).then_some(())
            },
        )
        .await?;
        let headers = [("x-work-ms", "10000")];
        let call = mesh
            .client
            .send(Method::GET, address, "/slow", &headers, Bytes::new());
        let timed_out = tokio::time::timeout(Duration::from_millis(500), call).await;
        anyhow::ensure!(timed_out.is_err(), "the call ended before it was cancelled");
        mesh.until(
            "the server cancels the request",
            Duration::from_secs(2),
            || async {
                let stats = mesh.backend_stats("a1-calendar-v1").await.ok()?;
                (stats["cancelled"] == 1 && stats["running"] == 0).then_some(())
            },
        )
        .await?;
        Ok(())
    })
    .await
}
