//! Describes the state of a ticket to operators in one English sentence.

use crate::result::{Ending, Evidence, FinalResult, Record, Tally};
use crate::timestamp::format as time;
use crate::{Outcome, Problem};
use knapweed_world::{Name, TicketNumber};

/// Maximum number of node names that a sentence lists.
const MAX_LISTED: usize = 10;

/// Describes the state of a ticket according to its record.
pub fn of_record(record: &Record) -> String {
    let ticket = record.document.ticket;
    let accepted = record.progress.map(|p| {
        let at = time(p.at);
        format!("was accepted as version {} at {at}", p.version)
    });
    match (accepted, &record.result) {
        (None, None) => format!(
            "Ticket {ticket} is filed and not decided; file it again to continue its acceptance."
        ),
        (None, Some(result)) => format!("Ticket {ticket} {}.", describe_ending(result)),
        (Some(accepted), None) => format!("Ticket {ticket} {accepted} and has no result yet."),
        (Some(accepted), Some(result)) => {
            let ending = describe_ending(result);
            let nodes = describe_unconfirmed(&result.unconfirmed);
            format!("Ticket {ticket} {accepted} and {ending}; {nodes}.")
        }
    }
}

/// Describes the outcome of filing a ticket. `ticket` is `None` if the
/// document could not be parsed.
pub fn of_outcome(ticket: Option<TicketNumber>, outcome: &Outcome) -> String {
    let subject = match ticket {
        Some(ticket) => format!("Ticket {ticket}"),
        None => "The ticket".to_owned(),
    };
    match outcome {
        Outcome::Accepted { version, at } => {
            format!(
                "{subject} is accepted as version {version} at {}.",
                time(*at)
            )
        }
        Outcome::Refused { reasons } => {
            format!("{subject} is refused: {}.", join_problems(reasons))
        }
        Outcome::Superseded { by } => format!("{subject} is superseded by ticket {by}."),
        Outcome::NumberTaken { number } => {
            format!("{subject} is refused: another document has the number {number}.")
        }
        Outcome::Malformed { error } => format!("{subject} is refused: {error}."),
        Outcome::Unavailable { reason } => {
            format!("{subject} is not accepted, the platform is unavailable: {reason}.")
        }
        Outcome::Unknown { reason } => format!(
            "{subject} may be accepted, wait for its result or file it again; \
             the platform is unavailable: {reason}."
        ),
    }
}

fn describe_ending(result: &FinalResult) -> String {
    let at = time(result.at);
    match &result.ending {
        Ending::Completed => format!("completed at {at}"),
        Ending::InForce => format!("is in force since {at}"),
        Ending::Refused { reasons } => format!("was refused at {at}: {}", join_problems(reasons)),
        Ending::Superseded { by } => format!("was superseded by ticket {by} at {at}"),
        Ending::PulledBack {
            service,
            reason,
            evidence,
        } => {
            let evidence = evidence.as_ref().map(describe_evidence).unwrap_or_default();
            format!("its rollout of {service} was pulled back at {at}: {reason}{evidence}")
        }
    }
}

fn describe_evidence(evidence: &Evidence) -> String {
    let route = match &evidence.route {
        Some(route) => format!("on route {route}"),
        None => "on all routes".to_owned(),
    };
    let zone = match &evidence.zone {
        Some(zone) => format!(" in availability zone {zone}"),
        None => String::new(),
    };
    let (new, old) = (describe_tally(&evidence.new), describe_tally(&evidence.old));
    format!(" ({route}{zone}, new versions: {new}; old versions: {old})")
}

fn describe_tally(tally: &Tally) -> String {
    let Tally {
        requests,
        failures,
        slow,
    } = tally;
    format!("{failures} of {requests} requests failed, {slow} were slow")
}

fn join_problems(problems: &[Problem]) -> String {
    let texts: Vec<_> = problems.iter().map(Problem::to_string).collect();
    texts.join("; ")
}

fn describe_unconfirmed(nodes: &[Name]) -> String {
    if nodes.is_empty() {
        return "every node had confirmed it".to_owned();
    }
    let listed: Vec<_> = nodes.iter().take(MAX_LISTED).map(Name::as_str).collect();
    let listed = listed.join(", ");
    let more = match nodes.len().saturating_sub(MAX_LISTED) {
        0 => String::new(),
        hidden => format!(" and {hidden} more"),
    };
    format!("not confirmed by {} nodes: {listed}{more}", nodes.len())
}
