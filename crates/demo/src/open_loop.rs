//! Open-loop load: requests at a constant rate, independent of response times.

use crate::client::Client;
use crate::load::Outcome;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Parameters of an open-loop load.
#[derive(Clone, Debug)]
pub struct OpenLoop {
    /// Addresses that requests are sent to, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Path of all requests.
    pub path: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Duration for which requests are sent.
    pub time: Duration,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from the start of the load to the end of the request.
    pub ended: Duration,
    /// Time from the planned start of the request to its end.
    pub took: Duration,
}

impl OpenLoop {
    /// Sends all requests and waits until each has ended.
    ///
    /// # Errors
    ///
    /// The task of a request panicked.
    pub async fn run(&self, client: &Client) -> anyhow::Result<Vec<Sample>> {
        let start = Instant::now();
        let total = (self.rate * self.time.as_secs_f64()) as usize;
        let mut tasks = Vec::with_capacity(total);
        for number in 0..total {
            let due = start + Duration::from_secs_f64(number as f64 / self.rate);
            tokio::time::sleep_until(due.into()).await;
            let address = self.addresses[number % self.addresses.len()];
            let (client, path) = (client.clone(), self.path);
            tasks.push(tokio::spawn(async move {
                let outcome = request(&client, address, path).await;
                Sample {
                    outcome,
                    ended: start.elapsed(),
                    took: due.elapsed(),
                }
            }));
        }
        let mut samples = Vec::with_capacity(total);
        for task in tasks {
            samples.push(task.await?);
        }
        Ok(samples)
    }
}

async fn request(client: &Client, address: SocketAddr, path: &str) -> Outcome {
    match client.get(address, path).await {
        Ok(reply) => match reply.header("knapweed-outcome") {
            "answered" if reply.status == 200 => Outcome::Answered,
            "answered" => Outcome::Failed,
            "not-run" => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
        Err(_) => Outcome::Cut,
    }
}
