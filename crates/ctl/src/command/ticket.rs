//! The command `ticket`, which files change tickets and reports their state.

use crate::args::{Format, Ticket as Command};
use crate::client::Client;
use crate::error::{Error, Exit};
use crate::output;
use bytes::Bytes;
use knapweed_contract::api::{self, FileResponse, TicketResponse, TicketsResponse};
use knapweed_contract::result::Ending;
use knapweed_contract::{Outcome, Ticket};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Interval at which a ticket is polled while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read of a document.
const MAX_READ_LEN: u64 = 16 << 20;

/// Runs a subcommand of `ticket`.
pub(crate) async fn run(client: &Client, command: Command, format: Format) -> Result<Exit, Error> {
    match command {
        Command::File { file } => self::file(client, file, format).await,
        Command::Show { number } => show(client, number, format).await,
        Command::List => list(client, format).await,
        Command::Wait { number, timeout } => wait(client, number, timeout, format).await,
    }
}

async fn file(client: &Client, path: PathBuf, format: Format) -> Result<Exit, Error> {
    let document = read(&path).map_err(|source| Error::Read { path, source })?;
    let response = match Ticket::parse(&document) {
        Ok(_) => client.file(document).await?,
        Err(error) => FileResponse::new(None, Outcome::Malformed { error }),
    };
    output::print(&response, format)?;
    Ok(match response.outcome {
        Outcome::Accepted { .. } => Exit::Done,
        Outcome::Unavailable { .. } | Outcome::Unknown { .. } => Exit::Unreachable,
        Outcome::Malformed { .. }
        | Outcome::NumberTaken { .. }
        | Outcome::Refused { .. }
        | Outcome::Superseded { .. } => Exit::Refused,
    })
}

/// Reads a document, truncated to [`MAX_READ_LEN`], which is far above the limit for
/// tickets.
fn read(path: &Path) -> io::Result<Bytes> {
    let source: Box<dyn Read> = match path.to_str() {
        Some("-") => Box::new(io::stdin()),
        _ => Box::new(File::open(path)?),
    };
    let mut document = Vec::new();
    source.take(MAX_READ_LEN).read_to_end(&mut document)?;
    Ok(document.into())
}

async fn show(client: &Client, number: u64, format: Format) -> Result<Exit, Error> {
    let response = get(client, number).await?.ok_or(Error::NotFiled(number))?;
    output::print(&response, format)?;
    Ok(Exit::Done)
}

async fn list(client: &Client, format: Format) -> Result<Exit, Error> {
    let response: Option<TicketsResponse> = client.get(api::TICKETS).await?;
    output::print(&response.unwrap_or_default(), format)?;
    Ok(Exit::Done)
}

async fn wait(client: &Client, number: u64, seconds: u64, format: Format) -> Result<Exit, Error> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let timed_out = || Error::TimedOut { number, seconds };
    loop {
        let polled = timeout_at(deadline, get(client, number)).await;
        let polled = polled.map_err(|_| timed_out())?;
        if let Ok(Some(response)) = &polled
            && let Some(result) = &response.record.result
        {
            output::print(response, format)?;
            return Ok(exit_of(&result.ending));
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            return Err(polled.err().unwrap_or_else(timed_out));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn get(client: &Client, number: u64) -> Result<Option<TicketResponse>, Error> {
    client.get(&format!("{}/{number}", api::TICKETS)).await
}

fn exit_of(ending: &Ending) -> Exit {
    match ending {
        Ending::Completed | Ending::InForce => Exit::Done,
        Ending::PulledBack { .. } | Ending::Refused { .. } | Ending::Superseded { .. } => {
            Exit::Refused
        }
    }
}
