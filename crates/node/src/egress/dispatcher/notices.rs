//! What a backend server states about itself in its answers: a limit of its requests, and that
//! it is shutting down.

use super::Dispatcher;
use super::queue::Queue;
use crate::protocol::ServerNotice;
use knapweed_host::admission::LimitChange;
use knapweed_observe::part;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{ServerState, Time};
use std::sync::atomic::Ordering;

/// Handling of notices.
impl Dispatcher {
    /// Handles what the backend server stated in its answer to a request sent at `sent`.
    pub(super) fn observe(&self, notice: ServerNotice, sent: Time) {
        self.has_answered.store(true, Ordering::Relaxed);
        if notice.is_leaving && !self.is_draining.load(Ordering::Relaxed) {
            self.leave();
        }
        if notice.rate_limit.is_none() && !self.has_limit.load(Ordering::Relaxed) {
            return;
        }
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let change = queue.limit.answered(notice.rate_limit, sent, now);
        self.apply_limit(&mut queue, change, now);
    }

    /// The backend server has said in an answer that it is shutting down: as if it had
    /// announced so.
    fn leave(&self) {
        log::info!(
            target: part::EGRESS,
            server:% = self.announcement.address;
            "the backend server says in an answer that it is leaving"
        );
        self.drain();
        self.leaving.lock().push(Announcement {
            state: ServerState::Draining,
            ..self.announcement.clone()
        });
    }

    /// Follows the limit that the ingress of a request knows, until the backend server
    /// answers. The previous process of this node may have followed it.
    pub(super) fn adopt_limit(&self, head: &RequestHead) {
        let Some(rate) = head.rate_limit else { return };
        if self.has_answered.load(Ordering::Relaxed) {
            return;
        }
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let change = queue.limit.reported(rate, now);
        self.apply_limit(&mut queue, change, now);
    }

    fn apply_limit(&self, queue: &mut Queue, change: Option<LimitChange>, now: Time) {
        let Some(change) = change else { return };
        self.has_limit
            .store(change.rate().is_some(), Ordering::Relaxed);
        self.limit_rate(queue, now);
        let server = self.announcement.address;
        match change.rate() {
            Some(rate) => log::info!(
                target: part::EGRESS,
                server:% = server,
                limit_per_s = rate.as_f64();
                "the backend server limits its requests"
            ),
            None => log::info!(
                target: part::EGRESS,
                server:% = server;
                "the backend server limits its requests no longer"
            ),
        }
    }
}
