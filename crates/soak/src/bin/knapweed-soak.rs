//! Program `knapweed-soak`: runs one or more seeds, one after the other.

use clap::Parser;
use knapweed_soak::{Kind, run};
use serde_json::Value;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Largest number of seeds of one invocation; each takes half a minute.
const MAX_SEEDS: u64 = 200;

/// Randomized fault injection into the real programs, which must be built and be
/// in the same folder as this one.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// First seed; a random one by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=MAX_SEEDS))]
    seeds: u64,
    /// Adds losses of the store and reloads of nodes to the faults of each seed.
    #[arg(long)]
    losses: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        code = run_all(&args) => Ok(code),
        // Dropping the run kills the processes that it started.
        _ = terminate.recv() => Ok(ExitCode::FAILURE),
        _ = interrupt.recv() => Ok(ExitCode::FAILURE),
    }
}

async fn run_all(args: &Args) -> ExitCode {
    let first = args
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let kind = match args.losses {
        true => Kind::WithLosses,
        false => Kind::Faults,
    };
    let mut code = ExitCode::SUCCESS;
    for seed in first..first.saturating_add(args.seeds) {
        match run(kind, seed).await {
            Ok(report) => {
                println!("{}", Value::from(&report));
                if !report.broken.is_empty() {
                    code = ExitCode::FAILURE;
                }
            }
            Err(err) => {
                println!("seed {seed}: {err:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}
