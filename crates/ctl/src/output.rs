//! Prints responses as text or JSON.

use crate::args::Format;
use crate::error::Error;
use knapweed_contract::api::{
    ConfigResponse, FileResponse, NodeSummary, NodesResponse, RolloutPhase, RolloutSummary,
    RolloutsResponse, TicketResponse, TicketSummary, TicketsResponse,
};
use knapweed_world::config::{Destination, VersionShare};
use serde::Serialize;
use std::io::Write;

/// A response with a human-readable text.
pub(crate) trait Text {
    /// Renders the response as lines, without a trailing line break.
    fn text(&self) -> String;
}

/// Prints a response to the standard output.
pub(crate) fn print(response: &(impl Serialize + Text), format: Format) -> Result<(), Error> {
    let text = match format {
        Format::Text => response.text(),
        Format::Json => serde_json::to_string_pretty(response).map_err(std::io::Error::from)?,
    };
    Ok(writeln!(std::io::stdout(), "{text}")?)
}

impl Text for FileResponse {
    fn text(&self) -> String {
        self.sentence.clone()
    }
}

impl Text for TicketResponse {
    fn text(&self) -> String {
        self.sentence.clone()
    }
}

impl Text for TicketsResponse {
    fn text(&self) -> String {
        join_lines(&self.tickets, ticket)
    }
}

impl Text for NodesResponse {
    fn text(&self) -> String {
        join_lines(&self.nodes, node)
    }
}

impl Text for RolloutsResponse {
    fn text(&self) -> String {
        join_lines(&self.rollouts, rollout)
    }
}

impl Text for ConfigResponse {
    fn text(&self) -> String {
        let config = &self.config;
        let mut lines = vec![format!("version {}", config.version)];
        for (name, service) in &config.services {
            let versions = shares(&service.versions);
            let ticket = service.ticket;
            lines.push(format!("service {name}: {versions} (ticket {ticket})"));
        }
        for (name, route) in &config.routes {
            let services = destinations(&route.destinations);
            lines.push(format!(
                "route {name}: {} to {services}, timeout {} ms (ticket {})",
                route.path_prefix, route.timeout_ms, route.ticket
            ));
        }
        lines.join("\n")
    }
}

/// Services of a route, with their weights when there are several.
fn destinations(list: &[Destination]) -> String {
    match list {
        [single] => single.service.to_string(),
        several => join_with(several, ", ", |d| format!("{} {}", d.service, d.weight)),
    }
}

fn join_lines<T>(items: &[T], line: impl Fn(&T) -> String) -> String {
    join_with(items, "\n", line)
}

fn join_with<T>(items: &[T], separator: &str, line: impl Fn(&T) -> String) -> String {
    items.iter().map(line).collect::<Vec<_>>().join(separator)
}

fn ticket(ticket: &TicketSummary) -> String {
    let state = ticket
        .state
        .map(variant_name)
        .unwrap_or_else(|| "unknown".to_owned());
    match ticket.version {
        Some(version) => format!("{} {state}, version {version}", ticket.ticket),
        None => format!("{} {state}", ticket.ticket),
    }
}

fn node(node: &NodeSummary) -> String {
    let NodeSummary {
        host,
        zone,
        address,
        version,
        ..
    } = node;
    let state = variant_name(node.state);
    let mut line = format!("{host} {zone} {address} {state}, version {version}");
    for server in &node.backend_servers {
        let state = variant_name(server.state);
        line += &format!("; {} {} {state}", server.service, server.version);
    }
    if let Some(error) = &node.error {
        line += &format!("; error: {error}");
    }
    line
}

fn rollout(rollout: &RolloutSummary) -> String {
    let phase = match &rollout.phase {
        RolloutPhase::Warming => "warming".to_owned(),
        RolloutPhase::Ramping { share } => format!("ramping at {share}"),
        RolloutPhase::Holding { share } => format!("holding at {share}"),
        RolloutPhase::Completed => "completed".to_owned(),
        RolloutPhase::PulledBack { reason } => format!("pulled back: {reason}"),
    };
    format!("{} (ticket {}): {phase}", rollout.service, rollout.ticket)
}

fn shares(versions: &[VersionShare]) -> String {
    let share = |v: &VersionShare| format!("{} {}", v.version, v.share);
    versions.iter().map(share).collect::<Vec<_>>().join(", ")
}

/// Name of an enum variant in its serialized form.
fn variant_name(value: impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(variant)) => variant,
        _ => "unknown".to_owned(),
    }
}
