//! Background traffic during a demonstration.

use crate::client::Reply;
use crate::mesh::Mesh;
use std::time::Duration;

/// Upper bound on the number of calls.
const MAX_CALLS: usize = 100_000;

/// Number of calls by outcome. Calls without an HTTP response are not counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Answered by a backend server with a status below 500.
    pub answered: u64,
    /// Answered by a backend server with a status of 500 or above.
    pub failed: u64,
    /// Reported as not run.
    pub not_run: u64,
    /// Reported with an unknown outcome, or without one.
    pub unknown: u64,
}

/// A task that calls through all nodes in turn, one call at a time, until it is stopped.
pub struct Traffic {
    stop: tokio::sync::watch::Sender<bool>,
    task: tokio::task::JoinHandle<Counts>,
}

impl Traffic {
    /// Starts the task with the nodes of `hosts`.
    pub fn start(mesh: &Mesh, hosts: &[&str]) -> Self {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let nodes: Vec<_> = hosts.iter().map(|host| mesh.node(host).callers).collect();
        let client = mesh.client.clone();
        let task = tokio::spawn(async move {
            let mut counts = Counts::default();
            for address in nodes.iter().cycle().take(MAX_CALLS) {
                if *stopped.borrow() {
                    break;
                }
                if let Ok(reply) = client.get(*address, "/calendar/today").await {
                    counts.add(&reply);
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            counts
        });
        Self { stop, task }
    }

    /// Stops the task and returns its counts.
    ///
    /// # Errors
    ///
    /// The task has panicked.
    pub async fn stop(self) -> anyhow::Result<Counts> {
        self.stop.send_replace(true);
        Ok(self.task.await?)
    }
}

impl Counts {
    fn add(&mut self, reply: &Reply) {
        match reply.header("knapweed-outcome") {
            "answered" if reply.status.is_server_error() => self.failed += 1,
            "answered" => self.answered += 1,
            "not-run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }
}
