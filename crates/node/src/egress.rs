//! The egress: runs requests on the backend servers of the own host.

mod crashes;
mod exchange;
mod exchanges;
mod lane;
mod pool;
pub mod serve;

use crate::body::Body;
use crate::carrier::Response;
use crate::protocol::ServerProtocol;
use crate::request_log::EgressLog;
use crate::trial::Trials;
use arc_swap::ArcSwap;
use crashes::Crashes;
use exchanges::Exchanges;
use futures_util::future::BoxFuture;
use knapweed_host::crash::CrashRecord;
use knapweed_host::{NotRun, Outcome};
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::{Announcement, ServerState};
use lane::Lane;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Lanes by the address of their backend server.
type Lanes = HashMap<SocketAddr, Arc<Lane>>;

/// The egress of a host.
pub struct Egress {
    lanes: ArcSwap<Lanes>,
    /// Held while the lanes are replaced.
    announcing: Mutex<()>,
    protocol: Arc<dyn ServerProtocol>,
    trials: Arc<Trials>,
    exchanges: Arc<Exchanges>,
    crashes: Arc<Crashes>,
    timer: TimerService,
}

/// Construction and backend servers.
impl Egress {
    /// An egress without backend servers that counts for `trials`.
    pub fn new(
        timer: TimerService,
        trials: Arc<Trials>,
        protocol: Arc<dyn ServerProtocol>,
    ) -> Self {
        Self {
            lanes: ArcSwap::default(),
            announcing: Mutex::new(()),
            protocol,
            trials,
            crashes: Arc::new(Crashes::new(timer.clone())),
            exchanges: Arc::new(Exchanges::new(timer.clone())),
            timer,
        }
    }

    /// The headers of backend servers.
    pub fn protocol(&self) -> &dyn ServerProtocol {
        &*self.protocol
    }

    /// Takes over what a backend server of this host announces.
    ///
    /// When this returns, a leaving backend server gets no new request.
    pub fn announce(&self, announcement: &Announcement) {
        let _announcing = self.announcing.lock();
        let mut lanes = Lanes::clone(&self.lanes.load());
        let known = lanes.get(&announcement.address);
        let same = known.filter(|l| l.is_same_server(announcement));
        match (same, announcement.state) {
            (Some(lane), ServerState::Draining | ServerState::Gone) => lane.drain(),
            (Some(lane), _) => return lane.update(announcement),
            (None, ServerState::Draining | ServerState::Gone) => return,
            (None, _) => {
                // An earlier process at the address has ended.
                if let Some(earlier) = known {
                    earlier.drain();
                }
                let lane = Arc::new(Lane::new(
                    announcement.clone(),
                    Arc::clone(&self.protocol),
                    Arc::clone(&self.trials),
                    Arc::clone(&self.crashes),
                    self.timer.clone(),
                ));
                lanes.insert(announcement.address, lane);
            }
        }
        if announcement.state == ServerState::Gone {
            lanes.remove(&announcement.address);
        }
        self.lanes.store(Arc::new(lanes));
    }
}

/// Crashes.
impl Egress {
    /// Takes the crash records that other nodes should be told.
    pub fn take_crashes(&self) -> Vec<CrashRecord> {
        self.crashes.take_news()
    }

    /// Takes crash records of another node.
    pub fn learn_crashes(&self, records: Vec<CrashRecord>) {
        self.crashes.merge(records);
    }
}

/// Requests.
impl Egress {
    /// Runs a request on the backend server that its head names.
    pub fn run(&self, head: RequestHead, body: Body) -> BoxFuture<'static, Response> {
        let lane = self.lanes.load().get(&head.address).cloned();
        Box::pin(async move {
            match lane.filter(|l| l.serves(&head)) {
                Some(lane) => lane.run(head, body).await,
                None => {
                    let response = Response::without_answer(Outcome::NotRun(NotRun::NoServer));
                    EgressLog::new(&head, None).ended(&response.head, Duration::ZERO);
                    response
                }
            }
        })
    }
}

/// Time left of a request, as a duration.
fn time_left(head: &RequestHead) -> Duration {
    Duration::from_micros(head.time_left_us)
}
