//! The egress: runs requests on the backend servers of the own host.

mod crashes;
mod exchange;
mod exchanges;
mod lane;
mod pool;
pub mod serve;

use crate::body::Body;
use crate::carrier::Response;
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
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Lanes by the address of their backend server.
type Lanes = HashMap<SocketAddr, Arc<Lane>>;

/// The egress of a host.
pub struct Egress {
    lanes: ArcSwap<Lanes>,
    trials: Arc<Trials>,
    exchanges: Arc<Exchanges>,
    crashes: Arc<Crashes>,
    timer: TimerService,
}

/// Construction and backend servers.
impl Egress {
    /// An egress without backend servers that counts for `trials`.
    pub fn new(timer: TimerService, trials: Arc<Trials>) -> Self {
        Self {
            lanes: ArcSwap::default(),
            trials,
            crashes: Arc::new(Crashes::new(timer.clone())),
            exchanges: Arc::new(Exchanges::new(timer.clone())),
            timer,
        }
    }

    /// Takes over what a backend server of this host announces.
    ///
    /// Called by the control thread only.
    pub fn announce(&self, announcement: &Announcement) {
        let mut lanes = Lanes::clone(&self.lanes.load());
        let known = lanes
            .get(&announcement.address)
            .filter(|l| l.is_same_server(announcement));
        match (known, announcement.state) {
            (Some(lane), ServerState::Draining | ServerState::Gone) => lane.drain(),
            (Some(_), _) | (None, ServerState::Draining | ServerState::Gone) => return,
            (None, _) => {
                let lane = Arc::new(Lane::new(
                    announcement.clone(),
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
            let result = match lane.filter(|l| l.serves(&head)) {
                Some(lane) => lane.run(head, body).await,
                None => Err(Outcome::NotRun(NotRun::NoServer)),
            };
            result.unwrap_or_else(Response::without_answer)
        })
    }
}

/// Time left of a request, as a duration.
fn time_left(head: &RequestHead) -> Duration {
    Duration::from_micros(head.time_left_us)
}
