//! The first line of a trace: format version, settings and start time.

use knapweed_rollout::judge::{
    Judge, SequentialJudge, SequentialOptions, ThresholdJudge, ThresholdOptions, TimeOnlyJudge,
};
use knapweed_rollout::planner::{DeadlinePlanner, Planner, RampPlanner};
use knapweed_world::{Name, Share, UnixMillis};
use serde::{Deserialize, Serialize};

/// Version of the trace format that this crate reads and writes.
pub const FORMAT: u32 = 1;

/// Metadata of a trace, and the settings that its events are replayed with.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the trace format; only [`FORMAT`] is accepted.
    pub format: u32,
    /// Description of the recorded case, in one sentence.
    pub title: String,
    /// Seed that generated the trace; `None` for a trace that was not generated.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Wall clock at time 0, in milliseconds since the Unix epoch.
    pub start_unix_ms: UnixMillis,
    /// State machine to replay, with its settings.
    pub settings: Settings,
}

/// State machine that processes the events, with its settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Settings {
    /// The rollout controller of one service.
    RolloutControl(ControlSettings),
    /// The guard of one egress: its circuit breaker for the new version.
    Guard(GuardSettings),
}

/// Settings of a replayed rollout controller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Service whose versions are rolled out.
    pub service: Name,
    /// Test that compares the new version with the old one.
    pub judge: JudgeSettings,
    /// Schedule of the shares of the new version.
    pub planner: PlannerSettings,
    /// Tick interval in microseconds. The replay generates the ticks, the trace does not record them.
    pub tick_us: u64,
    /// Where the replies of the platform come from.
    pub platform: PlatformSettings,
}

/// Settings of a replayed guard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuardSettings {
    /// Bound on the probability of a false alarm.
    pub alpha: f64,
}

/// Selects and configures the [`Judge`] of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum JudgeSettings {
    /// Sequential test, see [`SequentialJudge`].
    Sequential {
        /// Bound on the probability of a false alarm.
        alpha: f64,
    },
    /// Fixed threshold on the error ratio, see [`ThresholdJudge`].
    Threshold {
        /// Error ratio in basis points above which the version is judged bad.
        threshold: Share,
        /// Minimum number of requests for a decision.
        min_requests: u64,
        /// Number of latest windows that are counted.
        windows: usize,
    },
    /// No comparison: the rollout follows the clock alone, see [`TimeOnlyJudge`].
    Clock,
}

/// Selects the [`Planner`] of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannerSettings {
    /// Plans the steps backwards from the deadline, see [`DeadlinePlanner`].
    Deadline,
    /// Raises the share on a fixed schedule, see [`RampPlanner`].
    Ramp,
}

/// Where the replies of the platform come from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformSettings {
    /// From the events of the trace.
    Recorded,
    /// From a simulated platform that replies at once, except between `platform-down` events.
    StandIn,
}

impl JudgeSettings {
    /// Builds the judge that these settings select.
    pub fn build_judge(&self) -> Box<dyn Judge> {
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
    /// Builds the planner that these settings select.
    pub fn build_planner(&self) -> Box<dyn Planner> {
        match self {
            Self::Deadline => Box::new(DeadlinePlanner),
            Self::Ramp => Box::new(RampPlanner),
        }
    }
}
