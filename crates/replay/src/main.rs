//! Command-line tool that replays recorded traces and checks their expected
//! outcomes.

use anyhow::{Context, Result};
use clap::Parser;
use knapweed_trace::{Trace, replay};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Every expected outcome is met.
const EXIT_MET: u8 = 0;
/// At least one expected outcome is missed.
const EXIT_MISSED: u8 = 1;
/// A trace is unreadable, or the output cannot be written. Takes precedence over
/// the other codes, since the files are combined by the largest one.
const EXIT_UNREADABLE: u8 = 2;

/// Replays traces and prints a line per expected outcome.
///
/// Exit codes: 0 when every outcome is met, 1 when one is missed, 2 when a
/// trace is unreadable.
#[derive(Debug, Parser)]
#[command(name = "knapweed-replay", version)]
struct Args {
    /// Traces to replay.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut code = EXIT_MET;
    for file in &args.files {
        code = code.max(replay_file(file).unwrap_or_else(print_error));
    }
    ExitCode::from(code)
}

fn replay_file(file: &Path) -> Result<u8> {
    let trace = Trace::read(file)?;
    let mut code = EXIT_MET;
    for check in replay(&trace) {
        if !check.is_met {
            code = EXIT_MISSED;
        }
        writeln!(io::stdout(), "{}: {check}", file.display()).context("cannot write the result")?;
    }
    Ok(code)
}

fn print_error(error: anyhow::Error) -> u8 {
    eprintln!("knapweed-replay: {error:#}");
    EXIT_UNREADABLE
}
