//! `config`, `node` and `rollout`: what the node knows.

use crate::args::{Config, Format, Node, Rollout};
use crate::client::Client;
use crate::error::{Error, Exit};
use crate::output::{self, Text};
use knapweed_contract::api::{self, ConfigResponse, NodesResponse, RolloutsResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Shows the configuration.
pub(crate) async fn config(
    client: &Client,
    Config::Show: Config,
    format: Format,
) -> Result<Exit, Error> {
    show::<ConfigResponse>(client, api::CONFIG, format).await
}

/// Lists the nodes.
pub(crate) async fn nodes(
    client: &Client,
    Node::List: Node,
    format: Format,
) -> Result<Exit, Error> {
    show::<NodesResponse>(client, api::NODES, format).await
}

/// Lists the rollouts.
pub(crate) async fn rollouts(
    client: &Client,
    Rollout::List: Rollout,
    format: Format,
) -> Result<Exit, Error> {
    show::<RolloutsResponse>(client, api::ROLLOUTS, format).await
}

async fn show<T>(client: &Client, path: &str, format: Format) -> Result<Exit, Error>
where
    T: Default + DeserializeOwned + Serialize + Text,
{
    let answer: T = client.get(path).await?.unwrap_or_default();
    output::print(&answer, format)?;
    Ok(Exit::Done)
}
