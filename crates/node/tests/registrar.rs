//! A registrar queries the health of backend servers that may have left.

use futures_util::future::BoxFuture;
use knapweed_host::admission::ColdStart;
use knapweed_host::registration::ServerHeartbeat;
use knapweed_node::registrar::{LocalServers, Registrar};
use knapweed_timer::TimerService;
use knapweed_world::ServerState;
use knapweed_world::backend_server::{Announcement, Instance};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Time within which a server that says that it stays must be announced.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// A backend server with scripted health responses. The last one is repeated.
#[derive(Debug, Default)]
struct ScriptedServer {
    responses: Mutex<VecDeque<Option<bool>>>,
    log: Mutex<Vec<String>>,
}

impl LocalServers for ScriptedServer {
    fn announce(&self, announcement: Announcement) -> BoxFuture<'_, ()> {
        let mut log = self.log.lock();
        log.push(format!("announced {:?}", announcement.state));
        Box::pin(async {})
    }

    fn state_cold_start(&self, _server: &Announcement, _cold_start: ColdStart) {}

    fn is_leaving<'a>(&'a self, _server: &'a Announcement) -> BoxFuture<'a, Option<bool>> {
        let mut responses = self.responses.lock();
        let response = responses.pop_front().expect("a response");
        if responses.is_empty() {
            responses.push_back(response);
        }
        self.log.lock().push(format!("leaving: {response:?}"));
        Box::pin(async move { response })
    }
}

/// A registrar on a node that has just started, beside a server that is older.
struct Fixture {
    server: Arc<ScriptedServer>,
    registrar: Arc<Registrar>,
}

impl Fixture {
    fn new(responses: impl IntoIterator<Item = Option<bool>>) -> Self {
        let server = Arc::new(ScriptedServer {
            responses: Mutex::new(responses.into_iter().collect()),
            ..ScriptedServer::default()
        });
        let registrar = Registrar::new(Arc::clone(&server) as _, TimerService::start());
        Self { server, registrar }
    }

    async fn heartbeat(&self, sequence: u64) {
        let instance: knapweed_world::Name = "i-1".parse().expect("a valid name");
        let announcement = Announcement {
            service: "calendar".parse().expect("a valid name"),
            version: "v1".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 8_000).into(),
            slots: 6,
            max_connections: 12,
            state: ServerState::Ready,
            instance: Some(Instance {
                name: instance.clone(),
                started_ms: 1,
            }),
            is_cold: false,
        };
        let heartbeat = ServerHeartbeat {
            instance,
            started_ms: 1,
            sequence,
            announcement,
            cold_left: Duration::ZERO,
        };
        self.registrar.heartbeat(heartbeat).await;
    }

    async fn leave(&self) {
        let instance = "i-1".parse().expect("a valid name");
        self.registrar.deregister(&instance).await;
    }

    fn log(&self) -> Vec<String> {
        self.server.log.lock().clone()
    }

    fn is_announced(&self) -> bool {
        self.log().iter().any(|line| line.starts_with("announced"))
    }
}

/// Guards against a server that left and gets requests again after a restart of its node,
/// because several heartbeats of it arrive late (DRAIN).
#[tokio::test]
async fn late_heartbeats_of_a_leaving_server_are_not_announced() {
    let fixture = Fixture::new([Some(true)]);
    for sequence in 7..12 {
        fixture.heartbeat(sequence).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(!fixture.is_announced(), "{:?}", fixture.log());
}

/// Guards against a sound server that stays out of use after a restart of its node because
/// its first health queries failed: it was busy, failing, or its service not configured yet.
#[tokio::test]
async fn a_server_is_queried_until_it_says_that_it_stays() {
    let responses = [None, Some(true), None, Some(false)];
    let fixture = Fixture::new(responses);
    fixture.heartbeat(7).await;
    let announced = async {
        while !fixture.is_announced() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let announced = tokio::time::timeout(RETURN_TIME, announced).await;
    assert!(announced.is_ok(), "{:?}", fixture.log());
    // A registered server is not queried again.
    fixture.heartbeat(8).await;
    insta::assert_snapshot!(fixture.log().join("\n"));
}

/// Guards against a health response from before a departure that registers the server.
#[tokio::test]
async fn a_departure_ends_the_queries() {
    let fixture = Fixture::new([None, Some(false)]);
    fixture.heartbeat(7).await;
    fixture.leave().await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    fixture.heartbeat(8).await;
    assert!(!fixture.is_announced(), "{:?}", fixture.log());
}
