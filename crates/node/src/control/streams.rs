//! Handles streams of other nodes, and fetches configurations from them.

use super::deltas::{self, Fetched};
use super::messages::reply;
use super::{Controller, Event, Staleness};
use crate::source::LoadedConfig;
use knapweed_link::{Delta, PartTag};
use knapweed_observe::part;
use knapweed_transport::IncomingStream;
use knapweed_wire::StreamHead;
use knapweed_world::{ConfigVersion, Time};
use knapweed_zone::membership;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of problems of one configuration that are logged.
const MAX_LOGGED_PROBLEMS: usize = 20;

/// Dispatch of the streams that other nodes open.
impl Controller {
    pub(super) fn stream_opened(&mut self, now: Time, head: StreamHead, incoming: IncomingStream) {
        match head {
            StreamHead::FetchConfig { have } => self.reply_with_delta(have, incoming),
            StreamHead::FetchMembers(digest) => {
                reply(
                    incoming,
                    &self.membership.directory().differing_records(now, &digest),
                );
            }
            StreamHead::Rollouts { states, holder } => {
                self.states_received(now, incoming.from, states, holder);
            }
            StreamHead::Report { service, report } => self.report_received(&service, &report),
            StreamHead::Established => self.reply_with_established(incoming),
            StreamHead::Floor { host } => self.reply_with_floor(&host, incoming),
            StreamHead::Crashes(records) => self.dependencies.egress.merge_crashes(records),
            StreamHead::CompareCrashes(digest) => self.reply_with_crashes(incoming, digest),
            StreamHead::Evacuations(list) => self.evacuations_received(now, incoming.from, &list),
            StreamHead::Quotas { host, request } => {
                self.reply_with_tokens(now, &host, &request, incoming);
            }
            // Passed to the egress before they reach the control thread.
            StreamHead::Request(_) | StreamHead::Inquire { .. } => {}
        }
    }
}

/// Sending, fetching and applying configurations.
impl Controller {
    /// Replies with a delta, or that this node is busy. While it sends a long delta, it builds
    /// no other one, which takes the control thread of a small host a while.
    fn reply_with_delta(&mut self, have: Vec<PartTag>, incoming: IncomingStream) {
        if self.transfers.is_full() && !self.configs.has_delta_for(&have) {
            return deltas::reply_busy(incoming);
        }
        match self.configs.delta_for(have) {
            Ok(delta) => deltas::reply_with_delta(&self.transfers, incoming, delta),
            Err(err) => log::error!(target: part::CONFIG, "could not build a delta: {err}"),
        }
    }

    pub(super) fn fetch_config(&self, from: SocketAddr) {
        let query = StreamHead::FetchConfig {
            have: self.configs.tags(),
        };
        let (peers, handle) = (Arc::clone(&self.dependencies.peers), self.handle.clone());
        tokio::spawn(async move {
            let progressed = || handle.send(Event::FetchProgressed { from });
            let fetched = deltas::fetch(&peers, from, &query, progressed).await;
            let fetched = fetched.inspect_err(|err| {
                log::debug!(target: part::CONFIG, "no configuration from {from}: {err}");
            });
            let event = match fetched {
                Ok(Fetched::Delta(delta)) => Event::Delta {
                    from,
                    delta: Some(delta),
                },
                Ok(Fetched::Unreadable(err)) => {
                    log::warn!(target: part::CONFIG, "refused the configuration of {from}: {err}");
                    Event::UnreadableDelta { from }
                }
                Ok(Fetched::Busy) => Event::FetchBusy { from },
                Err(_) => Event::Delta { from, delta: None },
            };
            handle.send(event).await;
        });
    }

    pub(super) fn delta_received(&mut self, from: SocketAddr, delta: Option<Delta>) {
        let now = self.now();
        let Some(delta) = delta else {
            return self.member_event(now, membership::Event::FetchFailed { from });
        };
        match self.configs.apply_delta(delta) {
            Ok(newer) => {
                if newer {
                    self.outdate_snapshot(Staleness::ConfigChanged);
                    self.config_problems = 0;
                } else if self.configs.head().version > self.dependencies.snapshots.load().version()
                {
                    // It could not be applied, or will be with the next snapshot.
                    self.outdate_snapshot(Staleness::ConfigChanged);
                }
            }
            Err(err) => {
                log::warn!(target: part::CONFIG, "refused the configuration of {from}: {err}");
                self.member_event(now, membership::Event::AnswerRefused { from });
            }
        }
    }

    pub(super) fn unreadable_delta(&mut self, from: SocketAddr) {
        self.configs.delta_was_unreadable();
        self.member_event(self.now(), membership::Event::AnswerRefused { from });
    }

    pub(super) fn config_loaded(&mut self, loaded: LoadedConfig) {
        match self.configs.replace(&loaded.head, loaded.cache) {
            Ok(newer) => {
                if newer {
                    self.outdate_snapshot(Staleness::ConfigChanged);
                    self.config_problems = loaded.problems.len();
                    log_problems(loaded.head.version, &loaded.problems);
                }
            }
            Err(err) => log::warn!(target: part::CONFIG, "refused a configuration: {err}"),
        }
    }
}

fn log_problems(version: ConfigVersion, problems: &[String]) {
    for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
        log::warn!(target: part::CONFIG, "version {version}: {problem}");
    }
    let left_out = problems.len().saturating_sub(MAX_LOGGED_PROBLEMS);
    if left_out > 0 {
        log::warn!(target: part::CONFIG, "version {version}: {left_out} more problems");
    }
}
