//! Every outcome has a status, a header value and a reason.

use knapweed_host::{Answer, NotRun, Outcome, Unknown};
use std::fmt::Write;

/// Guards against a status by which a caller mistakes one outcome for another
/// (hazard H6).
#[test]
fn outcomes_as_reported_to_callers() {
    use Outcome::{Answered, NotRun as N, Unknown as U};
    let all = [
        Answered(Answer::Complete),
        Answered(Answer::NotStored),
        N(NotRun::NoRoute),
        N(NotRun::OutdatedConfig),
        N(NotRun::InvalidHeader),
        N(NotRun::TooDeep),
        N(NotRun::NoServer),
        N(NotRun::DeadlinePassed),
        N(NotRun::Overloaded),
        N(NotRun::ShedByServer),
        N(NotRun::Draining),
        N(NotRun::Guarded),
        N(NotRun::NotServing),
        N(NotRun::ConnectFailed),
        N(NotRun::NeverRan),
        N(NotRun::CrashesServers),
        N(NotRun::CrashSuspect),
        N(NotRun::ReplacedServer),
        N(NotRun::InvalidBody),
        N(NotRun::BodyLost),
        N(NotRun::HeadersTooLong),
        N(NotRun::TooLongToForward),
        N(NotRun::ColdServer),
        N(NotRun::Evacuated),
        N(NotRun::BodyTooLong),
        N(NotRun::NoMemory),
        U(Unknown::DeadlinePassed),
        U(Unknown::ConnectionLost),
        U(Unknown::ServerCrashed),
        U(Unknown::Truncated),
        U(Unknown::CallerLeft),
        U(Unknown::ForeignResponse),
    ];
    let mut out = String::new();
    for outcome in all {
        let status = outcome.status().map_or("-".into(), |s| s.to_string());
        writeln!(out, "{status:>3} {outcome}").expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a metric that counts a refusal under the reason of another one, or under none.
#[test]
fn reasons_of_refusals_as_label_values() {
    let mut out = String::new();
    for (index, reason) in NotRun::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, index, "{reason:?}");
        writeln!(out, "{} {}", reason.status(), reason.label()).expect("a string");
    }
    insta::assert_snapshot!(out);
}
