//! Who has applied a configuration version, for the status of an availability zone.

use crate::directory::Directory;
use knapweed_world::{ConfigVersion, Name};
use serde::{Deserialize, Serialize};

/// A member and the version it has applied.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberVersion {
    /// Name of the host.
    pub host: Name,
    /// The version applied in its current incarnation.
    pub applied: ConfigVersion,
    /// The highest version the host has served in any incarnation.
    pub served: ConfigVersion,
    /// Whether the member is not dead.
    pub is_present: bool,
}

/// The applied versions of one availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppliedVersions {
    /// The availability zone.
    pub zone: Name,
    /// Its members by name, the dead ones too as long as they are known, since
    /// their hosts may restart.
    pub members: Vec<MemberVersion>,
}

impl AppliedVersions {
    /// Collects the versions of the members of `zone`.
    pub fn collect(directory: &Directory, zone: &Name) -> Self {
        let members = directory.iter().map(|(_, r)| r);
        let members = members.filter(|r| r.zone == *zone);
        let mut members: Vec<_> = members
            .map(|r| MemberVersion {
                host: r.host.clone(),
                applied: r.applied,
                served: r.served,
                is_present: r.is_present(),
            })
            .collect();
        members.sort();
        Self {
            zone: zone.clone(),
            members,
        }
    }

    /// Hosts that have not confirmed `version`.
    ///
    /// Members that leave are included until they stop, because they still serve.
    pub fn unconfirmed(&self, version: ConfigVersion) -> impl Iterator<Item = &Name> {
        let behind = self.present().filter(move |m| m.applied < version);
        behind.map(|m| &m.host)
    }

    /// The highest version that all members have applied; `None` without members.
    pub fn lowest(&self) -> Option<ConfigVersion> {
        self.present().map(|m| m.applied).min()
    }

    fn present(&self) -> impl Iterator<Item = &MemberVersion> {
        self.members.iter().filter(|m| m.is_present)
    }

    /// The highest version that a host has served, for its floor after a restart.
    pub fn served(&self, host: &Name) -> Option<ConfigVersion> {
        let member = self.members.iter().find(|m| m.host == *host);
        member.map(|m| m.served)
    }
}
