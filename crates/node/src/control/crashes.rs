//! Dissemination of the records of requests that crash backend servers.

use super::Controller;
use super::messages::{query_node, reply, send_one_way};
use crate::egress::Egress;
use knapweed_host::crash::{CrashDigest, CrashRecord};
use knapweed_observe::part;
use knapweed_transport::{IncomingStream, Peers};
use knapweed_wire::stream::CrashReply;
use knapweed_wire::{StreamHead, decode};
use knapweed_world::Time;
use knapweed_zone::epidemic::Origin;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest reply to a comparison, in bytes: all records of a full crash memory.
const MAX_REPLY_LEN: usize = 1024 * 1024;

impl Controller {
    /// Pushes new records, and compares all records with other members when that is due.
    /// A node without records that are held against requests learns of the first ones by
    /// a push or by the comparison of another node.
    pub(super) fn spread_crashes(&mut self, now: Time) {
        let egress = Arc::clone(&self.dependencies.egress);
        let new = egress.take_crashes();
        self.push_crashes(now, new.observed, Origin::Local);
        self.push_crashes(now, new.learned, Origin::Peer);
        if egress.crash_digest() != CrashDigest::default() {
            let directory = self.membership.directory();
            let peers = self
                .crash_peers
                .repair(now, directory, self.membership.own());
            peers.into_iter().for_each(|to| self.compare_crashes(to));
        }
    }

    fn push_crashes(&mut self, now: Time, records: Vec<CrashRecord>, origin: Origin) {
        if records.is_empty() {
            return;
        }
        let directory = self.membership.directory();
        let receivers = self
            .crash_peers
            .receivers(now, directory, self.membership.own(), origin);
        let head = StreamHead::Crashes(records);
        for to in receivers {
            self.send_one_way(to, &head);
        }
    }

    /// Compares the records with those of another node. Each of the two gets what it lacks.
    pub(super) fn compare_crashes(&self, with: SocketAddr) {
        let peers = Arc::clone(&self.dependencies.peers);
        let egress = Arc::clone(&self.dependencies.egress);
        tokio::spawn(async move {
            if let Err(err) = compare(&peers, &egress, with).await {
                log::debug!(target: part::MEMBER, "no crash records from {with}: {err}");
            }
        });
    }

    pub(super) fn reply_with_crashes(&self, incoming: IncomingStream, theirs: CrashDigest) {
        let egress = &self.dependencies.egress;
        let digest = egress.crash_digest();
        let records = match digest == theirs {
            true => Vec::new(),
            false => egress.crash_records(),
        };
        reply(incoming, &CrashReply { digest, records });
    }
}

async fn compare(peers: &Arc<Peers>, egress: &Egress, with: SocketAddr) -> anyhow::Result<()> {
    let query = StreamHead::CompareCrashes(egress.crash_digest());
    let buf = query_node(peers, with, &query, MAX_REPLY_LEN).await?;
    let theirs: CrashReply = decode(&buf)?;
    egress.merge_crashes(theirs.records);
    if egress.crash_digest() != theirs.digest {
        send_one_way(peers, with, &StreamHead::Crashes(egress.crash_records()));
    }
    Ok(())
}
