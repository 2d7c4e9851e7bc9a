//! Discrete-event simulation of a mesh, its operator and its store.

use crate::client::Client;
use crate::operator::{APPLY_BOUND, Operator};
use crate::plan::{Loss, Plan, Spoiled, Step};
use crate::process::{Asked, Effect, Process, Purpose};
use crate::virtual_time::{COPY_INTERVAL, CopiedStore, ms};
use futures_util::FutureExt;
use knapweed_link::{Delta, PartTag};
use knapweed_node::control::registry::Entry;
use knapweed_node::source::tickets::TicketSource;
use knapweed_node::source::{ConfigSource, Error, SourceUpdate};
use knapweed_store::cursor::NextCall;
use knapweed_store::{Backup, Error as StoreError, Revision, StoreEra};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, Time};
use knapweed_zone::directory::{Digest, SharedRecord};
use knapweed_zone::floor::{self, Source};
use knapweed_zone::membership::TICK_INTERVAL;
use knapweed_zone::{Incarnation, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time before the first step, in which the nodes find each other and take their duties.
const WARM_UP: Duration = ms(5_000);
/// Longest wait of one watch call, as in `control::watch`.
const WATCH_WAIT: Duration = ms(1_000);
/// Interval at which a waiting watch looks for changes.
const WATCH_POLL: Duration = ms(10);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = ms(700);
/// Time from the start of a process, or from its next attempt, to the entries of the registry:
/// connections and two or three calls, on a host with a small share of a core.
const LOOKUP_TIME: Duration = ms(300);
/// Time after which entries of the registry that the store has lost are written again.
const REGISTRY_REWRITE: Duration = ms(1_500);
/// Interval at which the nodes are compared with the configurations that may be in force.
const CHECK_INTERVAL: Duration = ms(20);
/// Latency between nodes of one availability zone, in microseconds.
const ZONE_DELAY_US: std::ops::Range<u64> = 100..600;
/// Latency of one direction of a call to the store, in microseconds.
const STORE_DELAY_US: std::ops::Range<u64> = 500..5_000;
/// Additional latency between availability zones.
const REMOTE_DELAY: Duration = ms(5);
/// Interval at which a link delivers the messages that it has kept while it was cut.
const KEPT_INTERVAL: Duration = ms(10);
/// Probability that a message between nodes is lost.
const MESSAGE_LOSS: f64 = 0.01;

/// A node in the arena of the mesh.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NodeKey(pub(crate) usize);

/// One process of a node; answers to an earlier one are dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ProcessKey {
    node: NodeKey,
    generation: u32,
}

struct Node {
    entry: HostEntry,
    process: Option<Process>,
    generation: u32,
    /// The newest version of the running process.
    version: ConfigVersion,
    /// When the running process started.
    started_at: Time,
    /// The nodes that served then, with their versions.
    served_at_start: Vec<(ProcessKey, ConfigVersion)>,
    was_serving: bool,
    /// Times until which the node does not reach the store, or anything at all.
    cut_until: Time,
    isolated_until: Time,
    /// Time until which the link of the node keeps messages, with their number so far.
    keeps_until: Time,
    kept: u32,
    answer_delay: Duration,
    delayed_until: Time,
    /// Times until which the answers of the store to the node are lost or spoiled.
    lost_until: Time,
    spoiled_until: Time,
    spoiled: Spoiled,
    /// The latest era of the store that an answer has reported to the running process.
    known_era: StoreEra,
}

/// A call to the store.
#[derive(Clone, Copy, Debug)]
struct Call {
    caller: ProcessKey,
    purpose: Purpose,
    request: NextCall,
    /// Revision that the first page of a listing has reported.
    first_page: Option<Revision>,
    /// Revision of the store at which a watch found no change.
    unchanged_at: Option<Revision>,
    deadline: Time,
}

impl Call {
    fn asked(&self) -> Asked {
        Asked {
            at: self.deadline.before(WATCH_WAIT),
            wait: match self.request {
                NextCall::Watch(_) => WATCH_WAIT,
                NextCall::Load => Duration::ZERO,
            },
        }
    }
}

/// Something that happens at a node.
#[derive(Clone, Debug)]
enum Delivery {
    Message(SocketAddr, Message),
    FetchConfig(ProcessKey, Vec<PartTag>),
    FetchMembers(ProcessKey, Digest),
    QueryFloor(ProcessKey, Source),
}

/// Something that happens at one process, if it still runs.
#[derive(Debug)]
enum Reply {
    Tick,
    Delta(SocketAddr, Option<Delta>),
    Members(SocketAddr, Vec<SharedRecord>),
    /// A request for membership records that is unanswered has failed.
    ContactEnded(SocketAddr),
    Floor(floor::Event),
    Store(Purpose, Asked, Box<Result<SourceUpdate, Error>>),
    WatchAgain(u32),
    /// A process reads the registry.
    Lookup,
}

enum Work {
    Deliver(NodeKey, Delivery),
    Reply(ProcessKey, Reply),
    /// A call arrives at the store.
    Arrive(Call),
    /// The store looks for the answer to a call.
    Answer(Call),
    Step(Step),
    /// The store is back from an older copy.
    Restore(Loss, Backup),
    EndOutage,
    Rewrite,
    RewriteRegistry,
    Start(NodeKey),
    Copy,
    Check,
}

/// A mesh with its store and operator.
pub(crate) struct Mesh {
    now: Time,
    nodes: Vec<Node>,
    store: CopiedStore,
    operator: Operator,
    /// Whether the operator writes its configuration again as soon as the store is back.
    rewrites: bool,
    /// Changes that the operator could not write while the store was away.
    postponed: Vec<Step>,
    /// Hosts with an entry in the registry.
    registry: BTreeSet<usize>,
    /// End of the last disturbance or change so far.
    quiet_from: Time,
    queue: BTreeMap<(Time, u64), Work>,
    order: u64,
    rng: SmallRng,
    violation: Option<String>,
}

/// Construction and whole runs.
impl Mesh {
    /// A mesh with these numbers of nodes in its availability zones.
    fn new(zones: &[usize], seed: u64) -> Self {
        let store = CopiedStore::new();
        let now = Time::default();
        let operator = Operator::new(now, &store);
        let mut mesh = Self {
            now,
            nodes: Vec::new(),
            store,
            operator,
            rewrites: false,
            postponed: Vec::new(),
            registry: BTreeSet::new(),
            quiet_from: now.after(WARM_UP),
            queue: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            violation: None,
        };
        for (zone, members) in zones.iter().enumerate() {
            mesh.nodes.extend((0..*members).map(|m| Node::new(zone, m)));
        }
        for node in 0..mesh.nodes.len() {
            mesh.schedule(ms(0), Work::Start(NodeKey(node)));
        }
        mesh.schedule(ms(0), Work::Copy);
        mesh.schedule(ms(0), Work::Check);
        mesh
    }

    /// Plays a plan.
    ///
    /// # Errors
    ///
    /// The first violation of a property.
    pub(crate) fn play(zones: &[usize], plan: &Plan) -> Result<(), String> {
        let mut mesh = Self::new(zones, plan.seed);
        let mut at = WARM_UP;
        for (pause, step) in &plan.steps {
            at += ms((*pause).into());
            mesh.schedule(at, Work::Step(*step));
        }
        mesh.quiet_from = Time::default().after(at);
        mesh.run();
        match mesh.violation {
            Some(violation) => Err(violation),
            None => mesh.check_end(),
        }
    }

    /// Runs until [`APPLY_BOUND`] after the last disturbance.
    fn run(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > self.quiet_from.after(APPLY_BOUND) || self.violation.is_some() {
                return;
            }
            let work = entry.remove();
            self.now = at;
            self.execute(work);
        }
    }

    fn execute(&mut self, work: Work) {
        match work {
            Work::Deliver(node, delivery) => self.deliver(node, delivery),
            Work::Reply(process, reply) => self.reply(process, reply),
            Work::Arrive(call) => self.arrive(call),
            Work::Answer(call) => self.answer(call),
            Work::Step(step) => self.step(step),
            Work::Restore(loss, backup) => self.restore(loss, &backup),
            Work::EndOutage => self.end_outage(),
            Work::Rewrite => self.rewrite(),
            Work::RewriteRegistry => self.register_running(),
            Work::Start(node) => self.start(node),
            Work::Copy => {
                self.store.copy(self.now);
                self.schedule(COPY_INTERVAL, Work::Copy);
            }
            Work::Check => {
                self.check();
                self.schedule(CHECK_INTERVAL, Work::Check);
            }
        }
    }

    fn schedule(&mut self, wait: Duration, work: Work) {
        self.order += 1;
        self.queue.insert((self.now.after(wait), self.order), work);
    }

    /// Notes a disturbance that lasts for `length`, and returns its end.
    fn disturb(&mut self, length: Duration) -> Time {
        let end = self.now.after(length);
        self.quiet_from = self.quiet_from.max(end);
        end
    }
}

impl Node {
    fn new(zone: usize, member: usize) -> Self {
        let name = |text: String| text.parse::<Name>().expect("a valid name");
        let address = SocketAddr::from(([127, 1, zone as u8, 0], 1_000 + member as u16));
        Self {
            entry: HostEntry {
                name: name(format!("host-{zone}-{member}")),
                zone: name(format!("zone-{zone}")),
                region: name("west".into()),
                address,
                announcements: Vec::new(),
            },
            process: None,
            generation: 0,
            version: ConfigVersion(0),
            started_at: Time::default(),
            served_at_start: Vec::new(),
            was_serving: false,
            cut_until: Time::default(),
            isolated_until: Time::default(),
            keeps_until: Time::default(),
            kept: 0,
            answer_delay: Duration::ZERO,
            delayed_until: Time::default(),
            lost_until: Time::default(),
            spoiled_until: Time::default(),
            spoiled: Spoiled::Value,
            known_era: StoreEra::default(),
        }
    }
}

/// Steps of the plan.
impl Mesh {
    fn step(&mut self, step: Step) {
        let until = |mesh: &mut Self, length: u16| mesh.disturb(ms(length.into()));
        match step {
            Step::Change { adds, removes } => {
                if self.store.is_away() {
                    return self.postponed.push(step);
                }
                self.disturb(ms(0));
                let above = self.rng.random_range(1..4);
                let (now, store) = (self.now, &self.store);
                self.operator.change(now, store, adds, removes, above);
            }
            Step::ServerWrites(count) => self.store.write_as_servers(count),
            Step::Lose(loss) => self.lose(loss),
            Step::Outage(length) => {
                if !self.store.is_away() {
                    until(self, length);
                    self.store.set_away(true);
                    self.schedule(ms(length.into()), Work::EndOutage);
                }
            }
            Step::Compact => self.store.compact_history(),
            Step::CutFromStore(node, length) => {
                self.nodes[node.0].cut_until = until(self, length);
            }
            Step::Isolate(node, length) => {
                self.nodes[node.0].isolated_until = until(self, length);
            }
            Step::KeepMessages(node, length) => {
                let end = until(self, length);
                let node = &mut self.nodes[node.0];
                node.isolated_until = node.isolated_until.max(end);
                node.keeps_until = end;
                node.kept = 0;
            }
            Step::LoseAnswers(node, length) => {
                self.nodes[node.0].lost_until = until(self, length);
            }
            Step::SpoilAnswers(node, spoiled, length) => {
                self.nodes[node.0].spoiled = spoiled;
                self.nodes[node.0].spoiled_until = until(self, length);
            }
            Step::DelayAnswers(node, delay, length) => {
                self.nodes[node.0].answer_delay = ms(delay.into());
                self.nodes[node.0].delayed_until = until(self, length);
            }
            Step::Restart(node, length) => {
                self.nodes[node.0].process = None;
                until(self, length);
                self.schedule(ms(length.into()), Work::Start(node));
            }
        }
    }

    fn lose(&mut self, loss: Loss) {
        if self.store.is_away() {
            return;
        }
        let copied_at = self.now.before(ms(loss.copy_age_ms.into()));
        let copy = self.store.copy_at(copied_at);
        let away = ms(loss.away_ms.into());
        self.disturb(away + ms(loss.rewritten_after_ms.into()));
        self.store.set_away(true);
        self.schedule(away, Work::Restore(loss, copy));
    }

    fn restore(&mut self, loss: Loss, backup: &Backup) {
        self.store.come_back(self.now, backup);
        self.operator.store_lost(self.now, &self.store);
        self.end_outage();
        self.store.write_as_servers(loss.server_writes);
        if loss.loses_registry {
            self.registry.clear();
            self.schedule(REGISTRY_REWRITE, Work::RewriteRegistry);
        }
        self.schedule(ms(loss.rewritten_after_ms.into()), Work::Rewrite);
    }

    fn end_outage(&mut self) {
        self.store.set_away(false);
        if std::mem::take(&mut self.rewrites) {
            self.rewrite();
        }
        for step in std::mem::take(&mut self.postponed) {
            self.step(step);
        }
    }

    fn rewrite(&mut self) {
        match self.store.is_away() {
            true => self.rewrites = true,
            false => self.operator.write(self.now, &self.store),
        }
    }

    fn start(&mut self, key: NodeKey) {
        let serving = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let process = node.process.as_ref().filter(|p| p.is_serving())?;
            let key = ProcessKey {
                node: NodeKey(index),
                generation: node.generation,
            };
            Some((key, process.version()))
        });
        let served_at_start = serving.collect();
        let seed = self.rng.random();
        let node = &mut self.nodes[key.0];
        node.generation += 1;
        node.version = ConfigVersion(0);
        node.started_at = self.now;
        node.served_at_start = served_at_start;
        node.was_serving = false;
        node.known_era = StoreEra::default();
        let generation = node.generation;
        node.process = Some(Process::start(self.now, node.entry.clone(), seed));
        let process = ProcessKey {
            node: key,
            generation,
        };
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(phase, Work::Reply(process, Reply::Tick));
    }
}

/// The network between nodes.
impl Mesh {
    fn node_at(&self, address: SocketAddr) -> NodeKey {
        let mut nodes = self.nodes.iter();
        let index = nodes.position(|n| n.entry.address == address);
        NodeKey(index.expect("an address of a node"))
    }

    /// Latency between two nodes; `None` when the message is lost.
    fn delay(&mut self, from: NodeKey, to: NodeKey) -> Option<Duration> {
        let (a, b) = (&self.nodes[from.0], &self.nodes[to.0]);
        let is_cut = self.now < a.isolated_until.max(b.isolated_until);
        let is_remote = a.entry.zone != b.entry.zone;
        if is_cut || self.rng.random_bool(MESSAGE_LOSS) {
            return None;
        }
        let near = Duration::from_micros(self.rng.random_range(ZONE_DELAY_US));
        Some(near + REMOTE_DELAY * is_remote.into())
    }

    /// Time for which a message waits for the link of one of two nodes; `None` if that keeps
    /// none.
    fn keep(&mut self, from: NodeKey, to: NodeKey) -> Option<Duration> {
        let now = self.now;
        let nodes = self.nodes.iter_mut().enumerate();
        let mut ends = nodes.filter(|(key, _)| [from.0, to.0].contains(key));
        let (_, node) = ends.find(|(_, node)| now < node.keeps_until)?;
        node.kept += 1;
        let end = node.keeps_until.after(KEPT_INTERVAL * node.kept);
        Some(end.since(now))
    }

    fn send(&mut self, from: NodeKey, to: NodeKey, delivery: Delivery) {
        if let (Delivery::Message(..), Some(wait)) = (&delivery, self.keep(from, to)) {
            return self.schedule(wait, Work::Deliver(to, delivery));
        }
        if let Some(delay) = self.delay(from, to) {
            self.schedule(delay, Work::Deliver(to, delivery));
        }
    }

    fn send_reply(&mut self, from: NodeKey, to: ProcessKey, reply: Reply) {
        if let Some(delay) = self.delay(from, to.node) {
            self.schedule(delay, Work::Reply(to, reply));
        }
    }

    fn deliver(&mut self, key: NodeKey, delivery: Delivery) {
        let now = self.now;
        let entry = |mesh: &Self, process: ProcessKey| mesh.nodes[process.node.0].entry.clone();
        let Some(mut process) = self.nodes[key.0].process.take() else {
            return;
        };
        match delivery {
            Delivery::Message(from, message) => process.received(now, from, message),
            Delivery::FetchConfig(from, have) => {
                let delta = process.configs.delta_for(have).ok();
                let delta = delta.and_then(|bytes| Delta::decompress(&bytes).ok());
                let address = self.nodes[key.0].entry.address;
                self.send_reply(key, from, Reply::Delta(address, delta));
            }
            Delivery::FetchMembers(from, digest) => {
                let directory = process.membership.directory();
                let records = directory.differing_records(now, &digest);
                let address = self.nodes[key.0].entry.address;
                self.send_reply(key, from, Reply::Members(address, records));
            }
            Delivery::QueryFloor(from, source) => {
                let answer = process.floor_answer(source, &entry(self, from).name);
                let event = floor::Event::Answer(answer);
                self.send_reply(key, from, Reply::Floor(event));
            }
        }
        self.nodes[key.0].process = Some(process);
        self.execute_effects(key);
    }

    fn reply(&mut self, to: ProcessKey, reply: Reply) {
        let now = self.now;
        let node = &mut self.nodes[to.node.0];
        let process = node.process.as_mut();
        let Some(process) = process.filter(|_| node.generation == to.generation) else {
            return;
        };
        match reply {
            Reply::Tick => {
                process.tick(now);
                self.schedule(TICK_INTERVAL, Work::Reply(to, Reply::Tick));
            }
            Reply::Delta(from, delta) => process.delta(now, from, delta),
            Reply::Members(from, records) => process.members(now, from, records),
            Reply::ContactEnded(host) => process.contact_ended(now, host),
            Reply::Floor(event) => process.floor_event(now, event),
            Reply::Store(purpose, asked, result) => {
                process.store_answered(now, purpose, asked, *result);
            }
            Reply::WatchAgain(watch) => process.watch_again(watch),
            Reply::Lookup => {
                self.look_up(to);
            }
        }
        self.execute_effects(to.node);
    }

    fn execute_effects(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key.0];
        let me = ProcessKey {
            node: key,
            generation: node.generation,
        };
        let Some(process) = &mut node.process else {
            return;
        };
        let (tags, digest) = (
            process.configs.tags(),
            process.membership.directory().digest(),
        );
        let address = node.entry.address;
        for effect in process.take_effects() {
            let delivery = match effect {
                Effect::Send(to, message) => (to, Delivery::Message(address, message)),
                Effect::FetchConfig(to) => (to, Delivery::FetchConfig(me, tags.clone())),
                Effect::FetchMembers(to) => {
                    self.schedule(CALL_TIMEOUT, Work::Reply(me, Reply::ContactEnded(to)));
                    let node = self.node_at(to);
                    self.send(key, node, Delivery::FetchMembers(me, digest.clone()));
                    continue;
                }
                Effect::QueryFloor(source, to) => (to, Delivery::QueryFloor(me, source)),
                Effect::Call(purpose, request) => {
                    self.call(me, purpose, request);
                    continue;
                }
                Effect::Lookup => {
                    self.schedule(LOOKUP_TIME, Work::Reply(me, Reply::Lookup));
                    continue;
                }
                Effect::WatchAgain(watch, wait) => {
                    self.schedule(wait, Work::Reply(me, Reply::WatchAgain(watch)));
                    continue;
                }
            };
            let to = self.node_at(delivery.0);
            self.send(key, to, delivery.1);
        }
    }
}

/// The registry of hosts.
impl Mesh {
    /// Registers the host of a process and passes it the entries of the others; tries again
    /// while the store does not answer.
    fn look_up(&mut self, caller: ProcessKey) {
        let key = caller.node;
        if !self.reaches_store(key) {
            return self.schedule(LOOKUP_TIME, Work::Reply(caller, Reply::Lookup));
        }
        self.registry.insert(key.0);
        let others = self.registry.iter().filter(|host| **host != key.0);
        let entries = others.map(|host| {
            let entry = &self.nodes[*host].entry;
            Entry {
                address: entry.address,
                zone: entry.zone.clone(),
                region: entry.region.clone(),
                incarnation: Incarnation::default(),
            }
        });
        let entries = entries.collect();
        if let Some(process) = &mut self.nodes[key.0].process {
            process.registry_read(self.now, entries);
        }
    }

    fn register_running(&mut self) {
        let running = self.nodes.iter().enumerate();
        let running = running.filter(|(_, node)| node.process.is_some());
        self.registry.extend(running.map(|(index, _)| index));
    }
}

/// Calls to the store.
impl Mesh {
    fn call(&mut self, caller: ProcessKey, purpose: Purpose, request: NextCall) {
        let call = Call {
            caller,
            purpose,
            request,
            first_page: None,
            unchanged_at: None,
            deadline: self.now.after(WATCH_WAIT),
        };
        let delay = Duration::from_micros(self.rng.random_range(STORE_DELAY_US));
        self.schedule(delay, Work::Arrive(call));
    }

    /// Whether a node reaches a store that answers.
    fn reaches_store(&self, node: NodeKey) -> bool {
        let node = &self.nodes[node.0];
        !self.store.is_away() && self.now >= node.cut_until.max(node.isolated_until)
    }

    /// A failed call is noticed after a reset, or only after a time-out.
    fn fail(&mut self, call: Call) {
        let err = StoreError::Unavailable("no connection".into());
        let wait = match self.rng.random_bool(0.5) {
            true => Duration::from_micros(self.rng.random_range(STORE_DELAY_US)),
            false => CALL_TIMEOUT,
        };
        let reply = Reply::Store(call.purpose, call.asked(), Box::new(Err(err.into())));
        self.schedule(wait, Work::Reply(call.caller, reply));
    }

    /// Random part of the delay of the answers to a node, before the store has made an answer
    /// or after it.
    fn answer_delay(&mut self, node: NodeKey) -> Duration {
        let node = &self.nodes[node.0];
        match self.now < node.delayed_until {
            true => node.answer_delay.mul_f64(self.rng.random_range(0.0..1.0)),
            false => Duration::ZERO,
        }
    }

    fn arrive(&mut self, mut call: Call) {
        if !self.reaches_store(call.caller.node) {
            return self.fail(call);
        }
        let delay = self.answer_delay(call.caller.node);
        if call.request == NextCall::Load {
            call.first_page = Some(self.store.latest_revision());
        }
        self.schedule(delay, Work::Answer(call));
    }

    fn answer(&mut self, mut call: Call) {
        let node = call.caller.node;
        if !self.reaches_store(node) {
            return self.fail(call);
        }
        let is_over = self.now >= call.deadline;
        let revision = Some(self.store.latest_revision());
        if call.unchanged_at == revision && !is_over {
            return self.schedule(WATCH_POLL, Work::Answer(call));
        }
        call.unchanged_at = revision;
        let state = &self.nodes[node.0];
        let client = Client {
            store: self.store.shared(),
            known_era: state.known_era,
            first_page: call.first_page,
            spoiled: (self.now < state.spoiled_until).then_some(state.spoiled),
            is_over,
        };
        let source = TicketSource::new(Arc::new(client));
        let Some(process) = &self.nodes[node.0].process else {
            return;
        };
        let known = process.configs.cache().clone();
        let result = match call.request {
            NextCall::Watch(after) => source.watch(after, WATCH_WAIT, known).now_or_never(),
            NextCall::Load => source.load(known).now_or_never(),
        };
        let Some(result) = result else {
            return self.schedule(WATCH_POLL, Work::Answer(call));
        };
        let era = self.store.latest_revision().era;
        let state = &mut self.nodes[node.0];
        let (wait, result) = match self.now < state.lost_until {
            true => {
                let err = StoreError::ResponseLost("no answer in time".into());
                (CALL_TIMEOUT, Err(err.into()))
            }
            false => {
                state.known_era = state.known_era.max(era);
                let wait = self.rng.random_range(STORE_DELAY_US);
                let slow = self.answer_delay(node);
                (slow + Duration::from_micros(wait), result)
            }
        };
        let reply = Reply::Store(call.purpose, call.asked(), Box::new(result));
        self.schedule(wait, Work::Reply(call.caller, reply));
    }
}

/// Properties.
impl Mesh {
    fn violate(&mut self, violation: String) {
        let at = Duration::from_micros(self.now.0);
        self.violation
            .get_or_insert_with(|| format!("at {at:?}: {violation}"));
    }

    fn check(&mut self) {
        let routes = self.operator.certain_routes(self.now);
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let Some(process) = &node.process else {
                continue;
            };
            let (version, before) = (process.version(), node.version);
            let config = process.configs.config();
            let is_same = version.0 == 0 || self.operator.written(version) == Some(&**config);
            let denied = routes.iter().find(|route| process.denies(self.now, route));
            let violation = if let Some(route) = denied {
                let in_force = self.operator.in_force(self.now);
                Some(format!(
                    "(a) node {index} with version {version} denies {route}, which all of \
                     {in_force:?} have"
                ))
            } else if version < before {
                Some(format!("(b) node {index} went from {before} to {version}"))
            } else if !is_same {
                Some(format!(
                    "(d) version {version} on node {index} is not what was written"
                ))
            } else if let Some((other, newer)) = self.newer_at_start(index) {
                Some(format!(
                    "(e) node {index} begins to serve {version}; node {} served {newer} when it \
                     started",
                    other.node.0
                ))
            } else {
                None
            };
            self.nodes[index].version = version;
            let is_serving = self.nodes[index].process.as_ref();
            self.nodes[index].was_serving = is_serving.is_some_and(Process::is_serving);
            if let Some(violation) = violation {
                self.violate(violation);
            }
        }
    }

    /// The process that served a newer version than that with which a node begins to serve, from
    /// before its start until now, while both could exchange messages.
    fn newer_at_start(&self, index: usize) -> Option<(ProcessKey, ConfigVersion)> {
        let node = &self.nodes[index];
        let process = node.process.as_ref().filter(|p| p.is_serving())?;
        let was_isolated = |node: &Node, since: Time| node.isolated_until >= since;
        if node.was_serving || was_isolated(node, node.started_at) {
            return None;
        }
        let served = node.served_at_start.iter().copied();
        let mut newer = served.filter(|(_, version)| *version > process.version());
        newer.find(|(other, _)| {
            let other_node = &self.nodes[other.node.0];
            other_node.generation == other.generation
                && other_node.process.is_some()
                && !was_isolated(other_node, node.started_at)
        })
    }

    /// Compares the nodes with the newest version after a quiet time.
    fn check_end(&self) -> Result<(), String> {
        let newest = self.operator.newest();
        let versions = self.nodes.iter().map(|n| n.process.as_ref());
        let versions: Vec<_> = versions.map(|p| p.map(|p| p.version())).collect();
        match versions.iter().all(|v| *v == Some(newest)) {
            true => Ok(()),
            false => Err(format!(
                "(c) {APPLY_BOUND:?} after the last disturbance the newest version is {newest}, \
                 the nodes have {versions:?}"
            )),
        }
    }
}
