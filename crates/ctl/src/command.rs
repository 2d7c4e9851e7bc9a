//! Implementation of the commands.

mod certificates;
mod documentation;
mod settings;
mod state;
mod ticket;

use crate::args::{Args, Command};
use crate::client::Client;
use crate::error::{Error, Exit};

/// Runs the command that the arguments name.
pub(crate) async fn run(args: Args) -> Result<Exit, Error> {
    let client = Client::new(args.nodes);
    let format = args.output;
    match args.command {
        Command::Ticket(command) => ticket::run(&client, command, format).await,
        Command::Config(command) => state::config(&client, command, format).await,
        Command::Node(command) => state::nodes(&client, command, format).await,
        Command::Rollout(command) => state::rollouts(&client, command, format).await,
        Command::Settings(command) => settings::run(command),
        Command::Certificates(command) => certificates::run(command),
        Command::Completions { shell } => documentation::completions(shell),
        Command::Man { directory } => documentation::man(directory),
    }
}
