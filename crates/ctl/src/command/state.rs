//! The commands `config`, `node` and `rollout`, which show the state that a node
//! reports.

use crate::args::{Config, Format, Node, Rollout};
use crate::client::Client;
use crate::error::{Error, Exit};
use crate::output::{self, Text};
use knapweed_contract::api::{self, ConfigResponse, NodesResponse, RolloutsResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Shows the accepted configuration.
pub(crate) async fn config(
    client: &Client,
    Config::Show: Config,
    format: Format,
) -> Result<Exit, Error> {
    show::<ConfigResponse>(client, api::CONFIG, format).await
}

/// Lists the nodes of the mesh.
pub(crate) async fn nodes(
    client: &Client,
    Node::List: Node,
    format: Format,
) -> Result<Exit, Error> {
    show::<NodesResponse>(client, api::NODES, format).await
}

/// Lists the current rollouts.
pub(crate) async fn rollouts(
    client: &Client,
    Rollout::List: Rollout,
    format: Format,
) -> Result<Exit, Error> {
    show::<RolloutsResponse>(client, api::ROLLOUTS, format).await
}

/// Prints the document at `path`, or an empty one when the node has none.
async fn show<T>(client: &Client, path: &str, format: Format) -> Result<Exit, Error>
where
    T: Default + DeserializeOwned + Serialize + Text,
{
    let response: T = client.get(path).await?.unwrap_or_default();
    output::print(&response, format)?;
    Ok(Exit::Done)
}
