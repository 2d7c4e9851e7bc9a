//! Reads and writes of stored rollout states.

use crate::control::{Controller, Event};
use knapweed_observe::part;
use knapweed_rollout::control::WriteResult;
use knapweed_rollout::{self as rollout, Revision, RolloutState};
use knapweed_store::{Condition, Error as StoreError, Object, ObjectKey};
use knapweed_world::Name;

/// Object kind of the stored rollout states.
const KIND: &str = "mesh-rollouts";

impl Controller {
    pub(super) fn read_state(&self, service: Name) {
        let store = self.dependencies.store.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            // An answer without a state belongs to this era or a later one.
            let absent = Revision::ABSENT.in_era(store.era().unwrap_or_default());
            let outcome = store.read(&key(&service)).await;
            let event = match outcome.as_ref().map(|o| o.as_ref().map(decode).transpose()) {
                Ok(Ok(stored)) => rollout::Event::Read {
                    revision: stored.as_ref().map_or(absent, |(r, _)| *r),
                    state: stored.map(|(_, state)| state),
                },
                Ok(Err(err)) => {
                    log::error!(target: part::ROLLOUT, "invalid stored state of {service}: {err}");
                    rollout::Event::ReadFailed
                }
                Err(_) => rollout::Event::ReadFailed,
            };
            handle
                .send(Event::Rollout {
                    service,
                    event: Box::new(event),
                })
                .await;
        });
    }

    pub(super) fn write_state(&self, state: RolloutState, condition: Revision) {
        let store = self.dependencies.store.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let service = state.service.clone();
            let condition = match condition {
                Revision { number: 0, .. } => Condition::Absent,
                revision => Condition::Revision(revision),
            };
            let outcome = match serde_json::to_vec(&state) {
                Ok(value) => store.write(&key(&service), value.into(), condition).await,
                Err(err) => Err(StoreError::Malformed(err.to_string())),
            };
            let event = rollout::Event::Write(match outcome {
                Ok(revision) => WriteResult::Written(revision),
                Err(StoreError::Conflict { .. }) => WriteResult::Conflict,
                Err(_) => WriteResult::Unknown,
            });
            handle
                .send(Event::Rollout {
                    service,
                    event: Box::new(event),
                })
                .await;
        });
    }
}

pub(in crate::control) fn key(service: &Name) -> ObjectKey {
    ObjectKey::new(KIND, service.as_str())
}

pub(in crate::control) fn decode(
    object: &Object,
) -> Result<(Revision, RolloutState), serde_json::Error> {
    let state = serde_json::from_slice(&object.value)?;
    Ok((object.revision, state))
}
