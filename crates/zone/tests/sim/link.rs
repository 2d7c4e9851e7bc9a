//! The sending links of the nodes, which concurrent transfers of deltas share evenly.

use super::{Delivery, Sim, ms};
use knapweed_world::{ConfigVersion, Time};
use knapweed_zone::dissemination::fetch::FETCH_TIMEOUT;
use knapweed_zone::dissemination::transfers::{Transfer, Transfers};
use knapweed_zone::membership::Event;
use std::time::Duration;

/// Resolution of the simulated links.
const STEP: Duration = ms(5);
/// Interval at which a receiver reports progress.
const PROGRESS_INTERVAL: Duration = ms(100);

/// How deltas are sent.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Length of a delta, in bytes.
    pub delta_len: usize,
    /// Rate of each link, in bytes per second.
    pub bytes_per_s: f64,
    /// Whether the receiver drops a whole transfer after [`FETCH_TIMEOUT`], and the sender
    /// serves all requests at once, as releases before message version 3 did.
    pub is_former: bool,
}

/// A delta on its way.
#[derive(Debug)]
struct Sending {
    to: usize,
    version: ConfigVersion,
    left: f64,
    asked_at: Time,
    reported_at: Time,
    _transfer: Option<Transfer>,
}

/// The sending link of a node.
#[derive(Debug, Default)]
pub struct Link {
    transfers: Transfers,
    sending: Vec<Sending>,
}

impl Sim {
    /// Starts to send the delta of `version`, or answers that the node is busy.
    pub(super) fn send_delta(&mut self, node: usize, to: usize, version: ConfigVersion) {
        let Some(rules) = self.link_rules else {
            let from = node;
            return self.send(node, to, Delivery::Config { from, version });
        };
        let link = &mut self.links[node];
        let transfer = link.transfers.start(rules.delta_len);
        if transfer.is_none() && !rules.is_former {
            return self.send(node, to, Delivery::Busy { from: node });
        }
        link.sending.push(Sending {
            to,
            version,
            left: rules.delta_len as f64,
            asked_at: self.now,
            reported_at: self.now,
            _transfer: transfer,
        });
        if link.sending.len() == 1 {
            self.schedule(self.now.after(STEP), node, Delivery::LinkStep);
        }
    }

    /// Sends for the length of a step.
    pub(super) fn link_step(&mut self, node: usize) {
        let Some(rules) = self.link_rules else {
            return;
        };
        let now = self.now;
        let sending = &mut self.links[node].sending;
        let bytes = rules.bytes_per_s * STEP.as_secs_f64() / sending.len().max(1) as f64;
        let (mut done, mut reports, mut dropped) = (Vec::new(), Vec::new(), Vec::new());
        sending.retain_mut(|s| {
            s.left -= bytes;
            let is_dropped = rules.is_former && now.since(s.asked_at) >= FETCH_TIMEOUT;
            if s.left <= 0.0 {
                done.push((s.to, s.version));
            } else if is_dropped {
                dropped.push(s.to);
            } else if !rules.is_former && now.since(s.reported_at) >= PROGRESS_INTERVAL {
                s.reported_at = now;
                reports.push(s.to);
            }
            s.left > 0.0 && !is_dropped
        });
        if !sending.is_empty() {
            self.schedule(now.after(STEP), node, Delivery::LinkStep);
        }
        for (to, version) in done {
            let from = node;
            self.send(node, to, Delivery::Config { from, version });
        }
        let from = self.nodes[node].entry.address;
        for to in reports {
            self.handle(to, Event::FetchProgressed { from });
        }
        for to in dropped {
            self.handle(to, Event::FetchFailed { from });
        }
    }
}
