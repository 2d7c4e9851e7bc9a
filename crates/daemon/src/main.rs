//! Entry point of the node daemon with the project's own interfaces.

use clap::Parser;
use knapweed_daemon::{run, settings};
use knapweed_observe::part;
use knapweed_settings::print_errors;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code when an address, certificate or key cannot be used.
const EXIT_FAILED: u8 = 3;

/// The node of one host: proxy for callers, egress for the backend servers of
/// the host, and member of its availability zone.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The settings file (INI).
    #[arg(long)]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let options = match settings::load(&args.settings) {
        Ok(options) => options,
        Err(errors) => return print_errors(&errors),
    };
    if args.check {
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(options) {
        Ok(code) => code,
        Err(err) => {
            log::error!(target: part::PROGRAM, "{err:#}");
            eprintln!("knapweed-node: {err:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start(options: settings::Options) -> anyhow::Result<ExitCode> {
    let logs = knapweed_observe::settings::start(&options.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .thread_name("request")
        .enable_all()
        .build()?;
    runtime.block_on(run::run(options, logs))
}
