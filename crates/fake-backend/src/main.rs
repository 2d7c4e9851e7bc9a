//! Program `knapweed-fake-backend`: a test double of a backend server with injected faults.

use anyhow::Context;
use clap::Parser;
use knapweed_fake_backend::announce::Announcer;
use knapweed_fake_backend::backend::Backend;
use knapweed_fake_backend::settings::{self, Options};
use knapweed_fake_backend::{drain, server};
use knapweed_observe::part;
use knapweed_observe::settings as log_settings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// Test double of a backend server, which injects faults on demand and records the requests it ran.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings file and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    let settings = match settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(errors) => return Ok(knapweed_settings::print_errors(&errors)),
    };
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = log_settings::start(&settings)?;
    run(Options::new(&settings))?;
    Ok(ExitCode::SUCCESS)
}

#[tokio::main]
async fn run(options: Options) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(options.listen).await;
    let listener = listener.with_context(|| format!("cannot listen on {}", options.listen))?;
    let address = listener.local_addr()?;
    let node = options.announce;
    let backend = Backend::new(options);
    log::info!(target: part::PROGRAM, "listening on {address}");
    tokio::spawn(server::serve(listener, Arc::clone(&backend)));
    let announcer = node.map(|node| {
        let announcer = Announcer::new(node, address, Arc::clone(&backend));
        tokio::spawn(announcer.run())
    });
    tokio::select! {
        () = backend.warm_up() => drop(terminate.recv().await),
        _ = terminate.recv() => {}
    }
    drain(&backend).await;
    if let Some(announcer) = announcer {
        announcer.await.context("the announcer task panicked")?;
    }
    Ok(())
}
