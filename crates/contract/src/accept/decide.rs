//! Decides whether a ticket is accepted or refused under one attempt.

use super::conflict::{Conflict, conflict};
use crate::check::{Context, CurrentShares, Defaults, TargetShares, check};
use crate::head::{Accepted, Removed};
use crate::parts::{self, ConfigParts};
use crate::result::{Ending, Record};
use crate::{Head, Item, PartCache, Problem, Reason, Ticket};
use knapweed_world::Config;
use std::sync::Arc;

/// Node-specific inputs of a decision.
///
/// They only fill in parameters of rollouts. They must not affect whether a ticket
/// is accepted, because all nodes must reach the same decision.
#[derive(Clone)]
pub struct Policy {
    /// Rollout parameters for tickets that do not set them.
    pub defaults: Defaults,
    /// Source of the current traffic shares of versions.
    pub traffic: Arc<dyn CurrentShares>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            defaults: Defaults::default(),
            traffic: Arc::new(TargetShares),
        }
    }
}

/// Head and parts that an acceptance writes.
pub(super) struct Proposal {
    pub(super) accepted: Accepted,
    pub(super) head: Head,
    pub(super) parts: ConfigParts,
}

pub(super) enum Verdict {
    Accept(Proposal),
    Refuse(Ending),
}

pub(super) fn decide(
    record: &Record,
    head: &Head,
    cache: &PartCache,
    policy: &Policy,
) -> Result<Verdict, parts::Error> {
    let config = parts::join(head, cache)?;
    let ticket = &record.document;
    let cx = Context {
        config: &config,
        now: record.attempt.at,
        defaults: &policy.defaults,
        traffic: policy.traffic.as_ref(),
    };
    let checked = check(ticket, cx);
    let conflict = conflict(ticket, record.base, &config, head);
    let ending = match (checked, conflict) {
        (Ok(next), None) => return Ok(Verdict::Accept(propose(record, head, &next))),
        (Err(reasons), None) => Ending::Refused { reasons },
        (Err(reasons), Some(_)) if !only_missing_removals(&reasons) => Ending::Refused { reasons },
        (_, Some(Conflict::Superseded(by))) => Ending::Superseded { by },
        (_, Some(Conflict::Refused(reasons))) => Ending::Refused { reasons },
    };
    Ok(Verdict::Refuse(ending))
}

/// Whether all problems are removals of objects that do not exist, which a
/// conflict with the ticket that removed them explains better.
fn only_missing_removals(problems: &[Problem]) -> bool {
    problems.iter().all(|p| p.reason == Reason::Unknown)
}

fn propose(record: &Record, head: &Head, config: &Config) -> Proposal {
    let ticket = &record.document;
    let accepted = Accepted {
        ticket: ticket.ticket,
        version: config.version,
        at: record.attempt.at,
    };
    let parts = parts::split(config);
    let mut head = head.successor(&parts, accepted);
    head.record_removals(&ticket.items().collect(), removed(ticket, accepted));
    Proposal {
        accepted,
        head,
        parts,
    }
}

fn removed(ticket: &Ticket, accepted: Accepted) -> Vec<Removed> {
    let services = ticket.remove.services.iter().cloned().map(Item::Service);
    let routes = ticket.remove.routes.iter().cloned().map(Item::Route);
    let removed = |item| Removed {
        item,
        ticket: accepted.ticket,
        version: accepted.version,
    };
    services.chain(routes).map(removed).collect()
}
