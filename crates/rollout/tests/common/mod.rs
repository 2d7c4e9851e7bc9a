//! Test helpers: a stand-in for the platform, a simulated service, and builders of
//! configurations and states.
#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

pub mod by_time;
pub mod platform;
pub mod replay;
pub mod scenario;
pub mod service;

use knapweed_rollout::{Epoch, Evidence, Phase, RolloutState, ZoneCapacity};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, UnixMillis};

pub const START: UnixMillis = UnixMillis(1_000_000);

pub fn name(text: &str) -> Name {
    text.parse().unwrap()
}

pub fn share(version: &str, percent: u8) -> VersionShare {
    VersionShare {
        version: name(version),
        share: Share::from_percent(percent),
    }
}

pub fn terms(deadline_s: u64) -> RolloutTerms {
    RolloutTerms {
        start: START,
        deadline: UnixMillis(START.0 + deadline_s * 1_000),
        min_old_capacity: 25,
        caution: Caution::Careful,
        from: vec![share("v1", 100)],
    }
}

/// A configuration with a rollout that moves all traffic to `target`.
pub fn config(ticket: u64, target: &str, deadline_s: u64) -> ServiceConfig {
    ServiceConfig {
        versions: vec![share(target, 100)],
        rollout: Some(terms(deadline_s)),
        ticket: TicketNumber(ticket),
        changed_at: ConfigVersion(ticket),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    }
}

pub fn state(ticket: u64, epoch: u64, phase: Phase) -> RolloutState {
    RolloutState {
        service: name("calendar"),
        ticket: TicketNumber(ticket),
        epoch: Epoch(epoch),
        phase,
        changed: START,
        terms: terms(100),
        target: vec![share("v2", 100)],
        proven: Vec::new(),
        has_result: true,
        evidence: Evidence::default(),
        owed: Vec::new(),
    }
}

pub fn capacity(zone: &str, version: &str, slots: u32) -> ZoneCapacity {
    ZoneCapacity {
        zone: name(zone),
        version: name(version),
        slots,
    }
}
