//! Changes by other tickets: after the base version of a ticket, or with a higher number.

use crate::{Head, Item, Problem, Reason, Ticket};
use knapweed_world::{Config, ConfigVersion, TicketNumber};

/// What other tickets did to the objects of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Conflict {
    /// A ticket with a higher number changed one of them, at any time; the highest
    /// such number.
    Superseded(TicketNumber),
    /// Only tickets with lower numbers did, or the base version is no use.
    Refused(Vec<Problem>),
}

/// Compares the objects of `ticket` with the changes by other tickets.
///
/// `config` is the configuration of `head`.
pub fn conflict(
    ticket: &Ticket,
    base: ConfigVersion,
    config: &Config,
    head: &Head,
) -> Option<Conflict> {
    if base > head.version {
        let version = head.version;
        let item = Item::Ticket;
        let reason = Reason::BaseTooNew { base, version };
        return Some(Conflict::Refused(vec![Problem { item, reason }]));
    }
    let mut newest = None;
    let mut problems = Vec::new();
    for item in ticket.items() {
        match last_change(&item, config, head) {
            // Numbers order what operators want: a rollout with a lower number
            // than the one before it would lose the join of rollout states.
            Some((by, version)) if version > base || by > ticket.ticket => {
                newest = newest.max(Some(by));
                let ticket = ticket.ticket;
                let reason = Reason::Conflict {
                    ticket,
                    base,
                    by,
                    version,
                };
                problems.push(Problem { item, reason });
            }
            None if base < head.removals_forgotten_to => {
                let reason = Reason::BaseTooOld { base };
                problems.push(Problem { item, reason });
            }
            _ => {}
        }
    }
    match newest {
        Some(by) if by > ticket.ticket => Some(Conflict::Superseded(by)),
        _ if problems.is_empty() => None,
        _ => Some(Conflict::Refused(problems)),
    }
}

fn last_change(item: &Item, config: &Config, head: &Head) -> Option<(TicketNumber, ConfigVersion)> {
    let present = match item {
        Item::Ticket => None,
        Item::Service(name) => config.services.get(name).map(|s| (s.ticket, s.changed_at)),
        Item::Route(name) => config.routes.get(name).map(|r| (r.ticket, r.changed_at)),
    };
    present.or_else(|| head.removal(item).map(|r| (r.ticket, r.version)))
}
