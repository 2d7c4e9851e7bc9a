//! The checks of a run, without a mesh: what counts as a violation around a loss of the store.

use http::StatusCode;
use knapweed_demo::load::{FinishedRequest, Outcome};
use knapweed_demo::versions::Regression;
use knapweed_soak::invariants::Observations;
use knapweed_soak::probes::DeniedProbe;
use knapweed_soak::tickets::Tickets;
use std::time::{Duration, Instant};

/// Tickets 1 to 3 are accepted in the seconds 0 to 2, with a copy after ticket 2. The store comes
/// back from it at 10 s, and ticket 3 is accepted again at 12 s.
fn tickets(start: Instant) -> Tickets {
    let mut tickets = Tickets::default();
    tickets.accept_next(start);
    tickets.accept_next(at(start, 1));
    tickets.back_up();
    tickets.accept_next(at(start, 2));
    tickets.restore(at(start, 10));
    tickets.accept_next(at(start, 12));
    tickets
}

fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

fn violations(start: Instant, change: impl FnOnce(&mut Observations)) -> String {
    let mut observations = Observations {
        tickets: tickets(start),
        ..Observations::default()
    };
    change(&mut observations);
    observations.violations().join("\n")
}

/// Guards against a check that overlooks denied requests, or reports those of a route that a
/// configuration in force may lack.
#[test]
fn a_denied_route_is_a_violation_unless_a_configuration_may_lack_it() {
    let start = Instant::now();
    let lines = violations(start, |observations| {
        for ticket in [2, 3] {
            for second in 0..18 {
                let probe = DeniedProbe {
                    host: "a1",
                    ticket,
                    // One status for each second, so that the lines tell them apart.
                    status: StatusCode::from_u16(430 + second).expect("a status"),
                    sent: at(start, second.into()),
                    ended: at(start, second.into()) + Duration::from_millis(500),
                };
                observations.denied.push(probe);
            }
        }
    });
    insta::assert_snapshot!(lines);
}

/// Guards against a check that overlooks a node that goes back to an older version, also when the
/// store has lost the newer one, or reports one that has started again meanwhile.
#[test]
fn an_older_version_is_a_violation_unless_the_node_restarted_after_a_loss() {
    let start = Instant::now();
    let lines = violations(start, |observations| {
        observations.starts = vec![("restarted", at(start, 8)), ("late", at(start, 16))];
        let seen = [
            ("running", 3, 11),
            ("restarted", 3, 9),
            ("restarted", 3, 11),
            ("restarted", 2, 11),
            ("late", 3, 17),
        ];
        let seen = seen.map(|(host, from, second)| Regression {
            host,
            from,
            to: 1,
            reached: at(start, 5),
            at: at(start, second),
        });
        observations.regressions = seen.into();
    });
    insta::assert_snapshot!(lines);
}

/// Guards against a check that overlooks requests of callers that break a promise.
#[test]
fn broken_promises_to_callers_are_violations() {
    let lines = violations(Instant::now(), |observations| {
        let outcomes = [
            ("twice", Outcome::Answered, 2, None),
            ("promised", Outcome::NotRun, 1, None),
            ("wrong", Outcome::WrongBody, 1, None),
            ("denied", Outcome::NotRun, 0, Some(StatusCode::NOT_FOUND)),
            ("answered", Outcome::Answered, 1, None),
        ];
        for (identity, outcome, runs, denial) in outcomes {
            let identity = identity.to_owned();
            observations.runs.insert(identity.clone(), runs);
            observations.requests.push(FinishedRequest {
                identity,
                outcome,
                denial,
                sent: Instant::now(),
                took: Duration::ZERO,
                detail: None,
            });
        }
        observations.tickets.refuse(3, "taken");
    });
    insta::assert_snapshot!(lines);
}
