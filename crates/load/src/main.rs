//! Program `knapweed-load`: an open-loop load generator that reports latency quantiles.

use clap::{Parser, ValueEnum};
use knapweed_load::options::{parse_method, parse_target};
use knapweed_load::{Options, Report, run, settings};
use knapweed_settings::{Errors, print_errors};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code if a response body differed from the body of its request.
const EXIT_WRONG_BODY: u8 = 1;

/// Format in which the report is printed.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Output {
    /// JSON document.
    Json,
    /// Human-readable text.
    Text,
}

/// Open-loop load generator: sends requests at planned times and reports latencies
/// and outcomes. Command line options take precedence over the settings file.
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
    /// Report each of two targets and the difference of their latencies.
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
    /// Check that each response repeats the request body, which is unique for each request.
    #[arg(long)]
    check_echo: bool,
    /// Send a unique idempotency key with each request.
    #[arg(long)]
    keys: bool,
    /// Longest time to wait for a response, in milliseconds.
    #[arg(long, value_name = "MS")]
    timeout_ms: Option<u64>,
    /// Length of the warm-up in milliseconds, whose requests are not reported.
    #[arg(long, value_name = "MS")]
    warm_up_ms: Option<u64>,
    /// Format of the report.
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

    /// Overrides `options` with the options of the command line.
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
        override_option(&mut options.rate, self.rate);
        override_option(&mut options.max_requests, self.max_requests);
        override_option(&mut options.body_len, self.body_bytes);
        override_option(
            &mut options.duration,
            self.duration_ms.map(Duration::from_millis),
        );
        override_option(
            &mut options.timeout,
            self.timeout_ms.map(Duration::from_millis),
        );
        override_option(
            &mut options.warm_up,
            self.warm_up_ms.map(Duration::from_millis),
        );
        options.check()?;
        Ok(options)
    }
}

fn override_option<T>(value: &mut T, by: Option<T>) {
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
