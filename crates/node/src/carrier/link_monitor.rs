//! Monitors the connections with pending requests, and closes silent ones, that is,
//! connections that deliver nothing although neither end closed them.

use knapweed_host::peer_health::{Action, PeerConnectionKey, PeerHealth};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_transport::{Link, LinkId, Peers};
use knapweed_world::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time between two checks of the connections with pending requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

enum Event {
    Sent(Link),
    Ended(Link),
}

/// Handle to the monitor task. Its channel is unbounded, but holds at most two
/// events per request, so the number of open requests limits it.
#[derive(Clone, Debug)]
pub(super) struct LinkMonitor {
    events: UnboundedSender<Event>,
}

impl LinkMonitor {
    /// Starts the monitor task, which ends when all handles are dropped.
    pub(super) fn start(peers: Arc<Peers>, timer: TimerService) -> Self {
        let (events, rx) = unbounded_channel();
        let task = MonitorTask {
            peers,
            timer,
            hosts: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { events }
    }

    /// Registers a request that is sent on `link`. It is pending until the returned
    /// guard is dropped.
    pub(super) fn sent(&self, link: Link) -> PendingRequest {
        let _ = self.events.send(Event::Sent(link.clone()));
        PendingRequest {
            events: self.events.clone(),
            link,
        }
    }
}

/// A request whose response is not complete.
#[derive(Debug)]
pub(super) struct PendingRequest {
    events: UnboundedSender<Event>,
    link: Link,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Ended(self.link.clone()));
    }
}

/// A connection with pending requests.
struct MonitoredLink {
    link: Link,
    key: PeerConnectionKey,
    pending: u32,
    received: u64,
}

/// The connections to one host that have pending requests.
#[derive(Default)]
struct HostLinks {
    health: PeerHealth,
    links: HashMap<LinkId, MonitoredLink>,
}

impl HostLinks {
    fn sent(&mut self, link: Link, now: Time) {
        let health = &mut self.health;
        let monitored = self
            .links
            .entry(link.id())
            .or_insert_with(|| MonitoredLink {
                key: health.opened(now),
                received: link.datagrams_received(),
                pending: 0,
                link,
            });
        monitored.pending += 1;
        health.sent(monitored.key, now);
    }

    fn ended(&mut self, id: LinkId) {
        let Some(monitored) = self.links.get_mut(&id) else {
            return;
        };
        monitored.pending -= 1;
        self.health.ended(monitored.key);
        if monitored.pending == 0 {
            self.health.closed(monitored.key);
            self.links.remove(&id);
        }
    }

    fn check(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for monitored in self.links.values_mut() {
            let received = monitored.link.datagrams_received();
            if received != monitored.received {
                monitored.received = received;
                actions.extend(self.health.received(monitored.key, now));
            }
        }
        actions.extend(self.health.tick(now));
        actions
    }

    fn find(&self, key: PeerConnectionKey) -> Option<&Link> {
        let monitored = self.links.values().find(|w| w.key == key);
        monitored.map(|w| &w.link)
    }
}

struct MonitorTask {
    peers: Arc<Peers>,
    timer: TimerService,
    hosts: HashMap<SocketAddr, HostLinks>,
}

impl MonitorTask {
    async fn run(mut self, mut events: UnboundedReceiver<Event>) {
        let mut ticks = self.timer.subscribe(CHECK_INTERVAL);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                now = ticks.tick(), if !self.hosts.is_empty() => self.check(now),
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Sent(link) => {
                let host = self.hosts.entry(link.address()).or_default();
                host.sent(link, self.timer.now());
            }
            Event::Ended(link) => {
                let Some(host) = self.hosts.get_mut(&link.address()) else {
                    return;
                };
                host.ended(link.id());
                if host.links.is_empty() {
                    self.hosts.remove(&link.address());
                }
            }
        }
    }

    fn check(&mut self, now: Time) {
        for (address, host) in &mut self.hosts {
            for action in host.check(now) {
                execute(&self.peers, *address, host, action);
            }
        }
    }
}

fn execute(peers: &Peers, address: SocketAddr, host: &mut HostLinks, action: Action) {
    match action {
        Action::Probe(key) => {
            if let Some(link) = host.find(key) {
                link.probe();
            }
        }
        Action::Retire(key) => {
            if let Some(link) = host.find(key) {
                log::warn!(target: part::LINK, "retired a silent connection to {address}");
                peers.close_link(link);
            }
        }
        // The next stream opens a connection after the silent one was closed.
        Action::Open => host.health.open_failed(),
    }
}
