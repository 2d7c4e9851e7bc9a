//! Duties of this node: its leases, and the roles that follow from them.

use super::{Control, Event};
use knapweed_observe::part;
use knapweed_platform::{Error as PlatformError, Object, ObjectKey};
use knapweed_world::Time;
use knapweed_zone::dissemination::peers::Role;
use knapweed_zone::duty::lease::{Action, CallNumber, Event as LeaseEvent, Holder, LeaseObject};
use knapweed_zone::duty::{Lease, candidates};
use knapweed_zone::{Duty, MemberRecord, membership};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a lease that this node may hold.
    pub struct LeaseKey;
}

/// The leases of all duties that this node may hold.
#[derive(Debug)]
pub(super) struct Duties {
    leases: SlotMap<LeaseKey, Lease>,
    role: Role,
    /// Whether the candidates must be chosen again.
    members_changed: bool,
}

impl Duties {
    pub(super) fn new(now: Time, own: &MemberRecord) -> Self {
        let duties = Duty::relays(&own.zone)
            .chain(Duty::gateways(&own.region))
            .chain([Duty::Rollout, Duty::Tickets]);
        let mut leases = SlotMap::with_key();
        for duty in duties {
            let holder = Holder {
                host: own.host.clone(),
                incarnation: own.incarnation,
            };
            let rng = SmallRng::seed_from_u64(rand::random());
            leases.insert(Lease::new(now, duty, holder, rng));
        }
        Self {
            leases,
            role: Role::default(),
            members_changed: true,
        }
    }

    /// Whether this node may use a duty now.
    pub(super) fn holds(&self, now: Time, is_duty: impl Fn(&Duty) -> bool) -> bool {
        let mut held = self.leases.values().filter(|l| is_duty(l.duty()));
        held.any(|lease| lease.token(now).is_some())
    }

    pub(super) fn members_changed(&mut self) {
        self.members_changed = true;
    }

    fn role(&self, now: Time) -> Role {
        Role {
            is_relay: self.holds(now, |duty| matches!(duty, Duty::Relay { .. })),
            is_gateway: self.holds(now, |duty| matches!(duty, Duty::Gateway { .. })),
        }
    }
}

/// Events.
impl Control {
    pub(super) fn duty_tick(&mut self, now: Time) {
        if std::mem::take(&mut self.duties.members_changed) {
            self.choose_candidates(now);
        }
        let keys: Vec<_> = self.duties.leases.keys().collect();
        for key in keys {
            self.lease_event(now, key, LeaseEvent::Tick);
        }
    }

    fn choose_candidates(&mut self, now: Time) {
        let directory = self.membership.directory();
        let own = directory.find(&self.membership.own().host);
        let leases = self.duties.leases.iter();
        let chosen = leases.map(|(key, lease)| {
            let best = candidates(directory, lease.duty());
            (key, own.is_some_and(|own| best.contains(&own)))
        });
        let chosen: Vec<_> = chosen.collect();
        for (key, is_candidate) in chosen {
            self.lease_event(now, key, LeaseEvent::Candidate(is_candidate));
        }
    }

    /// Gives all duties up, so that others take them at once.
    pub(super) fn release_duties(&mut self, now: Time) {
        let keys: Vec<_> = self.duties.leases.keys().collect();
        for key in keys {
            self.lease_event(now, key, LeaseEvent::Leave);
        }
    }

    pub(super) fn lease_event(&mut self, now: Time, key: LeaseKey, event: LeaseEvent) {
        let Some(lease) = self.duties.leases.get_mut(key) else {
            return;
        };
        let duty = lease.duty().clone();
        for action in lease.handle(now, event) {
            self.lease_action(key, &duty, action);
        }
        let role = self.duties.role(now);
        if role != self.duties.role {
            self.duties.role = role;
            self.member_event(now, membership::Event::RoleChanged(role));
        }
    }

    fn lease_action(&self, key: LeaseKey, duty: &Duty, action: Action) {
        match action {
            Action::Read(call) => self.read_lease(key, duty, call),
            Action::Write {
                call,
                value,
                condition,
            } => {
                let (platform, handle) = (self.parts.platform.clone(), self.handle.clone());
                let object = object_key(duty);
                let value = serde_json::to_vec(&value).expect("a lease value has only text keys");
                tokio::spawn(async move {
                    let answer = platform.write(&object, value.into(), condition).await;
                    let event = LeaseEvent::Written(call, answer);
                    handle.send(Event::Lease { key, event }).await;
                });
            }
            Action::Acquired(token) => {
                log::info!(target: part::DUTY, "acquired {duty} with token {}", token.0);
            }
            Action::Renewed(_) => {}
            Action::StopUsing => log::info!(target: part::DUTY, "no longer holds {duty}"),
        }
    }

    fn read_lease(&self, key: LeaseKey, duty: &Duty, call: CallNumber) {
        let (platform, handle) = (self.parts.platform.clone(), self.handle.clone());
        let object = object_key(duty);
        tokio::spawn(async move {
            let answer = platform
                .read(&object)
                .await
                .and_then(|o| o.map(decode).transpose());
            let event = LeaseEvent::Read(call, answer);
            handle.send(Event::Lease { key, event }).await;
        });
    }
}

/// What this node may do.
impl Control {
    pub(super) fn holds_rollout_duty(&self) -> bool {
        self.duties.holds(self.now(), |duty| *duty == Duty::Rollout)
    }

    pub(super) fn holds_ticket_duty(&self) -> bool {
        self.duties.holds(self.now(), |duty| *duty == Duty::Tickets)
    }

    /// Whether this node holds the first of the relay leases of its zone.
    pub(super) fn is_first_relay(&self, now: Time) -> bool {
        self.duties
            .holds(now, |duty| matches!(duty, Duty::Relay { slot: 0, .. }))
    }

    pub(super) fn is_relay(&self) -> bool {
        self.duties.role.is_relay
    }
}

fn object_key(duty: &Duty) -> ObjectKey {
    ObjectKey::new(format!("lease/{duty}"))
}

fn decode(object: Object) -> Result<LeaseObject, PlatformError> {
    let value = serde_json::from_slice(&object.value);
    let value = value.map_err(|err| PlatformError::Malformed(err.to_string()))?;
    Ok(LeaseObject {
        revision: object.revision,
        value,
    })
}
