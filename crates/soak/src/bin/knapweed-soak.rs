//! Runs seeds of the soak one after the other.

use clap::Parser;
use knapweed_soak::run;
use serde_json::Value;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Most seeds of one call; each takes half a minute.
const MAX_SEEDS: u64 = 200;

/// Randomized fault soak of the real programs, which must be built and stand
/// beside this one.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// First seed; without one, a fresh one is drawn.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=MAX_SEEDS))]
    seeds: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        code = run_all(&args) => Ok(code),
        // Dropping the run ends the processes that it started.
        _ = terminate.recv() => Ok(ExitCode::FAILURE),
        _ = interrupt.recv() => Ok(ExitCode::FAILURE),
    }
}

async fn run_all(args: &Args) -> ExitCode {
    let first = args
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut code = ExitCode::SUCCESS;
    for seed in first..first.saturating_add(args.seeds) {
        match run(seed).await {
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
