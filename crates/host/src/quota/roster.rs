//! The hosts among which the minting of tokens is divided.

use knapweed_world::{Name, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a new host after which a host that has started mints tokens. While hosts
/// start together, each learns of the others one by one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// That time for a host that knows no other one: it may not have joined yet.
const SINGLE_SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Time after which a host is forgotten that did not leave gracefully. Until then it may be
/// cut off and mint tokens.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// When and how a host was a member last.
#[derive(Clone, Copy, Debug)]
struct LastSeen {
    at: Time,
    is_leaving: bool,
}

/// Hosts that may mint tokens.
///
/// A host counts from when it is known until it leaves gracefully: one that is suspected
/// or dead may be running where messages do not reach.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    hosts: BTreeMap<Name, LastSeen>,
    /// When the last host was added.
    grown_at: Time,
    is_settled: bool,
}

impl Roster {
    /// Takes in the members of the mesh, and whether each is about to leave.
    pub fn update<'a>(&mut self, now: Time, members: impl Iterator<Item = (&'a Name, bool)>) {
        for (host, is_leaving) in members {
            let seen = LastSeen {
                at: now,
                is_leaving,
            };
            match self.hosts.get_mut(host) {
                Some(known) => *known = seen,
                None => {
                    self.hosts.insert(host.clone(), seen);
                    self.grown_at = now;
                }
            }
        }
        self.hosts.retain(|_, seen| {
            seen.at == now || (!seen.is_leaving && now.since(seen.at) < FORGET_AFTER)
        });
        let settle_time = match self.hosts.len() {
            0 | 1 => SINGLE_SETTLE_TIME,
            _ => SETTLE_TIME,
        };
        self.is_settled |= now.since(self.grown_at) >= settle_time;
    }

    /// Number of hosts that mint tokens; `None` until this host may mint.
    pub fn minting_hosts(&self) -> Option<u32> {
        let count = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        self.is_settled.then_some(count.max(1))
    }
}
