//! The first line of a trace.

use knapweed_rollout::judge::{
    Judge, SequentialJudge, SequentialOptions, ThresholdJudge, ThresholdOptions, TimeOnlyJudge,
};
use knapweed_rollout::planner::{DeadlinePlanner, Planner, RampPlanner};
use knapweed_world::{Name, Share, UnixMillis};
use serde::{Deserialize, Serialize};

/// Version of the format that this crate reads and writes.
pub const FORMAT: u32 = 1;

/// What the trace is of, and the settings in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format; [`FORMAT`].
    pub format: u32,
    /// What the trace shows, in a sentence.
    pub title: String,
    /// Seed of a generated trace.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Wall clock at time 0, in milliseconds since the Unix epoch.
    pub start_unix_ms: UnixMillis,
    /// Settings of the state machine.
    pub settings: Settings,
}

/// The state machine that the events are fed to, with its settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Settings {
    /// Rollout control of one service.
    RolloutControl(ControlSettings),
    /// The guard of one egress.
    Guard(GuardSettings),
}

/// Settings of rollout control.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The service.
    pub service: Name,
    /// The judge.
    pub judge: JudgeSettings,
    /// The planner.
    pub planner: PlannerSettings,
    /// Time between ticks, in microseconds. Ticks are not recorded.
    pub tick_us: u64,
    /// Where the answers of the platform come from.
    pub platform: PlatformSettings,
}

/// Settings of the guard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuardSettings {
    /// Bound on the probability of a false alarm.
    pub alpha: f64,
}

/// The judge in force.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum JudgeSettings {
    /// The sequential test.
    Sequential {
        /// Bound on the probability of a false alarm.
        alpha: f64,
    },
    /// A fixed threshold on the error share.
    Threshold {
        /// Error share in basis points.
        threshold: Share,
        /// Fewest requests to decide by.
        min_requests: u64,
        /// Windows that are counted.
        windows: usize,
    },
    /// No judge.
    Clock,
}

/// The planner in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannerSettings {
    /// Backwards from the deadline.
    Deadline,
    /// A fixed ramp by the clock.
    Ramp,
}

/// Where the answers of the platform come from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformSettings {
    /// From the events of the trace.
    Recorded,
    /// From a stand-in that answers at once, unless an event says it is down.
    StandIn,
}

impl JudgeSettings {
    /// A judge with these settings.
    pub fn judge(&self) -> Box<dyn Judge> {
        match *self {
            Self::Sequential { alpha } => {
                Box::new(SequentialJudge::new(SequentialOptions { alpha }))
            }
            Self::Threshold {
                threshold,
                min_requests,
                windows,
            } => Box::new(ThresholdJudge::new(ThresholdOptions {
                threshold,
                min_requests,
                windows,
            })),
            Self::Clock => Box::new(TimeOnlyJudge),
        }
    }
}

impl PlannerSettings {
    /// A planner with these settings.
    pub fn planner(&self) -> Box<dyn Planner> {
        match self {
            Self::Deadline => Box::new(DeadlinePlanner),
            Self::Ramp => Box::new(RampPlanner),
        }
    }
}
