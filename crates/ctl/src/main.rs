//! The command-line program for operators.

mod args;
mod client;
mod command;
mod error;
mod output;

use args::Args;
use clap::Parser;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let exit = match command::run(args).await {
        Ok(exit) => exit,
        Err(e) => {
            eprintln!("knapweedctl: {e}");
            e.exit()
        }
    };
    exit.into()
}
