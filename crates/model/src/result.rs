//! Results of the clients' requests in a run.

use std::fmt::Write;
use std::time::Duration;

/// Worth of a response after the objective; a response within it counts 1.
const LATE_WORTH: f64 = 0.4;

/// Requests of clients by their final result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Number of all requests.
    pub all: u32,
    /// Requests answered within the objective.
    pub in_time: u32,
    /// Requests answered after the objective, but before the client gave up.
    pub late: u32,
    /// Requests refused in their last try.
    pub refused: u32,
    /// Requests that failed or were not answered before the client gave up.
    pub failed: u32,
}

impl Counts {
    /// Mean worth of the requests, from 0 to 1; 1 without requests.
    pub fn worth(&self) -> f64 {
        let earned = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        match self.all {
            0 => 1.0,
            all => earned / f64::from(all),
        }
    }
}

/// Final result of a client's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// Answered this long after the first try.
    Answered(Duration),
    /// Refused in its last try.
    Refused,
    /// Failed, or not answered before the client gave up.
    Failed,
}

/// Request counts and refusal times of one run.
#[derive(Clone, Debug, Default)]
pub struct ReplayCounts {
    /// Counts over the complete run.
    pub total: Counts,
    /// Counts by the second of the first try.
    pub seconds: Vec<Counts>,
    /// Sends of clients' requests that a backend server ran, but that failed or
    /// ended after the deadline.
    pub wasted: u32,
    /// Time from the first try to the last refusal, for each refused request.
    pub refused_after: Vec<Duration>,
}

impl ReplayCounts {
    /// Counts a request; `start` is the time of the first try since the start of the run.
    pub fn add(&mut self, start: Duration, objective: Duration, end: RequestEnd) {
        let second = start.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Counts::default());
        }
        for counts in [&mut self.total, &mut self.seconds[second]] {
            counts.all += 1;
            match end {
                RequestEnd::Answered(after) if after <= objective => counts.in_time += 1,
                RequestEnd::Answered(_) => counts.late += 1,
                RequestEnd::Refused => counts.refused += 1,
                RequestEnd::Failed => counts.failed += 1,
            }
        }
    }

    /// Smallest mean worth of five consecutive seconds.
    pub fn worst(&self) -> f64 {
        let mean = |w: &[Counts]| w.iter().map(Counts::worth).sum::<f64>() / w.len() as f64;
        self.seconds.windows(5).map(mean).fold(1.0, f64::min)
    }

    /// Median of [`Self::refused_after`]; zero without refused requests.
    pub fn median_refusal(&self) -> Duration {
        let mut times = self.refused_after.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}

/// Formats a table with one row for each policy.
pub fn table(pattern: &str, rows: &[(&str, ReplayCounts)]) -> String {
    let mut text = format!(
        "{pattern:<22}{:>8}{:>8}{:>9}{:>8}{:>9}{:>8}{:>8}{:>13}\n",
        "worth", "worst", "in time", "late", "refused", "failed", "wasted", "refused after"
    );
    for (policy, replay_counts) in rows {
        let counts = &replay_counts.total;
        let part = |n: u32| 100.0 * f64::from(n) / f64::from(counts.all.max(1));
        writeln!(
            text,
            "  {policy:<20}{:>8.3}{:>8.3}{:>8.1}%{:>7.1}%{:>8.1}%{:>7.1}%{:>7.1}%{:>10} ms",
            counts.worth(),
            replay_counts.worst(),
            part(counts.in_time),
            part(counts.late),
            part(counts.refused),
            part(counts.failed),
            part(replay_counts.wasted),
            replay_counts.median_refusal().as_millis(),
        )
        .expect("text can be extended");
    }
    text
}
