//! Default versions of services whose configuration names none.
//!
//! Such a service runs the versions that its backend servers had when they were first
//! announced. Another version gets requests only through a rollout, even when its
//! backend servers announce themselves before this node knows the rollout.

use knapweed_world::config::VersionShare;
use knapweed_world::{Name, ServerState, Share};
use knapweed_zone::Directory;
use std::collections::{BTreeMap, BTreeSet};

/// The established versions of each service.
#[derive(Debug, Default)]
pub(super) struct EstablishedVersions(BTreeMap<Name, BTreeSet<Name>>);

impl EstablishedVersions {
    /// Updates the established versions from the ready backend servers in `directory`.
    ///
    /// Returns whether any has changed.
    pub(super) fn refresh(&mut self, directory: &Directory) -> bool {
        let mut present: BTreeMap<&Name, BTreeSet<&Name>> = BTreeMap::new();
        for (_, record) in directory.present() {
            for server in record.announcements.iter() {
                if server.state == ServerState::Ready {
                    let versions = present.entry(&server.service).or_default();
                    versions.insert(&server.version);
                }
            }
        }
        let mut changed = false;
        for (service, versions) in present {
            let known = self.0.entry(service.clone()).or_default();
            // Without backend servers of the established versions, the present
            // versions replace them, so that the service stays available.
            if !known.iter().any(|version| versions.contains(version)) {
                *known = versions.into_iter().cloned().collect();
                changed = true;
            }
        }
        changed
    }

    /// Even shares of the established versions of a service.
    pub(super) fn shares(&self, service: &Name) -> Vec<VersionShare> {
        even_shares(self.0.get(service).into_iter().flatten())
    }

    /// Even shares of the versions from which the first rollout of a service moves its
    /// traffic to `target`.
    ///
    /// The servers of the target may have been announced before the order was known. A node
    /// that started at that time takes the target for established, or has seen no other
    /// version first.
    pub(super) fn shares_before(
        &self,
        service: &Name,
        target: &Name,
        directory: &Directory,
    ) -> Vec<VersionShare> {
        let announcements = directory
            .present()
            .flat_map(|(_, record)| record.announcements.iter())
            .filter(|server| server.service == *service && server.state == ServerState::Ready);
        let present = announcements.map(|server| &server.version);
        let established = self.0.get(service).into_iter().flatten();
        let versions: BTreeSet<_> = established
            .chain(present)
            .filter(|version| *version != target)
            .collect();
        even_shares(versions.iter().copied())
    }
}

fn even_shares<'a>(versions: impl Iterator<Item = &'a Name> + Clone) -> Vec<VersionShare> {
    let count = versions.clone().count() as u16;
    let mut rest = Share::ALL.0;
    let shares = versions.enumerate().map(|(index, version)| {
        let share = rest / (count - index as u16);
        rest -= share;
        VersionShare {
            version: version.clone(),
            share: Share(share),
        }
    });
    shares.collect()
}
