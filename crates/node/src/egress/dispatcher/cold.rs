//! The cold start of a backend server, in which it takes fewer requests.

use super::Dispatcher;
use super::queue::Queue;
use knapweed_host::NotRun;
use knapweed_host::admission::{ColdStart, Refusal, cold_limit};
use knapweed_observe::part;
use knapweed_world::{Flow, Time};

impl Dispatcher {
    /// Applies whether an announcement says that the backend server is cold. It does not say
    /// for how long; [`Dispatcher::state_cold_start`] does.
    pub(super) fn announce_cold_start(&self, is_cold: bool) {
        self.state_cold_start(match is_cold {
            true => ColdStart::Unstated,
            false => ColdStart::WARM,
        });
    }

    /// Applies what the backend server states about its cold start.
    pub(in crate::egress) fn state_cold_start(&self, cold_start: ColdStart) {
        let mut queue = self.queue.lock();
        queue.cold_start = cold_start;
        self.apply_cold_limit(&mut queue, self.timer.now());
    }

    /// The backend server may have become cold: it counts as cold until its next heartbeat,
    /// if it sends any.
    pub(in crate::egress) fn doubt_warmth(&self) {
        if self.announcement.instance.is_some() {
            self.state_cold_start(ColdStart::Unstated);
        }
    }

    /// The limits of the configuration or the settings have changed.
    pub(in crate::egress) fn cold_limits_changed(&self) {
        let mut queue = self.queue.lock();
        let now = self.timer.now();
        self.apply_cold_limit(&mut queue, now);
        // Applied again, since the rate or the allowance may have changed.
        if queue.is_cold_limited {
            self.limit_rate(&mut queue, now);
        }
    }

    /// Refuses a request that the cold backend server cannot take at once: other backend
    /// servers can, while a queue would hold it for as long as many requests run.
    pub(super) fn check_cold_limit(
        &self,
        queue: &mut Queue,
        flow: Flow,
        now: Time,
    ) -> Result<(), Refusal> {
        if !queue.is_cold_limited {
            return Ok(());
        }
        self.apply_cold_limit(queue, now);
        let released = queue.admission.expire(now);
        queue.notify(released);
        match queue.is_cold_limited && queue.admission.load(flow).free == 0 {
            true => Err(NotRun::ColdServer.into()),
            false => Ok(()),
        }
    }

    /// Starts or ends the limit of the cold start.
    fn apply_cold_limit(&self, queue: &mut Queue, now: Time) {
        let rate = self.cold_limits.rate(&self.announcement.service);
        let rate = rate.filter(|_| queue.cold_start.is_cold(now));
        let was_limited = std::mem::replace(&mut queue.is_cold_limited, rate.is_some());
        if was_limited == rate.is_some() {
            return;
        }
        self.limit_rate(queue, now);
        let server = self.announcement.address;
        match rate {
            Some(rate) => log::info!(
                target: part::EGRESS,
                server:% = server, limit_per_s = rate.as_f64();
                "the backend server is cold: its requests are limited"
            ),
            None => log::info!(
                target: part::EGRESS,
                server:% = server;
                "the backend server is no longer cold"
            ),
        }
    }

    /// Applies the lower of the limit that the backend server names and that of its cold
    /// start.
    pub(super) fn limit_rate(&self, queue: &mut Queue, now: Time) {
        let cold = self.cold_limits.rate(&self.announcement.service);
        let cold = cold.filter(|_| queue.is_cold_limited);
        let allowance = self.cold_limits.allowance();
        let change = cold_limit::in_force(queue.limit.rate(), cold, allowance);
        let released = queue.admission.limit_rate(change, now);
        queue.notify(released);
    }
}
