//! Detects changes by other tickets to the objects of a ticket: those after its
//! base version, and those by tickets with higher numbers.

use crate::{Head, Item, Problem, Reason, Ticket};
use knapweed_world::{Config, ConfigVersion, TicketNumber};

/// Conflict of a ticket with changes by other tickets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Conflict {
    /// A ticket with a higher number changed one of the objects, before or after the
    /// base version. Holds the highest such number.
    Superseded(TicketNumber),
    /// Only tickets with lower numbers changed the objects, or the base version is
    /// too new or too old for a comparison.
    Refused(Vec<Problem>),
}

/// Returns the conflict of `ticket` with changes by other tickets, if any.
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
            // Ticket numbers define the order of changes. Nodes merge rollout
            // states by keeping the higher ticket number, so a rollout with a
            // lower number than its predecessor would have no effect.
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

/// Returns the ticket that last changed or removed an object, and the version that
/// it created.
fn last_change(item: &Item, config: &Config, head: &Head) -> Option<(TicketNumber, ConfigVersion)> {
    let present = match item {
        Item::Ticket => None,
        Item::Service(name) => config.services.get(name).map(|s| (s.ticket, s.changed_at)),
        Item::Route(name) => config.routes.get(name).map(|r| (r.ticket, r.changed_at)),
    };
    present.or_else(|| head.removal(item).map(|r| (r.ticket, r.version)))
}
