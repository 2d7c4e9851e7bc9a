//! Open-loop load program with latency histograms.

use clap::{Parser, ValueEnum};
use knapweed_load::options::{parse_method, parse_target};
use knapweed_load::{Options, Report, run, settings};
use knapweed_settings::{Errors, print_errors};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code when a response had a body that was not the one sent.
const EXIT_WRONG_BODY: u8 = 1;

/// Form of the report.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Output {
    /// A JSON document.
    Json,
    /// Text for people.
    Text,
}

/// Open-loop load program: sends requests at fixed times and reports latencies
/// and outcomes. Options on the command line take precedence over the settings.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Settings file.
    #[arg(long, value_name = "FILE", required_unless_present = "target")]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// URL of a target; may be repeated, targets are used in turn.
    #[arg(long, value_name = "URL")]
    target: Vec<String>,
    /// Report two targets apart and the difference of their latencies.
    #[arg(long)]
    compare: bool,
    /// Requests per second, over all targets.
    #[arg(long)]
    rate: Option<u64>,
    /// Length of the run in milliseconds, at most 120,000.
    #[arg(long, value_name = "MS")]
    duration_ms: Option<u64>,
    /// End the run after this many requests.
    #[arg(long, value_name = "COUNT")]
    max_requests: Option<u64>,
    /// Method of the requests.
    #[arg(long)]
    method: Option<String>,
    /// Length of each body in bytes.
    #[arg(long, value_name = "BYTES")]
    body_bytes: Option<u64>,
    /// Check that each answer repeats the body, which differs in each request.
    #[arg(long)]
    check_echo: bool,
    /// Give each request an idempotency key of its own.
    #[arg(long)]
    keys: bool,
    /// Longest time to wait for an answer, in milliseconds.
    #[arg(long, value_name = "MS")]
    timeout_ms: Option<u64>,
    /// Do not report the requests of this first part of the run.
    #[arg(long, value_name = "MS")]
    warm_up_ms: Option<u64>,
    /// Form of the report.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

impl Arguments {
    fn base(&self) -> Result<Options, Errors> {
        match &self.settings {
            Some(file) => settings::load(file),
            None => settings::defaults(&self.target),
        }
    }

    /// Applies the options of the command line.
    fn apply(&self, mut options: Options) -> anyhow::Result<Options> {
        if !self.target.is_empty() {
            let targets = self.target.iter().map(|t| parse_target(t));
            options.targets = targets.collect::<Result<_, _>>()?;
        }
        if let Some(method) = &self.method {
            options.method = parse_method(method)?;
        }
        options.compare |= self.compare;
        options.check_echo |= self.check_echo;
        options.keys |= self.keys;
        replace(&mut options.rate, self.rate);
        replace(&mut options.max_requests, self.max_requests);
        replace(&mut options.body_len, self.body_bytes);
        replace(
            &mut options.duration,
            self.duration_ms.map(Duration::from_millis),
        );
        replace(
            &mut options.timeout,
            self.timeout_ms.map(Duration::from_millis),
        );
        replace(
            &mut options.warm_up,
            self.warm_up_ms.map(Duration::from_millis),
        );
        options.check()?;
        Ok(options)
    }
}

fn replace<T>(value: &mut T, by: Option<T>) {
    if let Some(by) = by {
        *value = by;
    }
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    let options = match arguments.base() {
        Ok(options) => options,
        Err(errors) => return Ok(print_errors(&errors)),
    };
    let options = match arguments.apply(options) {
        Ok(options) => options,
        Err(e) => {
            eprintln!("command line: {e}");
            return Ok(ExitCode::from(knapweed_settings::EXIT_BAD_SETTINGS));
        }
    };
    if arguments.check {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let report = start(options)?;
    match arguments.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        Output::Text => print!("{report}"),
    }
    Ok(match report.wrong_bodies() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_WRONG_BODY),
    })
}

fn start(options: Options) -> anyhow::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(run(options)))
}
