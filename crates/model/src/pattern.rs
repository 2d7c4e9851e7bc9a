//! Load patterns, each with a disturbance during a part of the run.

use std::time::Duration;

/// Duration of the arrivals in each run.
pub const LENGTH: Duration = Duration::from_secs(40);
/// Start of the disturbance; it ends [`DISTURBANCE`] later.
pub const DISTURBANCE_START: Duration = Duration::from_secs(10);
/// Duration of the disturbance.
pub const DISTURBANCE: Duration = Duration::from_secs(15);

/// Load and faults during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// Load of twice the capacity during the disturbance.
    Burst,
    /// Load that oscillates around the capacity with a period of four seconds.
    Waves,
    /// Load of 1.3 times the capacity, with some clients that retry without waiting.
    ImmediateRetries,
    /// The clients of one region use the hosts of the other one.
    RegionMoves,
    /// The service times in one availability zone are three times as long.
    SlowZone,
    /// Grey failure: one backend server quickly fails half of its requests, and
    /// runs the others normally.
    Grey,
}

impl Pattern {
    /// All patterns, in the order of the output.
    pub const ALL: [Self; 6] = [
        Self::Burst,
        Self::Waves,
        Self::ImmediateRetries,
        Self::RegionMoves,
        Self::SlowZone,
        Self::Grey,
    ];

    /// Name in tables, in plots and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::Waves => "waves",
            Self::ImmediateRetries => "repeats",
            Self::RegionMoves => "region moves",
            Self::SlowZone => "slow zone",
            Self::Grey => "grey server",
        }
    }

    /// Load at the time `at`, relative to the capacity of the mesh.
    pub fn load(self, at: Duration) -> f64 {
        let disturbed = self.is_disturbed(at);
        match self {
            Self::Burst if disturbed => 2.0,
            Self::Waves if disturbed => {
                let phase = (at - DISTURBANCE_START).as_secs_f64() / 4.0;
                1.0 + 0.7 * (phase * std::f64::consts::TAU).sin()
            }
            Self::ImmediateRetries if disturbed => 1.3,
            Self::RegionMoves => 0.55,
            _ => 0.6,
        }
    }

    /// Whether the time `at` is within the disturbance.
    pub fn is_disturbed(self, at: Duration) -> bool {
        at >= DISTURBANCE_START && at < DISTURBANCE_START + DISTURBANCE
    }

    /// Whether a client retries without waiting; every fourth client of
    /// [`Pattern::ImmediateRetries`] does.
    pub fn retries_immediately(self, client: u64) -> bool {
        self == Self::ImmediateRetries && client.is_multiple_of(4)
    }
}
