//! Command-line arguments. The doc comments of the types are the help texts.

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use knapweed_world::Name;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Operator address of the node that is asked when no `--node` is given.
const DEFAULT_NODE: &str = "127.0.0.1:7070";
/// Maximum time to wait for a result, in seconds; no rollout takes longer.
const MAX_WAIT_S: u64 = 30 * 24 * 3_600;

/// Files change tickets and shows the state of the mesh.
///
/// Exit codes: 0 done; 1 ticket refused, pulled back or superseded; 2 bad usage
/// or settings; 3 could not reach a node; 4 timed out waiting.
#[derive(Debug, Parser)]
#[command(name = "knapweedctl", version)]
pub(crate) struct Args {
    /// Operator address of a node; repeat it to name further ones, tried in order.
    #[arg(long = "node", value_name = "ADDRESS", global = true, default_value = DEFAULT_NODE)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Form of the output.
    #[arg(long, value_enum, global = true, default_value_t = Format::Text)]
    pub(crate) output: Format,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// Sentences and lines for people.
    Text,
    /// One JSON document.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// File and follow change tickets.
    #[command(subcommand)]
    Ticket(Ticket),
    /// The accepted configuration.
    #[command(subcommand)]
    Config(Config),
    /// The nodes of the mesh.
    #[command(subcommand)]
    Node(Node),
    /// Moves of traffic to new versions.
    #[command(subcommand)]
    Rollout(Rollout),
    /// Settings files of nodes.
    #[command(subcommand)]
    Settings(Settings),
    /// Certificates for development.
    #[command(subcommand)]
    Certificates(Certificates),
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page, or write all manual pages to a directory.
    Man {
        /// Directory to write to; it must exist.
        #[arg(long, value_name = "DIR")]
        directory: Option<PathBuf>,
    },
}

/// Commands on tickets.
#[derive(Debug, Subcommand)]
pub(crate) enum Ticket {
    /// File a ticket, or resume its acceptance.
    File {
        /// The JSON document; `-` reads the standard input.
        file: PathBuf,
    },
    /// Show the state of a ticket.
    Show {
        /// Its number.
        number: u64,
    },
    /// List all tickets.
    List,
    /// Wait for the final result of a ticket.
    Wait {
        /// Its number.
        number: u64,
        /// Longest time to wait, in seconds.
        #[arg(long, value_name = "SECONDS", default_value_t = 600,
            value_parser = clap::value_parser!(u64).range(1..=MAX_WAIT_S))]
        timeout: u64,
    },
}

/// Commands on the configuration.
#[derive(Debug, Subcommand)]
pub(crate) enum Config {
    /// Show the configuration that the node serves.
    Show,
}

/// Commands on nodes.
#[derive(Debug, Subcommand)]
pub(crate) enum Node {
    /// List the nodes that the node knows.
    List,
}

/// Commands on rollouts.
#[derive(Debug, Subcommand)]
pub(crate) enum Rollout {
    /// List the rollouts that the node knows.
    List,
}

/// Commands on settings.
#[derive(Debug, Subcommand)]
pub(crate) enum Settings {
    /// Check the settings file of any program of the project.
    Check {
        /// The settings file (INI).
        file: PathBuf,
    },
}

/// Commands on certificates.
#[derive(Debug, Subcommand)]
pub(crate) enum Certificates {
    /// Create a certificate authority and a host certificate in a directory.
    Create {
        /// The directory.
        directory: PathBuf,
        /// Name of the host.
        #[arg(long, value_name = "NAME")]
        host: Name,
        /// Address of the host; repeat it for further ones.
        #[arg(long = "address", value_name = "IP", required = true)]
        addresses: Vec<IpAddr>,
    },
}
