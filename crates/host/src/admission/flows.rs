//! Queue state and service times of the flows of one backend server.

use knapweed_world::Flow;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of flows above which idle ones are dropped, with their service times.
const MAX_FLOWS: usize = 256;
/// The newest service time enters the average of its flow with a weight of 1 in this many.
const FLOW_SMOOTHING: u64 = 8;
/// The newest service time enters the average over all requests with a weight of 1 in
/// this many.
const SMOOTHING: u64 = 16;
/// Each decay lowers the estimated service time of a flow by 1 in this many.
const DECAY: u64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct FlowState {
    running: u32,
    queued: u32,
    /// Average service time; 0 before the first measurement.
    service_us: u64,
    /// Average absolute deviation from it.
    deviation_us: u64,
}

impl FlowState {
    fn record_service_time(&mut self, took_us: u64) {
        let deviation = match self.service_us {
            0 => took_us / 2,
            usual => took_us.abs_diff(usual),
        };
        self.deviation_us = smoothed(self.deviation_us, deviation, FLOW_SMOOTHING);
        self.service_us = smoothed(self.service_us, took_us, FLOW_SMOOTHING);
    }
}

/// Queue state and service times, by flow.
#[derive(Debug, Default)]
pub(super) struct Flows {
    states: BTreeMap<Flow, FlowState>,
    /// Average service time of all requests.
    service_us: u64,
}

/// Running and queued requests.
impl Flows {
    pub(super) fn start(&mut self, flow: Flow) {
        self.state(flow).running += 1;
    }

    /// A request ended; `took` is its service time if the backend server answered.
    pub(super) fn end(&mut self, flow: Flow, took: Option<Duration>) {
        let state = self.state(flow);
        assert!(state.running > 0, "a request ended that was not running");
        state.running -= 1;
        if let Some(took) = took {
            let took = took.as_micros() as u64;
            state.record_service_time(took);
            self.service_us = smoothed(self.service_us, took, SMOOTHING);
        }
    }

    pub(super) fn enqueue(&mut self, flow: Flow) {
        self.state(flow).queued += 1;
    }

    pub(super) fn dequeue(&mut self, flow: Flow) {
        self.state(flow).queued -= 1;
    }

    fn state(&mut self, flow: Flow) -> &mut FlowState {
        if self.states.len() >= MAX_FLOWS && !self.states.contains_key(&flow) {
            self.states.retain(|_, s| s.running > 0 || s.queued > 0);
        }
        self.states.entry(flow).or_default()
    }
}

/// Estimates of service times.
impl Flows {
    /// Average service time of all requests, in microseconds.
    pub(super) fn mean_us(&self) -> u64 {
        self.service_us
    }

    /// Average service time of a flow, in microseconds; 0 while it has no measurement.
    pub(super) fn usual_us(&self, flow: Flow) -> u64 {
        self.states.get(&flow).map_or(0, |state| state.service_us)
    }

    /// High estimate of the service time of a flow, in microseconds; the average of all
    /// requests while the flow has no measurement.
    pub(super) fn high_estimate_us(&self, flow: Flow) -> u64 {
        let measured = self
            .states
            .get(&flow)
            .map_or(0, |state| state.service_us + state.deviation_us);
        if measured > 0 {
            measured
        } else {
            self.service_us
        }
    }

    /// High estimate of the service time of a flow: the average plus the average
    /// deviation, which most requests do not exceed.
    pub(super) fn high_estimate(&self, flow: Flow) -> Duration {
        let measured = self.states.get(&flow).filter(|state| state.service_us > 0);
        let high_estimate = measured.map(|state| state.service_us + state.deviation_us);
        Duration::from_micros(high_estimate.unwrap_or(self.service_us))
    }

    /// Lowers the estimate of a flow after a request was refused because of it.
    ///
    /// Without this, one slow period could exclude the flow forever, since only
    /// requests that run update the estimate.
    pub(super) fn decay(&mut self, flow: Flow) {
        let state = self.state(flow);
        state.service_us -= state.service_us / DECAY;
        state.deviation_us -= state.deviation_us / DECAY;
    }
}

fn smoothed(old: u64, new: u64, weight: u64) -> u64 {
    match old {
        0 => new,
        _ => old - old / weight + new / weight,
    }
}
