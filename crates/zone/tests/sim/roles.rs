//! The holders of duties as a member computes them.

use super::Sim;
use knapweed_world::Name;
use knapweed_zone::Duty;
use knapweed_zone::duty::holders;
use std::collections::{BTreeMap, BTreeSet};

impl Sim {
    /// The holders of all relay and gateway duties, best first, in the directory of the
    /// first running node.
    pub fn holders(&self) -> BTreeMap<Duty, Vec<usize>> {
        let membership = self.nodes.iter().find_map(|n| n.membership.as_ref());
        let directory = membership.expect("a running node").directory();
        let address = |key| directory.get(key).expect("a holder is a member").address;
        let nodes = |duty: &Duty| {
            let keys = holders(directory, duty).into_iter();
            keys.map(|key| self.node_at(address(key))).collect()
        };
        let duties = self.duties().into_iter();
        duties.map(|duty| (duty.clone(), nodes(&duty))).collect()
    }

    /// The first holder of the gateway duty of a region.
    pub fn gateway(&self, region: &Name) -> usize {
        let region = region.clone();
        self.holders()[&Duty::Gateway { region }][0]
    }

    fn duties(&self) -> Vec<Duty> {
        let zones: BTreeSet<&Name> = self.nodes.iter().map(|n| &n.entry.zone).collect();
        let regions: BTreeSet<&Name> = self.nodes.iter().map(|n| &n.entry.region).collect();
        let relays = zones
            .into_iter()
            .map(|zone| Duty::Relay { zone: zone.clone() });
        let gateways = regions.into_iter().map(|region| Duty::Gateway {
            region: region.clone(),
        });
        relays.chain(gateways).collect()
    }
}
