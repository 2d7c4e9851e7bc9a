//! `knapweed-report`: prints the burn rates and alerts of services.

use anyhow::Context;
use clap::{Parser, ValueEnum};
use knapweed_report::source::{Collected, collect};
use knapweed_report::{Options, Report, html, settings};
use knapweed_settings::{EXIT_BAD_SETTINGS, print_errors};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// At least one alert fires.
const EXIT_ALERT: u8 = 1;
/// No node or file provided a history.
const EXIT_NO_HISTORY: u8 = 3;
/// The report could not be written.
const EXIT_FAILED: u8 = 4;

/// Output format of the report.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Output {
    /// Plain text for the terminal.
    Text,
    /// A JSON document.
    Json,
    /// A self-contained HTML page with plots.
    Html,
}

/// Reports how fast services spend their error budgets, from the histories of nodes.
///
/// Exit codes: 0 when no alert fires, 1 when one does, 2 when the settings or
/// the command line are bad, 3 when no node or file provided a history, 4 when the
/// report could not be written.
#[derive(Debug, Parser)]
#[command(name = "knapweed-report", version)]
struct Args {
    /// The settings file (INI).
    #[arg(long)]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
    /// A saved history; may be repeated, and replaces the nodes and files of the settings.
    #[arg(long, value_name = "FILE")]
    file: Vec<PathBuf>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut options = match settings::load(&args.settings) {
        Ok(options) => options,
        Err(errors) => return print_errors(&errors),
    };
    if args.check {
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    if !args.file.is_empty() {
        options.nodes.clear();
        options.files = args.file;
    }
    if options.nodes.is_empty() && options.files.is_empty() {
        eprintln!("knapweed-report: the settings name no nodes and no files");
        return ExitCode::from(EXIT_BAD_SETTINGS);
    }
    run(&options, args.output).unwrap_or_else(|err| {
        eprintln!("knapweed-report: {err:#}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn run(options: &Options, output: Output) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let collected = runtime.block_on(collect(options));
    if collected.histories.is_empty() {
        for failure in &collected.failures {
            eprintln!("no history of {}: {}", failure.source, failure.reason);
        }
        return Ok(ExitCode::from(EXIT_NO_HISTORY));
    }
    let report = Report::new(&collected, options);
    let text = render(&report, &collected, output)?;
    io::stdout()
        .write_all(text.as_bytes())
        .context("could not write the report")?;
    Ok(match report.has_alerts() {
        true => ExitCode::from(EXIT_ALERT),
        false => ExitCode::SUCCESS,
    })
}

fn render(report: &Report, collected: &Collected, output: Output) -> anyhow::Result<String> {
    Ok(match output {
        Output::Text => report.to_string(),
        Output::Json => serde_json::to_string_pretty(report)? + "\n",
        Output::Html => html::page(report, &collected.histories)?,
    })
}
