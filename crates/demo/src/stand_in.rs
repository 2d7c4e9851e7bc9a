//! Injection of faults into the stand-ins for the platform and for backend servers, and their
//! counters.

use crate::client::Client;
use crate::mesh::Mesh;
use http::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Number of calls that the platform's stand-in has received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Number of reads, lists and watches.
    pub reads: u64,
    /// Number of writes and deletions.
    pub writes: u64,
}

/// Control of the platform's stand-in.
impl Mesh {
    /// Replaces the faults of the platform's stand-in; a fault whose field is absent is off.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond, or rejects the document.
    pub async fn set_platform_faults(&self, faults: Value) -> anyhow::Result<()> {
        put_faults(&self.client, self.platform(), faults).await
    }

    /// Makes the platform's stand-in keep a copy of its objects, instead of an earlier one.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub async fn back_up_platform(&self) -> anyhow::Result<()> {
        self.control_platform("/backup").await
    }

    /// Makes the platform's stand-in come back from the last copy: all later changes are lost.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond, or has no copy.
    pub async fn restore_platform(&self) -> anyhow::Result<()> {
        self.control_platform("/restore").await
    }

    async fn control_platform(&self, path: &str) -> anyhow::Result<()> {
        let sent = self
            .client
            .send(Method::POST, self.platform(), path, &[], "{}");
        let reply = sent.await?;
        anyhow::ensure!(reply.status == 200, "{path} refused: {:?}", reply.body);
        Ok(())
    }

    /// Reads how many calls the platform's stand-in has received since its start.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub async fn platform_calls(&self) -> anyhow::Result<Calls> {
        let doc = self.client.get(self.platform(), "/calls").await?.json()?;
        Ok(Calls {
            reads: doc["reads"].as_u64().unwrap_or_default(),
            writes: doc["writes"].as_u64().unwrap_or_default(),
        })
    }
}

/// Control of backend servers.
impl Mesh {
    /// Replaces the faults of a backend server; a fault whose field is absent is off.
    ///
    /// # Errors
    ///
    /// The server does not respond, or rejects the document.
    pub async fn set_backend_faults(&self, name: &str, faults: Value) -> anyhow::Result<()> {
        put_faults(&self.client, self.backend(name), faults).await
    }

    /// Reads the ledger of a backend server.
    ///
    /// # Errors
    ///
    /// The server does not respond, or has dropped old entries.
    pub async fn ledger(&self, name: &str) -> anyhow::Result<Vec<Value>> {
        let doc = self
            .client
            .get(self.backend(name), "/ledger")
            .await?
            .json()?;
        anyhow::ensure!(
            doc["dropped"] == 0,
            "the ledger of {name} has dropped entries"
        );
        Ok(doc["entries"].as_array().cloned().unwrap_or_default())
    }

    /// Reads the counters of a backend server, in the JSON form of `/stats`.
    ///
    /// # Errors
    ///
    /// The server does not respond.
    pub async fn backend_stats(&self, name: &str) -> anyhow::Result<Value> {
        self.client.get(self.backend(name), "/stats").await?.json()
    }
}

/// Returns the idempotency keys of ledger entries, in the order in which the requests started.
pub fn identities(entries: &[Value]) -> Vec<String> {
    let keys = entries.iter().filter_map(|e| e["idempotency_key"].as_str());
    keys.map(str::to_owned).collect()
}

async fn put_faults(client: &Client, address: SocketAddr, faults: Value) -> anyhow::Result<()> {
    let body = faults.to_string();
    let reply = client
        .send(Method::PUT, address, "/faults", &[], body)
        .await?;
    anyhow::ensure!(reply.status == 200, "faults refused: {:?}", reply.body);
    Ok(())
}

/// Returns the fault document that makes the platform's stand-in fail all calls.
pub fn outage() -> Value {
    json!({ "outage": true })
}
