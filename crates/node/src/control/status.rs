//! The status object of an availability zone: applied versions for floors, and
//! entry addresses for starting nodes and other availability zones.

use super::{Control, Event};
use knapweed_observe::part;
use knapweed_platform::{Condition, Error, Object, ObjectKey, Platform};
use knapweed_world::{Name, Time};
use knapweed_zone::applied::AppliedVersions;
use knapweed_zone::{MemberState, membership};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Prefix of the keys of status objects.
const PREFIX: &str = "zone/";
/// Time between writes of the status by a relay.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between reads of the entry addresses of other availability zones.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(30);
/// Entry addresses in a status.
const MAX_ENTRIES: usize = 8;

/// The status of an availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct ZoneStatus {
    pub(super) applied: AppliedVersions,
    pub(super) entries: Vec<SocketAddr>,
}

/// Times of the next periodic steps.
#[derive(Debug, Default)]
pub(super) struct StatusTimes {
    written: Time,
    entries_read: Option<Time>,
}

impl Control {
    pub(super) fn status_tick(&mut self, now: Time) {
        if !self.is_relay() {
            return;
        }
        if self.is_first_relay(now) && now.since(self.status.written) >= WRITE_INTERVAL {
            self.status.written = now;
            self.write_status();
        }
        let read = self.status.entries_read;
        let is_due = read.is_none_or(|at| now.since(at) >= ENTRIES_INTERVAL);
        if is_due && !self.knows_other_zones() {
            self.status.entries_read = Some(now);
            self.read_entries();
        }
    }

    fn knows_other_zones(&self) -> bool {
        let own = &self.membership.own().zone;
        let mut members = self.membership.directory().present();
        members.any(|(_, record)| record.zone != *own)
    }

    fn write_status(&self) {
        let zone = self.membership.own().zone.clone();
        let directory = self.membership.directory();
        let members = directory.present().map(|(_, r)| r);
        let alive = members.filter(|r| r.zone == zone && r.state == MemberState::Alive);
        let status = ZoneStatus {
            applied: AppliedVersions::collect(directory, &zone),
            entries: alive.map(|r| r.address).take(MAX_ENTRIES).collect(),
        };
        let platform = self.parts.platform.clone();
        tokio::spawn(async move {
            if let Err(err) = write(&*platform, &zone, &status).await {
                log::debug!(target: part::PLATFORM, "status of {zone} not written: {err}");
            }
        });
    }

    fn read_entries(&self) {
        let (platform, handle) = (self.parts.platform.clone(), self.handle.clone());
        let own = key(&self.membership.own().zone);
        tokio::spawn(async move {
            match entries(&*platform, &own).await {
                Ok(entries) => {
                    let event = membership::Event::Entries(entries);
                    handle.send(Event::Membership(Box::new(event))).await;
                }
                Err(err) => log::debug!(target: part::PLATFORM, "no entry addresses: {err}"),
            }
        });
    }
}

/// Writes the status, unless another relay wrote since it was read.
async fn write(platform: &dyn Platform, zone: &Name, status: &ZoneStatus) -> Result<(), Error> {
    let key = key(zone);
    let condition = match platform.read(&key).await? {
        Some(object) => Condition::Revision(object.revision),
        None => Condition::Absent,
    };
    let value = serde_json::to_vec(status).map_err(|err| Error::Malformed(err.to_string()))?;
    match platform.write(&key, value.into(), condition).await {
        Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
        Err(err) => Err(err),
    }
}

/// Entry addresses of all availability zones but the one of `own`.
async fn entries(platform: &dyn Platform, own: &ObjectKey) -> Result<Vec<SocketAddr>, Error> {
    let mut found = Vec::new();
    for (key, _) in platform.list(PREFIX).await? {
        if key != *own
            && let Some(object) = platform.read(&key).await?
        {
            found.extend(decode(&object)?.entries);
        }
    }
    Ok(found)
}

/// Reads the status of an availability zone; `None` before its first one.
pub(super) async fn read(
    platform: &dyn Platform,
    zone: &Name,
) -> Result<Option<ZoneStatus>, Error> {
    platform
        .read(&key(zone))
        .await?
        .as_ref()
        .map(decode)
        .transpose()
}

fn key(zone: &Name) -> ObjectKey {
    ObjectKey::new(format!("{PREFIX}{zone}/status"))
}

fn decode(object: &Object) -> Result<ZoneStatus, Error> {
    serde_json::from_slice(&object.value).map_err(|err| Error::Malformed(err.to_string()))
}
