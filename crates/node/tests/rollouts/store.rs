//! Calls to the store of the platform and their execution. On the wire revisions are plain
//! numbers, and each answer reports the era of the store.

use futures_util::FutureExt;
use knapweed_node::orders::{Order, Progress};
use knapweed_rollout::{Revision, RolloutState, StoreEra};
use knapweed_store::{Condition, Error, MemoryStore, Object, ObjectKey, ObjectStore};
use knapweed_world::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const ORDERS: &str = "orders";
const STATES: &str = "mesh-rollouts";

/// An order and its status as stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderDoc {
    pub(crate) target: Name,
    pub(crate) time_s: u64,
    pub(crate) status: Option<(Name, Status)>,
}

/// The reported progress.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Status {
    Running,
    Completed,
    PulledBack,
}

impl From<Progress> for Status {
    fn from(progress: Progress) -> Self {
        match progress {
            Progress::Running => Self::Running,
            Progress::Completed => Self::Completed,
            Progress::PulledBack => Self::PulledBack,
        }
    }
}

impl From<Status> for Progress {
    fn from(status: Status) -> Self {
        match status {
            Status::Running => Self::Running,
            Status::Completed => Self::Completed,
            Status::PulledBack => Self::PulledBack,
        }
    }
}

pub(crate) fn order_key(service: &Name) -> ObjectKey {
    ObjectKey::new(ORDERS, service.as_str())
}

fn state_key(service: &Name) -> ObjectKey {
    ObjectKey::new(STATES, service.as_str())
}

pub(crate) fn decode_order(object: &Object) -> OrderDoc {
    serde_json::from_slice(&object.value).expect("an order")
}

fn decode_state(object: &Object) -> RolloutState {
    serde_json::from_slice(&object.value).expect("a state")
}

/// The stored state of a service's newest rollout.
pub(crate) fn stored_state(store: &MemoryStore, service: &Name) -> Option<RolloutState> {
    store.peek(&state_key(service)).map(|o| decode_state(&o))
}

impl OrderDoc {
    /// The progress of this order; a status for another target belongs to an earlier one.
    pub(crate) fn reported(&self) -> Option<Progress> {
        let (target, status) = self.status.as_ref()?;
        (*target == self.target).then(|| (*status).into())
    }

    fn order(&self, service: Name) -> Order {
        Order {
            service,
            target: self.target.clone(),
            time: Duration::from_secs(self.time_s),
            reported: self.reported(),
        }
    }
}

/// A call.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    LoadOrders,
    WatchOrders(Revision),
    ReadOrder(Name),
    WriteStatus(Name, (Name, Status), Revision),
    ReadState(Name),
    WriteState(Box<RolloutState>, Revision),
}

impl Call {
    /// Era of the condition of a change; `None` for other calls.
    pub(crate) fn condition(&self) -> Option<StoreEra> {
        match self {
            Self::WriteStatus(.., revision) | Self::WriteState(_, revision) => Some(revision.era),
            _ => None,
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Orders(Vec<Order>, Revision),
    Order(Option<(OrderDoc, Revision)>),
    State(Option<(Box<RolloutState>, Revision)>),
    Written(Revision),
}

fn now<T>(call: impl Future<Output = T>) -> Option<T> {
    call.now_or_never()
}

/// Executes a call; `None` when a watch finds no change.
pub(crate) fn execute(store: &MemoryStore, call: &Call) -> Option<Result<Reply, Error>> {
    let era = store.latest_revision().era;
    let condition = |revision: Revision| match revision.number {
        0 => Condition::Absent,
        number => Condition::Revision(Revision::new(number).in_era(era)),
    };
    let order = |key: &ObjectKey, object: &Object| {
        let service = key.name().parse().expect("a name");
        decode_order(object).order(service)
    };
    let reply = match call {
        Call::LoadOrders => now(store.list(ORDERS))?.map(|listing| {
            let orders = listing.objects.iter().map(|(key, o)| order(key, o));
            Reply::Orders(orders.collect(), listing.revision)
        }),
        Call::WatchOrders(after) => {
            let number = Revision::new(after.number).in_era(era);
            let found = now(store.watch(ORDERS, number, Duration::from_secs(3_600)))?;
            found.map(|changes| {
                let changed = changes.changes.iter();
                let orders = changed.filter_map(|c| Some(order(&c.key, c.object.as_ref()?)));
                Reply::Orders(orders.collect(), changes.revision)
            })
        }
        Call::ReadOrder(service) => now(store.read(&order_key(service)))?
            .map(|found| Reply::Order(found.map(|o| (decode_order(&o), o.revision)))),
        Call::ReadState(service) => now(store.read(&state_key(service)))?
            .map(|found| Reply::State(found.map(|o| (Box::new(decode_state(&o)), o.revision)))),
        Call::WriteStatus(service, status, revision) => {
            let key = order_key(service);
            let Some(object) = store.peek(&key) else {
                return Some(Err(Error::Conflict { key, current: None }));
            };
            let doc = OrderDoc {
                status: Some(status.clone()),
                ..decode_order(&object)
            };
            let value = serde_json::to_vec(&doc).expect("a document");
            now(store.write(&key, value.into(), condition(*revision)))?.map(Reply::Written)
        }
        Call::WriteState(state, revision) => {
            let value = serde_json::to_vec(state).expect("a document");
            let key = state_key(&state.service);
            now(store.write(&key, value.into(), condition(*revision)))?.map(Reply::Written)
        }
    };
    Some(reply)
}
