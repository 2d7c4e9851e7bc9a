//! Watches the connections on which requests wait, and retires silent ones.

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

/// Time between two looks at the connections on which requests wait.
const LOOK_EVERY: Duration = Duration::from_millis(20);

enum Event {
    Sent(Link),
    Ended(Link),
}

/// Tells the watch about requests. The queue holds two events for each request
/// at most, so open requests bound it.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    events: UnboundedSender<Event>,
}

impl Watch {
    /// Starts the watch; it ends with the last of its handles.
    pub(super) fn start(peers: Arc<Peers>, timer: TimerService) -> Self {
        let (events, rx) = unbounded_channel();
        let watcher = Watcher {
            peers,
            timer,
            hosts: HashMap::new(),
        };
        tokio::spawn(watcher.run(rx));
        Self { events }
    }

    /// A request is sent on `link`; it waits until the guard is dropped.
    pub(super) fn sent(&self, link: Link) -> Waiting {
        let _ = self.events.send(Event::Sent(link.clone()));
        Waiting {
            events: self.events.clone(),
            link,
        }
    }
}

/// A request without its whole response.
#[derive(Debug)]
pub(super) struct Waiting {
    events: UnboundedSender<Event>,
    link: Link,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Ended(self.link.clone()));
    }
}

/// A connection on which requests wait.
struct Watched {
    link: Link,
    key: PeerConnectionKey,
    waiting: u32,
    received: u64,
}

/// The connections to one host on which requests wait.
#[derive(Default)]
struct Host {
    health: PeerHealth,
    links: HashMap<LinkId, Watched>,
}

impl Host {
    fn sent(&mut self, link: Link, now: Time) {
        let health = &mut self.health;
        let watched = self.links.entry(link.id()).or_insert_with(|| Watched {
            key: health.opened(now),
            received: link.datagrams_received(),
            waiting: 0,
            link,
        });
        watched.waiting += 1;
        health.sent(watched.key, now);
    }

    fn ended(&mut self, id: LinkId) {
        let Some(watched) = self.links.get_mut(&id) else {
            return;
        };
        watched.waiting -= 1;
        self.health.ended(watched.key);
        if watched.waiting == 0 {
            self.health.closed(watched.key);
            self.links.remove(&id);
        }
    }

    fn look(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for watched in self.links.values_mut() {
            let received = watched.link.datagrams_received();
            if received != watched.received {
                watched.received = received;
                actions.extend(self.health.received(watched.key, now));
            }
        }
        actions.extend(self.health.tick(now));
        actions
    }

    fn find(&self, key: PeerConnectionKey) -> Option<&Link> {
        let watched = self.links.values().find(|w| w.key == key);
        watched.map(|w| &w.link)
    }
}

struct Watcher {
    peers: Arc<Peers>,
    timer: TimerService,
    hosts: HashMap<SocketAddr, Host>,
}

impl Watcher {
    async fn run(mut self, mut events: UnboundedReceiver<Event>) {
        let mut ticks = self.timer.subscribe(LOOK_EVERY);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                now = ticks.tick(), if !self.hosts.is_empty() => self.look(now),
            }
        }
    }

    fn take(&mut self, event: Event) {
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

    fn look(&mut self, now: Time) {
        for (address, host) in &mut self.hosts {
            for action in host.look(now) {
                act(&self.peers, *address, host, action);
            }
        }
    }
}

fn act(peers: &Peers, address: SocketAddr, host: &mut Host, action: Action) {
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
        // The next stream opens a connection once the silent one is retired.
        Action::Open => host.health.open_failed(),
    }
}
