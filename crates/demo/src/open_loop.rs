//! Requests at a constant rate, whatever the time of their answers.

use crate::client::Client;
use crate::load::Outcome;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Requests at a constant rate for a time.
#[derive(Clone, Debug)]
pub struct OpenLoop {
    /// Addresses to send to, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Path of the requests.
    pub path: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Time in which requests are sent.
    pub time: Duration,
}

/// An ended request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the start of the loop to the end of the request.
    pub ended: Duration,
    /// Time from when the request was due to its end.
    pub took: Duration,
}

impl OpenLoop {
    /// Sends all requests and waits for their ends.
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
