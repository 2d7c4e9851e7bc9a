//! The egress: runs requests on the backend servers of its host.

mod cold_limits;
mod crashes;
mod dispatcher;
mod exchange;
mod exchanges;
mod lost;
mod pool;
pub mod serve;
mod unsized_body;

use crate::body::Body;
use crate::carrier::Response;
use crate::protocol::{Mismatch, ServerProtocol};
use crate::request_log::EgressLog;
use crate::trial::Trials;
use arc_swap::ArcSwap;
pub use crashes::{CrashRecorder, CrashTracker, NewCrashes};
use dispatcher::Dispatcher;
use exchanges::Exchanges;
use futures_util::future::BoxFuture;
use knapweed_host::admission::{ColdAllowance, ColdStart};
use knapweed_host::crash::{CrashCounts, CrashDigest, CrashRecord};
use knapweed_host::{ByteBudget, CallerBounds, NotRun, Outcome};
use knapweed_link::{Backlog, LinkRate};
use knapweed_observe::metrics::LabeledCounter;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::{Name, RequestRate};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Dispatchers by the address of their backend server.
type Dispatchers = HashMap<SocketAddr, Arc<Dispatcher>>;

/// The egress of a host, with a dispatcher for each of its backend servers.
pub struct Egress {
    dispatchers: ArcSwap<Dispatchers>,
    /// Held while the map of dispatchers is replaced.
    announce_lock: Mutex<()>,
    exchanges: Arc<Exchanges>,
    shared: dispatcher::Shared,
}

/// Construction and announcements of backend servers.
impl Egress {
    /// Creates an egress without backend servers. It records the outcomes of
    /// requests in `trials`.
    pub fn new(
        timer: TimerService,
        trials: Arc<Trials>,
        protocol: Arc<dyn ServerProtocol>,
    ) -> Self {
        Self {
            dispatchers: ArcSwap::default(),
            announce_lock: Mutex::new(()),
            exchanges: Arc::new(Exchanges::new(timer.clone())),
            shared: dispatcher::Shared {
                protocol,
                trials,
                crashes: Arc::new(CrashTracker::new(timer.clone())),
                leaving: Arc::default(),
                uplink: None,
                cold_limits: Arc::default(),
                is_evacuated: Arc::default(),
                buffered: Arc::new(ByteBudget::new(CallerBounds::default().memory)),
                rejections: LabeledCounter::new("reason", Mismatch::ALL.map(Mismatch::label)),
                timer,
            },
        }
    }

    /// Sets the rate of the host's link, so that load reports tell what waits for it.
    pub fn with_uplink(mut self, rate: LinkRate) -> Self {
        self.shared.uplink = Some(Arc::new(Backlog::new(rate)));
        self
    }

    /// Reserves the responses that it buffers from `budget`.
    pub fn with_budget(mut self, budget: Arc<ByteBudget>) -> Self {
        self.shared.buffered = budget;
        self
    }

    /// What this host knows of requests that crash backend servers.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.shared.crashes
    }

    /// Counts the answers of backend servers that are not passed on, by [`Mismatch`].
    pub fn rejections(&self) -> &LabeledCounter {
        &self.shared.rejections
    }

    /// The header format of the backend servers.
    pub fn protocol(&self) -> &dyn ServerProtocol {
        &*self.shared.protocol
    }

    /// Applies an announcement of a backend server on this host.
    ///
    /// Once this returns, a draining or stopped backend server gets no new request.
    pub fn announce(&self, announcement: &Announcement) {
        let _announce_lock = self.announce_lock.lock();
        let mut dispatchers = Dispatchers::clone(&self.dispatchers.load());
        let known = dispatchers.get(&announcement.address);
        let same = known.filter(|d| d.is_same_server(announcement));
        match (same, announcement.state) {
            (Some(dispatcher), ServerState::Draining | ServerState::Gone) => dispatcher.drain(),
            (Some(dispatcher), _) => return dispatcher.update(announcement),
            (None, ServerState::Draining | ServerState::Gone) => return,
            (None, _) => {
                // A new server at this address means that the earlier process has ended.
                if let Some(earlier) = known {
                    earlier.replaced_by(announcement);
                }
                let shared = self.shared.clone();
                let dispatcher = Arc::new(Dispatcher::new(announcement.clone(), shared));
                dispatchers.insert(announcement.address, dispatcher);
            }
        }
        if announcement.state == ServerState::Gone {
            dispatchers.remove(&announcement.address);
        }
        self.dispatchers.store(Arc::new(dispatchers));
    }
}

/// Backend servers that are cold, or in an evacuated availability zone.
impl Egress {
    /// Sets the limits of cold backend servers by their service; services without one are
    /// left out.
    pub fn set_cold_limits(&self, rates: HashMap<Name, RequestRate>) {
        if self.shared.cold_limits.set_rates(rates) {
            self.for_each_dispatcher(Dispatcher::cold_limits_changed);
        }
    }

    /// Sets what cold backend servers may get beyond their limits.
    pub fn allow_cold(&self, allowance: ColdAllowance) {
        self.shared.cold_limits.set_allowance(allowance);
        self.for_each_dispatcher(Dispatcher::cold_limits_changed);
    }

    /// Applies what the backend server of an announcement states about its cold start.
    pub fn state_cold_start(&self, server: &Announcement, cold_start: ColdStart) {
        let known = self.dispatchers.load().get(&server.address).cloned();
        if let Some(dispatcher) = known.filter(|d| d.is_same_server(server)) {
            dispatcher.state_cold_start(cold_start);
        }
    }

    /// Sets whether the availability zone of this host is evacuated: its backend servers then
    /// get no requests. They may have become cold meanwhile, so afterwards they count as cold
    /// until they say otherwise.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        let was_evacuated = self.shared.is_evacuated.load(Ordering::SeqCst);
        if was_evacuated && !is_evacuated {
            self.for_each_dispatcher(Dispatcher::doubt_warmth);
        }
        self.shared
            .is_evacuated
            .store(is_evacuated, Ordering::SeqCst);
    }

    fn for_each_dispatcher(&self, apply: impl Fn(&Dispatcher)) {
        let dispatchers = self.dispatchers.load();
        dispatchers.values().for_each(|d| apply(d));
    }
}

/// Backend servers that are shutting down.
impl Egress {
    /// Takes the announcements of backend servers that said in an answer that they are
    /// shutting down.
    pub fn take_leaving(&self) -> Vec<Announcement> {
        std::mem::take(&mut *self.shared.leaving.lock())
    }
}

/// Exchange of crash records with other nodes.
impl Egress {
    /// Takes the crash records that have not been sent to other nodes yet.
    pub fn take_crashes(&self) -> NewCrashes {
        self.shared.crashes.take_unsent()
    }

    /// Digest of the crash records that are held against requests.
    pub fn crash_digest(&self) -> CrashDigest {
        self.shared.crashes.digest()
    }

    /// All crash records.
    pub fn crash_records(&self) -> Vec<CrashRecord> {
        self.shared.crashes.records()
    }

    /// Merges crash records received from another node.
    pub fn merge_crashes(&self, records: Vec<CrashRecord>) {
        self.shared.crashes.merge(records);
    }

    /// Number of requests that this node suspects of crashing backend servers, and of
    /// those that it refuses.
    pub fn crash_counts(&self) -> CrashCounts {
        self.shared.crashes.counts()
    }
}

/// Dispatch of requests to the backend servers.
impl Egress {
    /// Runs a request on the backend server whose address its head contains.
    ///
    /// The outcome is [`NotRun::NoServer`] when no backend server of the requested
    /// service and version is known at that address.
    pub fn run(&self, head: RequestHead, body: Body) -> BoxFuture<'static, Response> {
        let dispatcher = self.dispatchers.load().get(&head.address).cloned();
        Box::pin(async move {
            match dispatcher.filter(|d| d.serves(&head)) {
                Some(dispatcher) => dispatcher.run(head, body).await,
                None => {
                    let response = Response::without_answer(Outcome::NotRun(NotRun::NoServer));
                    EgressLog::new(&head, None).record_outcome(&response.head, Duration::ZERO);
                    response
                }
            }
        })
    }
}

/// Time that was left until the deadline when the ingress sent the request.
fn time_left(head: &RequestHead) -> Duration {
    Duration::from_micros(head.time_left_us)
}
