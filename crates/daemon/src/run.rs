//! Assembles and runs a node with the project's own interfaces.

use crate::settings::Options;
use knapweed_contract::accept::Policy;
use knapweed_contract::check::Defaults;
use knapweed_node::control::view::ViewShares;
use knapweed_node::node::{Adapters, Node, NodeIdentity, listen};
use knapweed_node::operators;
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::signals::Signals;
use knapweed_node::source::tickets::TicketSource;
use knapweed_observe::{Logs, part};
use knapweed_platform::store::HttpStore;
use knapweed_store::ObjectStore;
use knapweed_transport::tls::Identity;
use std::process::ExitCode;
use std::sync::Arc;

/// Runs a node until it has stopped gracefully or is terminated.
///
/// # Errors
///
/// Fails when an address cannot be bound, or the certificate or key cannot be
/// loaded.
pub async fn run(options: Options, logs: Logs) -> anyhow::Result<ExitCode> {
    let signals = Signals::install()?;
    let client = HttpStore::builder(options.platform)
        .request_timeout(options.platform_timeout)
        .build();
    let store: Arc<dyn ObjectStore> = Arc::new(HttpStore::new(client));
    let adapters = Adapters {
        configs: Arc::new(TicketSource::new(Arc::clone(&store))),
        orders: None,
        evacuations: None,
        store,
        callers: Box::new(NativeHeaders),
        servers: Arc::new(NativeHeaders),
        identity: Identity::load(&options.tls)?,
    };
    let listener = listen(options.operators).await?;
    let node = Node::builder(node_identity(&options))
        .region_bytes_per_s(options.region_bytes_per_s)
        .resources(options.resources)
        .quota_tolerance(options.quota_tolerance)
        .start(adapters)
        .await?;
    let policy = Policy {
        defaults: Defaults {
            deadline: options.deadline,
            caution: options.caution,
            ..Defaults::default()
        },
        traffic: Arc::new(ViewShares(Arc::clone(node.view()))),
    };
    let router = operators::router(node.operators(policy, logs));
    tokio::spawn(gotham::bind_server(listener, router, |stream| {
        std::future::ready(Ok(stream))
    }));
    log::info!(target: part::PROGRAM, "serves operators on {}", options.operators);
    Ok(node.run(signals, |node| reload(node, &options)).await)
}

/// Reloads the certificate and the key of the node, so that they can be renewed
/// without a restart; on an error the old ones stay in use.
fn reload(node: &mut Node, options: &Options) {
    let identity = Identity::load(&options.tls).map_err(anyhow::Error::from);
    match identity.and_then(|identity| node.renew_identity(&identity)) {
        Ok(()) => log::info!(target: part::PROGRAM, "loaded the certificate and the key again"),
        Err(err) => log::error!(target: part::PROGRAM, "kept the old certificate: {err:#}"),
    }
}

fn node_identity(options: &Options) -> NodeIdentity {
    NodeIdentity {
        host: options.host.clone(),
        zone: options.zone.clone(),
        region: options.region.clone(),
        service: None,
        callers: options.callers,
        nodes: options.nodes,
        seeds: options.seeds.clone(),
    }
}
