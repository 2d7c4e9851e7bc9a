//! Relays and gateways, chosen among the candidates without a platform.

use super::Sim;
use knapweed_world::Name;
use knapweed_zone::duty::candidates;
use knapweed_zone::membership::Event;
use knapweed_zone::{Duty, Role};
use std::collections::{BTreeMap, BTreeSet};

impl Sim {
    /// Gives each relay and gateway duty to its best candidate that has no other
    /// one; returns the holders.
    pub fn assign_roles(&mut self) -> BTreeMap<Duty, usize> {
        let mut holders = BTreeMap::new();
        let mut roles: BTreeMap<usize, Role> = BTreeMap::new();
        for duty in self.duties() {
            let holder = self.free_candidate(&duty, &roles);
            let role = roles.entry(holder).or_default();
            match duty {
                Duty::Relay { .. } => role.is_relay = true,
                _ => role.is_gateway = true,
            }
            holders.insert(duty, holder);
        }
        for (node, role) in roles {
            self.handle(node, Event::RoleChanged(role));
        }
        holders
    }

    fn duties(&self) -> Vec<Duty> {
        let zones: BTreeSet<&Name> = self.nodes.iter().map(|n| &n.entry.zone).collect();
        let regions: BTreeSet<&Name> = self.nodes.iter().map(|n| &n.entry.region).collect();
        let relays = zones.into_iter().flat_map(Duty::relays);
        relays
            .chain(regions.into_iter().flat_map(Duty::gateways))
            .collect()
    }

    fn free_candidate(&self, duty: &Duty, roles: &BTreeMap<usize, Role>) -> usize {
        let membership = self.nodes.iter().find_map(|n| n.membership.as_ref());
        let directory = membership.expect("a running node").directory();
        let ranked = candidates(directory, duty);
        let mut nodes = ranked.into_iter().map(|key| {
            let record = directory.get(key).expect("a candidate is a member");
            self.node_at(record.address)
        });
        let best = nodes.next().expect("a candidate");
        let rest = nodes.find(|n| !roles.contains_key(n));
        match roles.contains_key(&best) {
            true => rest.unwrap_or(best),
            false => best,
        }
    }
}
