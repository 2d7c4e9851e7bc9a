//! Generates the traces of `tests/traces/` from fixed seeds.
//!
//! Usage: `cargo run -p knapweed-trace --example generate -- DIRECTORY`

#[path = "generate/model.rs"]
mod model;

use knapweed_rollout::judge::Tally;
use knapweed_trace::header::{FORMAT, GuardSettings};
use knapweed_trace::record::{GuardEvent, GuardRequests, Record, TraceEvent};
use knapweed_trace::{ExpectedOutcome, Header, Settings, Writer};
use knapweed_world::{Share, TicketNumber, Time};
use model::{Case, START, name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};

/// Result of a step of the tool; every error ends it.
type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

const TICKET: TicketNumber = TicketNumber(1);

fn completed(late: bool) -> ExpectedOutcome {
    ExpectedOutcome::Completed {
        ticket: TICKET,
        late,
    }
}

fn pulled_back(by_s: u64) -> ExpectedOutcome {
    ExpectedOutcome::PulledBack {
        ticket: TICKET,
        by_us: Time::from_millis(by_s * 1_000),
    }
}

fn at_most(basis_points: u16, from_s: u64, until_s: u64) -> ExpectedOutcome {
    ExpectedOutcome::ShareAtMost {
        share: Share(basis_points),
        from_us: Time::from_millis(from_s * 1_000),
        until_us: Time::from_millis(until_s * 1_000),
    }
}

fn control_cases() -> Vec<(&'static str, Case)> {
    let base = Case::default();
    vec![
        (
            "good",
            base.clone()
                .title("a good version moves in time")
                .outcomes(vec![completed(false), ExpectedOutcome::ResultsWrittenOnce]),
        ),
        (
            "fails-at-once",
            base.clone()
                .title("a version that fails is pulled back")
                .with_failures(0.5, 0)
                .outcomes(vec![pulled_back(30), at_most(500, 0, 60)]),
        ),
        (
            "slow-at-once",
            base.clone()
                .title("a version that is slow is pulled back")
                .with_slow_factor(5.0)
                .outcomes(vec![pulled_back(30), at_most(500, 0, 60)]),
        ),
        (
            "fails-after-last-step",
            base.clone()
                .title("a fault after the last step is pulled back")
                .with_failures(0.5, 56)
                .outcomes(vec![pulled_back(75)]),
        ),
        (
            "general-slowdown",
            base.clone()
                .title("a slowdown of both versions is no fault")
                .slowdown(15, 30)
                .outcomes(vec![completed(false)]),
        ),
        (
            "zone-cut-off",
            base.clone()
                .title("no forward step while a zone is cut off")
                .zone_cut_off(5, 31)
                .outcomes(vec![at_most(500, 14, 30), completed(false)]),
        ),
        (
            "zone-cut-off-and-bad",
            base.clone()
                .title("a pull-back needs no zone that is cut off")
                .zone_cut_off(5, 80)
                .with_failures(1.0, 0)
                .outcomes(vec![pulled_back(30)]),
        ),
        (
            "platform-outage",
            base.clone()
                .title("a pull-back needs no platform")
                .platform_outage(6, 40)
                .with_failures(0.5, 0)
                .outcomes(vec![
                    pulled_back(30),
                    at_most(0, 30, 60),
                    ExpectedOutcome::ResultsWrittenOnce,
                ]),
        ),
        (
            "new-holder",
            base.clone()
                .title("a new holder goes on from the stored state")
                .holder_changes(vec![7, 21, 33, 48])
                .outcomes(vec![completed(false), ExpectedOutcome::ResultsWrittenOnce]),
        ),
        (
            "superseded",
            base.title("a new ticket supersedes a move and returns")
                .second_ticket(25)
                .outcomes(vec![
                    ExpectedOutcome::Superseded {
                        ticket: TICKET,
                        by: TicketNumber(2),
                    },
                    ExpectedOutcome::Completed {
                        ticket: TicketNumber(2),
                        late: false,
                    },
                    ExpectedOutcome::ResultsWrittenOnce,
                ]),
        ),
    ]
}

fn guard_trace(
    title: &str,
    seed: u64,
    old_ratio: f64,
    new_ratio: f64,
    outcome: ExpectedOutcome,
) -> (Header, Vec<Record>, ExpectedOutcome) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut records = Vec::new();
    for second in 0..60 {
        let at = Time::from_millis(second * 1_000);
        let old = Tally {
            requests: 500,
            affected: (500.0 * old_ratio) as u64,
        };
        let event = GuardEvent::Baseline {
            route: name("today"),
            old,
        };
        records.push(Record {
            at,
            event: TraceEvent::Guard(event),
        });
        let failed = (0..20).map(|_| rng.random_bool(new_ratio)).collect();
        let event = GuardEvent::New(GuardRequests {
            route: name("today"),
            failed,
        });
        records.push(Record {
            at,
            event: TraceEvent::Guard(event),
        });
    }
    let header = Header {
        format: FORMAT,
        title: title.into(),
        seed: Some(seed),
        start_unix_ms: START,
        settings: Settings::Guard(GuardSettings { alpha: 0.0001 }),
    };
    (header, records, outcome)
}

fn write_guard(
    dir: &Path,
    file: &str,
    trace: (Header, Vec<Record>, ExpectedOutcome),
) -> Fallible<()> {
    let (header, records, outcome) = trace;
    let mut writer = create(dir, file, &header)?;
    for record in records {
        writer.record(record)?;
    }
    writer.outcome(outcome)?;
    writer.finish()?;
    Ok(())
}

fn create(dir: &Path, file: &str, header: &Header) -> Fallible<Writer<BufWriter<File>>> {
    let path = dir.join(format!("{file}.jsonl"));
    Ok(Writer::new(BufWriter::new(File::create(path)?), header)?)
}

fn main() -> Fallible<()> {
    let dir: PathBuf = std::env::args()
        .nth(1)
        .ok_or("a directory is expected")?
        .into();
    for (seed, (file, case)) in control_cases().into_iter().enumerate() {
        let mut writer = create(&dir, file, &case.header(seed as u64))?;
        case.write(seed as u64, &mut writer)?;
        writer.finish()?;
    }
    let within = ExpectedOutcome::Tripped { failures: 60 };
    let title = "a fault at one egress trips its guard within 60 failures";
    write_guard(
        &dir,
        "guard-trips",
        guard_trace(title, 101, 0.002, 0.15, within),
    )?;
    let title = "failures of both versions do not trip the guard";
    write_guard(
        &dir,
        "guard-holds",
        guard_trace(title, 102, 0.1, 0.1, ExpectedOutcome::NotTripped),
    )
}
