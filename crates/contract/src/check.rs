//! Validates a whole ticket against the accepted configuration.

mod item;

use crate::{Item, Problem, Reason, Ticket};
use item::ItemCheck;
use knapweed_world::config::{Caution, Idempotence, RouteConfig, ServiceConfig, VersionShare};
use knapweed_world::{Config, Name, Share, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time from acceptance to the deadline of a rollout.
pub const MIN_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum time from acceptance to the deadline of a rollout.
pub const MAX_DEADLINE: Duration = Duration::from_secs(30 * 24 * 3_600);
/// Maximum timeout of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u32 = 600_000;
/// Maximum sum of the destination weights of a route.
pub const MAX_WEIGHTS: u64 = 1_000_000;
/// Maximum length of a path prefix, in bytes.
pub const MAX_PREFIX_LEN: usize = 1_024;
/// Maximum number of idempotent methods of a route.
pub const MAX_METHODS: usize = 16;
/// Maximum length of a method name, in bytes.
pub const MAX_METHOD_LEN: usize = 32;
/// Maximum number of versions of a service.
pub const MAX_VERSIONS: usize = 32;
/// Maximum number of services in a configuration; bounds the size of the head
/// object, which holds one digest per service.
pub const MAX_SERVICES: usize = 4_000;
/// Maximum number of listed problems; bounds the size of the record, which stores
/// them together with the ticket.
pub const MAX_PROBLEMS: usize = 200;

/// Rollout parameters for tickets that do not set them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Defaults {
    /// Time from acceptance to the deadline of the rollout.
    pub deadline: Duration,
    /// Minimum capacity of the old versions to keep until completion, in percent.
    pub min_old_capacity: u8,
    /// Trade-off between caution and speed.
    pub caution: Caution,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(600),
            min_old_capacity: 25,
            caution: Caution::Careful,
        }
    }
}

/// Source of the current traffic shares of the versions of a service.
pub trait CurrentShares: Send + Sync {
    /// Returns the current traffic share of each version of a service.
    ///
    /// The shares differ from `config.versions` while the rollout of
    /// `config.ticket` runs, and after it was pulled back.
    fn shares(&self, service: &Name, config: &ServiceConfig) -> Vec<VersionShare>;
}

/// Returns the configured target shares, as if every rollout were complete.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetShares;

impl CurrentShares for TargetShares {
    fn shares(&self, _service: &Name, config: &ServiceConfig) -> Vec<VersionShare> {
        config.versions.clone()
    }
}

/// Inputs for the validation of a ticket.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The accepted configuration, which the ticket changes.
    pub config: &'a Config,
    /// Time of acceptance, from which deadlines are computed.
    pub now: UnixMillis,
    /// Rollout parameters that the ticket does not set.
    pub defaults: &'a Defaults,
    /// Source of the current traffic shares, where rollouts start.
    pub traffic: &'a dyn CurrentShares,
}

/// Validates a whole ticket and returns the configuration that results from it.
///
/// Ignores the base version; [`crate::accept::conflict`] checks it.
///
/// # Errors
///
/// All problems found, at most [`MAX_PROBLEMS`] and one that counts the others.
pub fn check(ticket: &Ticket, cx: Context<'_>) -> Result<Config, Vec<Problem>> {
    let mut checker = Checker::new(ticket, cx);
    checker.check_duplicates();
    checker.apply_removals();
    checker.apply_services();
    checker.apply_routes();
    checker.check_references();
    checker.check_prefixes();
    checker.check_size();
    checker.finish()
}

struct Checker<'a> {
    ticket: &'a Ticket,
    cx: Context<'a>,
    next: Config,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn new(ticket: &'a Ticket, cx: Context<'a>) -> Self {
        let mut next = cx.config.clone();
        next.version = cx.config.version.next();
        Self {
            ticket,
            cx,
            next,
            problems: Vec::new(),
        }
    }

    fn report(&mut self, item: Item, reason: Reason) {
        self.problems.push(Problem { item, reason });
    }

    fn finish(mut self) -> Result<Config, Vec<Problem>> {
        if self.problems.is_empty() {
            return Ok(self.next);
        }
        let hidden = self.problems.len().saturating_sub(MAX_PROBLEMS);
        if hidden > 0 {
            self.problems.truncate(MAX_PROBLEMS);
            self.report(Item::Ticket, Reason::More { count: hidden });
        }
        Err(self.problems)
    }
}

/// The validation steps of [`check`].
impl Checker<'_> {
    fn check_duplicates(&mut self) {
        let ticket = self.ticket;
        let mut seen = BTreeSet::new();
        let mut repeated = BTreeSet::new();
        for item in ticket.items() {
            if !seen.insert(item.clone()) {
                repeated.insert(item);
            }
        }
        for item in repeated {
            self.report(item, Reason::Duplicate);
        }
    }

    fn apply_removals(&mut self) {
        let ticket = self.ticket;
        for name in &ticket.remove.services {
            self.next.services.remove(name);
            if !self.cx.config.services.contains_key(name) {
                self.report(Item::Service(name.clone()), Reason::Unknown);
            }
        }
        for name in &ticket.remove.routes {
            self.next.routes.remove(name);
            if !self.cx.config.routes.contains_key(name) {
                self.report(Item::Route(name.clone()), Reason::Unknown);
            }
        }
    }

    fn apply_services(&mut self) {
        let ticket = self.ticket;
        for change in &ticket.services {
            let item = Item::Service(change.name.clone());
            let mut item_check = ItemCheck::new(item, &mut self.problems);
            item_check.check_versions(&change.versions);
            let terms = item_check.terms(change.rollout.as_ref(), &self.cx);
            let versions = target_shares(change);
            let old = self.cx.config.services.get(&change.name);
            let from = old.map(|old| self.cx.traffic.shares(&change.name, old));
            let moves = from.filter(|from| nonzero_shares(from) != nonzero_shares(&versions));
            let rollout = moves.map(|from| terms.starting_from(from));
            let service = ServiceConfig {
                versions,
                rollout,
                ticket: ticket.ticket,
                changed_at: self.next.version,
                max_connections: None,
                health_path: None,
                cold_limit: None,
            };
            self.next.services.insert(change.name.clone(), service);
        }
    }

    fn apply_routes(&mut self) {
        let ticket = self.ticket;
        for change in &ticket.routes {
            let item = Item::Route(change.name.clone());
            ItemCheck::new(item, &mut self.problems).check_route(change);
            let route = RouteConfig {
                host: change.host.clone(),
                path_prefix: change.path_prefix.clone(),
                destinations: change.destinations(),
                timeout_ms: change.timeout_ms,
                idempotence: Idempotence::Methods(change.idempotent_methods.clone()),
                objective_ms: change.objective_ms,
                max_attempts: change.max_attempts,
                priority: change.priority.unwrap_or_default(),
                is_bulk: change.bulk.unwrap_or_default(),
                is_open: false,
                home_regions: Vec::new(),
                ticket: ticket.ticket,
                changed_at: self.next.version,
            };
            self.next.routes.insert(change.name.clone(), route);
        }
    }

    /// Requires that every service of a route exists. A problem is reported for the
    /// route if the ticket changes it, and otherwise for the removed service.
    fn check_references(&mut self) {
        let ticket = self.ticket;
        let changed: BTreeSet<_> = ticket.routes.iter().map(|r| &r.name).collect();
        let removed: BTreeSet<_> = ticket.remove.services.iter().collect();
        let mut needed = BTreeSet::new();
        let mut found = Vec::new();
        let routes = self.next.routes.iter();
        let references = routes.flat_map(|(name, route)| {
            let destinations = route.destinations.iter();
            destinations.map(move |d| (name, &d.service))
        });
        for (name, service) in references {
            if self.next.services.contains_key(service) {
                continue;
            }
            if changed.contains(name) {
                let service = service.clone();
                found.push((
                    Item::Route(name.clone()),
                    Reason::MissingService { service },
                ));
            } else if removed.contains(service) && needed.insert(service) {
                let route = name.clone();
                found.push((
                    Item::Service(service.clone()),
                    Reason::StillNeeded { route },
                ));
            }
        }
        for (item, reason) in found {
            self.report(item, reason);
        }
    }

    /// Requires that no two routes have the same host and path prefix.
    fn check_prefixes(&mut self) {
        let ticket = self.ticket;
        let changed: BTreeSet<_> = ticket.routes.iter().map(|r| &r.name).collect();
        let mut owners: BTreeMap<(Option<&str>, &str), &Name> = BTreeMap::new();
        let mut found = Vec::new();
        for (name, route) in &self.next.routes {
            let Some(other) = owners.insert((route.host.as_deref(), &route.path_prefix), name)
            else {
                continue;
            };
            let (item, route) = match changed.contains(name) {
                true => (name, other),
                false => (other, name),
            };
            let route = route.clone();
            found.push((Item::Route(item.clone()), Reason::PrefixTaken { route }));
        }
        for (item, reason) in found {
            self.report(item, reason);
        }
    }

    fn check_size(&mut self) {
        let len = self.next.services.len();
        if len > MAX_SERVICES {
            let unit = "services".to_owned();
            let max = MAX_SERVICES;
            self.report(Item::Ticket, Reason::TooLarge { len, unit, max });
        }
        if let Some(len) = crate::parts::oversized_part_len(&self.next) {
            let unit = "bytes in one part".to_owned();
            let max = crate::parts::MAX_PART_LEN;
            self.report(Item::Ticket, Reason::TooLarge { len, unit, max });
        }
    }
}

fn target_shares(change: &crate::ticket::ServiceChange) -> Vec<VersionShare> {
    let target = |v: &crate::ticket::VersionTarget| VersionShare {
        version: v.version.clone(),
        share: Share::from_percent(v.share),
    };
    change.versions.iter().map(target).collect()
}

/// The versions with a share above zero.
fn nonzero_shares(shares: &[VersionShare]) -> BTreeMap<&Name, Share> {
    let some = shares.iter().filter(|v| v.share > Share::NONE);
    some.map(|v| (&v.version, v.share)).collect()
}
