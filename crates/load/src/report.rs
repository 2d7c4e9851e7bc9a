//! Report of a run, as JSON or as text.

use crate::client::{Outcome, Reported};
use crate::recorder::{DurationHistogram, TargetRecord};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Quantiles of durations, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl From<&DurationHistogram> for Quantiles {
    fn from(times: &DurationHistogram) -> Self {
        Self {
            p50: times.quantile(0.5),
            p99: times.quantile(0.99),
            p999: times.quantile(0.999),
            max: times.max(),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            p50,
            p99,
            p999,
            max,
        } = self;
        write!(f, "p50 {p50} p99 {p99} p99.9 {p999} max {max} µs")
    }
}

/// Summary of the requests with the same outcome.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeReport {
    /// Outcome of these requests.
    pub outcome: Outcome,
    /// Number of these requests.
    pub count: u64,
    /// Latencies of these requests.
    pub latency_us: Quantiles,
}

/// Results of one target, or of all targets together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// URL of the target, or of all targets, separated by commas.
    pub target: String,
    /// Number of requests, without those of the warm-up.
    pub requests: u64,
    /// Responses with a 2xx status per second.
    pub successes_per_s: f64,
    /// Delays of sending requests after their planned times.
    pub lateness_us: Quantiles,
    /// One summary for each outcome that occurred.
    pub outcomes: Vec<OutcomeReport>,
}

impl TargetReport {
    fn new(target: String, record: &TargetRecord, measured: Duration) -> Self {
        let outcomes = record.outcomes.iter();
        let outcomes = outcomes.map(|(outcome, times)| OutcomeReport {
            outcome: *outcome,
            count: times.count(),
            latency_us: times.into(),
        });
        let outcomes: Vec<_> = outcomes.collect();
        let successes = outcomes.iter().filter(|o| o.outcome.is_success());
        let successes: u64 = successes.map(|o| o.count).sum();
        Self {
            target,
            requests: record.lateness.count(),
            successes_per_s: successes as f64 / measured.as_secs_f64(),
            lateness_us: (&record.lateness).into(),
            outcomes,
        }
    }
}

/// Results of a run, without the warm-up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Time in which the reported requests were planned to be sent, in milliseconds.
    pub measured_ms: u64,
    /// One entry per target in a comparison, otherwise a single one for all targets.
    pub targets: Vec<TargetReport>,
}

impl Report {
    /// Creates a report from `records`; `targets` holds the name of each record.
    pub fn new(targets: Vec<String>, records: &[TargetRecord], measured: Duration) -> Self {
        let parts = targets.into_iter().zip(records);
        let parts = parts.map(|(target, record)| TargetReport::new(target, record, measured));
        Self {
            measured_ms: measured.as_millis() as u64,
            targets: parts.collect(),
        }
    }

    /// Number of responses whose body differed from that of their request.
    pub fn wrong_bodies(&self) -> u64 {
        let outcomes = self.targets.iter().flat_map(|t| &t.outcomes);
        let wrong = outcomes.filter(|o| o.outcome == Outcome::WrongBody);
        wrong.map(|o| o.count).sum()
    }

    /// Differences between the p50, p99 and p99.9 latencies of the second and the first target,
    /// in microseconds. For each target, only the most frequent successful outcome counts. `None`
    /// unless there are exactly two targets, each with a successful response.
    fn difference(&self) -> Option<[i64; 3]> {
        let [first, second] = self.targets.as_slice() else {
            return None;
        };
        let main_success = |t: &TargetReport| {
            let successes = t.outcomes.iter().filter(|o| o.outcome.is_success());
            successes.max_by_key(|o| o.count).map(|o| o.latency_us)
        };
        let (a, b) = (main_success(first)?, main_success(second)?);
        let pairs = [(a.p50, b.p50), (a.p99, b.p99), (a.p999, b.p999)];
        Some(pairs.map(|(a, b)| b as i64 - a as i64))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for t in &self.targets {
            let seconds = self.measured_ms as f64 / 1_000.0;
            writeln!(f, "{}: {} requests in {seconds:.1} s", t.target, t.requests)?;
            writeln!(f, "  successes: {:.1}/s", t.successes_per_s)?;
            writeln!(f, "  sent late: {}", t.lateness_us)?;
            for o in &t.outcomes {
                let name = name(&o.outcome);
                writeln!(f, "  {name:<20} {:>9}  {}", o.count, o.latency_us)?;
            }
        }
        if let Some([p50, p99, p999]) = self.difference() {
            writeln!(
                f,
                "second - first: p50 {p50:+} p99 {p99:+} p99.9 {p999:+} µs"
            )?;
        }
        Ok(())
    }
}

fn name(outcome: &Outcome) -> String {
    let reported = |r: &Reported| match r {
        Reported::Absent => "",
        Reported::Answered => " answered",
        Reported::NotRun => " not-run",
        Reported::Unknown => " unknown",
        Reported::Other => " other",
    };
    match outcome {
        Outcome::Response {
            status,
            reported: r,
        } => format!("{status}{}", reported(r)),
        Outcome::WrongBody => "wrong body".into(),
        Outcome::Truncated => "truncated".into(),
        Outcome::NotConnected => "not connected".into(),
        Outcome::Disconnected => "disconnected".into(),
        Outcome::TimedOut => "timed out".into(),
        Outcome::NotSent => "not sent".into(),
    }
}
