//! Discrete-event simulation of many members over a fake network.
#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod link;
pub mod network;
pub mod results;
pub mod roles;
pub mod seeds;

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, Time, UnixMillis};
use knapweed_zone::directory::{Digest, SharedRecord};
use knapweed_zone::membership::{Action, Event, TICK_INTERVAL};
use knapweed_zone::{Incarnation, MemberRecord, MemberState, Membership, Message};
use network::{FIRST_EAST_ZONE, Network};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Unix time in milliseconds at simulated time 0.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time that a node takes to apply a fetched configuration.
const APPLY_TIME: Duration = Duration::from_millis(20);
/// Interval at which a link delivers the messages that it has kept.
const KEPT_INTERVAL: Duration = Duration::from_millis(5);

pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A scheduled delivery to a node.
#[derive(Clone, Debug)]
enum Delivery {
    Tick {
        generation: u32,
    },
    Message {
        from: usize,
        message: Message,
    },
    FetchConfig {
        from: usize,
    },
    Config {
        from: usize,
        version: ConfigVersion,
    },
    Applied {
        generation: u32,
        version: ConfigVersion,
    },
    Busy {
        from: usize,
    },
    LinkStep,
    FetchMembers {
        from: usize,
        digest: Digest,
    },
    Members {
        from: usize,
        records: Vec<SharedRecord>,
    },
}

/// A record change that one node reported about a host.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub at: Time,
    pub observer: usize,
    pub host: usize,
    pub state: MemberState,
    pub incarnation: Incarnation,
}

pub struct Node {
    pub entry: HostEntry,
    /// `None` while the process is down.
    pub membership: Option<Membership>,
    /// Whether the node watches the platform's head.
    pub watches_head: bool,
    /// When each configuration version was applied by the current process.
    pub applied: BTreeMap<ConfigVersion, Time>,
    /// Number of starts of the process; deliveries to an earlier one are dropped.
    generation: u32,
    paused_until: Time,
    /// Deliveries that arrived during a pause.
    deferred: Vec<Delivery>,
}

pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub observations: Vec<Observation>,
    pub rng: SmallRng,
    /// How deltas take time on the links; `None` when they take none.
    pub link_rules: Option<link::Rules>,
    links: Vec<link::Link>,
    /// The node whose link is cut.
    cut_off: Option<usize>,
    /// Messages that wait at the ends of the cut link, with their receivers.
    kept: Vec<(usize, Delivery)>,
    queue: BTreeMap<(Time, u64), (usize, Delivery)>,
    order: u64,
    by_address: HashMap<SocketAddr, usize>,
    by_host: HashMap<Name, usize>,
}

/// Construction.
impl Sim {
    /// Availability zones with these numbers of members, each of which knows all others.
    pub fn new(zones: &[usize], seed: u64) -> Self {
        let mut sim = Self::empty(zones, seed);
        let records = sim.records();
        for node in 0..sim.nodes.len() {
            sim.handle(node, Event::Members(records.clone()));
        }
        sim.observations.clear();
        sim
    }

    /// Availability zones with these numbers of members, each of which knows only itself.
    pub fn empty(zones: &[usize], seed: u64) -> Self {
        let mut sim = Self {
            now: Time(0),
            nodes: Vec::new(),
            network: Network::new(seed),
            observations: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            link_rules: None,
            links: Vec::new(),
            cut_off: None,
            kept: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            by_address: HashMap::new(),
            by_host: HashMap::new(),
        };
        for (zone, members) in zones.iter().enumerate() {
            for member in 0..*members {
                sim.add(zone, member);
            }
        }
        for node in 0..sim.nodes.len() {
            sim.start(node);
        }
        sim
    }

    /// Adds a node that is not running.
    pub fn add(&mut self, zone: usize, member: usize) -> usize {
        let index = self.nodes.len();
        let address = SocketAddr::from(([127, 1, zone as u8, 0], 1_000 + member as u16));
        let host = format!("host-{zone}-{member:03}");
        let entry = HostEntry {
            name: name(&host),
            zone: name(&format!("zone-{zone}")),
            region: name(region(zone)),
            address,
            announcements: vec![announcement(address, ServerState::Ready)],
        };
        self.by_address.insert(address, index);
        self.by_host.insert(entry.name.clone(), index);
        self.network.zones.push(zone);
        self.links.push(link::Link::default());
        self.nodes.push(Node {
            entry,
            membership: None,
            watches_head: false,
            applied: BTreeMap::new(),
            generation: 0,
            paused_until: Time(0),
            deferred: Vec::new(),
        });
        index
    }

    fn records(&self) -> Vec<SharedRecord> {
        let running = self.nodes.iter().filter_map(|n| n.membership.as_ref());
        let records = running.map(|m| SharedRecord {
            record: m.own().clone(),
            dead_for_ms: 0,
        });
        records.collect()
    }
}

fn region(zone: usize) -> &'static str {
    match zone < FIRST_EAST_ZONE {
        true => "west",
        false => "east",
    }
}

pub fn announcement(node: SocketAddr, state: ServerState) -> Announcement {
    Announcement {
        service: name("calendar"),
        version: name("v1"),
        address: SocketAddr::new(node.ip(), node.port() + 10_000),
        slots: 12,
        max_connections: 110,
        state,
        instance: None,
        is_cold: false,
    }
}

/// Process starts and faults.
impl Sim {
    /// Starts the process of a node.
    pub fn start(&mut self, node: usize) {
        let wall = UnixMillis(EPOCH_MS + self.now.0 / 1_000);
        let incarnation = Incarnation::choose(None, wall);
        let record = MemberRecord::new(self.nodes[node].entry.clone(), incarnation);
        let zone = self.network.zones[node];
        let in_zone =
            (0..self.nodes.len()).filter(|n| *n != node && self.network.zones[*n] == zone);
        let seeds = in_zone.map(|n| self.nodes[n].entry.address).collect();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let state = &mut self.nodes[node];
        state.generation += 1;
        state.applied.clear();
        state.deferred.clear();
        state.membership = Some(Membership::new(self.now, record, seeds, rng));
        let generation = state.generation;
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(self.now.after(phase), node, Delivery::Tick { generation });
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].membership = None;
    }

    /// Pauses the process of a node for `length`; deliveries wait until it resumes.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused_until = self.now.after(length);
    }

    /// Cuts the link of a node. Messages to it and from it wait, all else is lost.
    pub fn cut_link(&mut self, node: usize) {
        self.cut_off = Some(node);
    }

    /// Ends the cut of the link, which delivers what it has kept, the oldest first.
    pub fn restore_link(&mut self) {
        self.cut_off = None;
        let mut at = self.now;
        for (to, delivery) in std::mem::take(&mut self.kept) {
            at = at.after(KEPT_INTERVAL);
            self.schedule(at, to, delivery);
        }
    }
}

/// Execution of the simulation.
impl Sim {
    /// Runs for a length of simulated time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now.after(length);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (node, delivery)) = entry.remove_entry();
            self.now = at;
            self.deliver(node, delivery);
        }
        self.now = end;
    }

    /// Runs until `done` holds; returns the time that took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(20);
        let start = self.now;
        while self.now.since(start) <= limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(STEP);
        }
        None
    }

    /// Passes an event to a node and executes the resulting actions.
    pub fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(membership) = &mut self.nodes[node].membership else {
            return;
        };
        for action in membership.handle(now, event) {
            self.execute(node, action);
        }
    }

    /// Applies a configuration version at a node.
    pub fn apply(&mut self, node: usize, version: ConfigVersion) {
        let applied = &mut self.nodes[node].applied;
        if applied.last_key_value().is_some_and(|(v, _)| *v >= version) {
            return;
        }
        applied.insert(version, self.now);
        self.handle(node, Event::ConfigApplied(version));
    }

    fn deliver(&mut self, node: usize, delivery: Delivery) {
        let state = &mut self.nodes[node];
        if state.paused_until > self.now {
            if state.deferred.is_empty() {
                let wake = Delivery::Tick {
                    generation: state.generation,
                };
                let at = state.paused_until;
                self.schedule(at, node, wake);
            }
            let state = &mut self.nodes[node];
            match delivery {
                // The process runs a single delayed tick after the pause.
                Delivery::Tick { .. } if !state.deferred.is_empty() => {}
                delivery => state.deferred.push(delivery),
            }
            return;
        }
        for deferred in std::mem::take(&mut self.nodes[node].deferred) {
            if !matches!(deferred, Delivery::Tick { .. }) {
                self.process(node, deferred);
            }
        }
        self.process(node, delivery);
    }

    fn process(&mut self, node: usize, delivery: Delivery) {
        let generation = self.nodes[node].generation;
        match delivery {
            Delivery::Tick {
                generation: started,
            } if started == generation => {
                self.handle(node, Event::Tick);
                self.schedule(
                    self.now.after(TICK_INTERVAL),
                    node,
                    Delivery::Tick { generation },
                );
            }
            Delivery::Message { from, message } => {
                let from = self.nodes[from].entry.address;
                self.handle(node, Event::Received { from, message });
            }
            Delivery::FetchConfig { from } => {
                if let Some(version) = self.version(node) {
                    self.send_delta(node, from, version);
                }
            }
            Delivery::Config { version, .. } => {
                let applied = Delivery::Applied {
                    generation,
                    version,
                };
                self.schedule(self.now.after(APPLY_TIME), node, applied);
            }
            Delivery::Busy { from } => {
                let from = self.nodes[from].entry.address;
                self.handle(node, Event::FetchBusy { from });
            }
            Delivery::LinkStep => self.link_step(node),
            Delivery::Applied {
                generation: started,
                version,
            } if started == generation => self.apply(node, version),
            Delivery::FetchMembers { from, digest } => {
                if let Some(membership) = &self.nodes[node].membership {
                    let records = membership.directory().differing_records(self.now, &digest);
                    self.network.count_comparison(node, from, &records);
                    self.send(
                        node,
                        from,
                        Delivery::Members {
                            from: node,
                            records,
                        },
                    );
                }
            }
            Delivery::Members { records, .. } => self.handle(node, Event::Members(records)),
            Delivery::Tick { .. } | Delivery::Applied { .. } => {}
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let to = self.by_address[&to];
                self.network.count(node, to, &message);
                self.send(
                    node,
                    to,
                    Delivery::Message {
                        from: node,
                        message,
                    },
                );
            }
            Action::RecordChanged(record) => self.observations.push(Observation {
                at: self.now,
                observer: node,
                host: self.by_host[&record.host],
                state: record.state,
                incarnation: record.incarnation,
            }),
            Action::RoleChanged(_) => {}
            Action::FetchConfig { from } => {
                let from = self.by_address[&from];
                self.network.count_fetch(node, from);
                self.send(node, from, Delivery::FetchConfig { from: node });
            }
            Action::FetchMembers { from } => {
                let from = self.by_address[&from];
                if let Some(membership) = &self.nodes[node].membership {
                    let digest = membership.directory().digest();
                    self.network.count_comparison(node, from, &digest);
                    self.send(node, from, Delivery::FetchMembers { from: node, digest });
                }
            }
            Action::WatchHead(watch) => self.nodes[node].watches_head = watch,
            Action::MembersChanged | Action::AnnouncementRefused(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        if self.cut_off.is_some_and(|node| node == from || node == to) {
            if matches!(delivery, Delivery::Message { .. }) {
                self.kept.push((to, delivery));
            }
            return;
        }
        if let Some(delay) = self.network.repeat_delay() {
            self.schedule(self.now.after(delay), to, delivery.clone());
        }
        if let Some(delay) = self.network.delay(from, to) {
            self.schedule(self.now.after(delay), to, delivery);
        }
    }

    fn schedule(&mut self, at: Time, node: usize, delivery: Delivery) {
        self.order += 1;
        self.queue.insert((at, self.order), (node, delivery));
    }
}
