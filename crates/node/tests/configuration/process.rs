//! One process of a node: its decisions as its control thread joins them, without I/O.

use crate::watch_loop::WatchLoop;
use knapweed_link::Delta;
use knapweed_node::control::config::ConfigStore;
use knapweed_node::control::loads::Loads;
use knapweed_node::control::registry::{Entry, contacts};
use knapweed_node::source::{Error, LoadedConfig, SourceUpdate, StoredConfig};
use knapweed_store::cursor::NextCall;
use knapweed_store::{Error as StoreError, StoreEra};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, Time, UnixMillis};
use knapweed_zone::directory::SharedRecord;
use knapweed_zone::floor::{self, FloorAnswer, Source, VersionFloor};
use knapweed_zone::membership::{self, Action};
use knapweed_zone::{Incarnation, MemberRecord, Membership, Message};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a process that knows no other one reads the registry, as in
/// `control::registry`.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);
/// Unix time in milliseconds at the start of a run.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// When a call to the store began, and how long it lets the store wait for a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) at: Time,
    pub(crate) wait: Duration,
}

/// Why a process calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// A step of the watch with this number.
    Watch(u32),
    /// The load that is under way.
    Load,
}

/// What wants the result of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Waiter {
    /// The watch with this number.
    Watch(u32),
    /// The version floor.
    Floor,
    /// A fetch of a version that no member has.
    Fetch,
}

/// What a process asks the mesh to do.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    Send(SocketAddr, Message),
    FetchConfig(SocketAddr),
    FetchMembers(SocketAddr),
    /// Reads the registry of hosts.
    Lookup,
    QueryFloor(Source, SocketAddr),
    /// Calls the store.
    Call(Purpose, NextCall),
    /// Calls [`Process::watch_again`] after this time.
    WatchAgain(u32, Duration),
}

/// The parts of a node's process that decide about its configuration, without its
/// connections and tasks.
pub(crate) struct Process {
    pub(crate) membership: Membership,
    pub(crate) configs: ConfigStore,
    floor: VersionFloor,
    watch: Option<WatchLoop>,
    /// Number of watches so far; answers to an earlier one are dropped.
    watches: u32,
    loads: Loads<Waiter>,
    last_lookup: Option<Time>,
    /// Hosts that a lookup has contacted and that have not replied.
    contacts: BTreeSet<SocketAddr>,
    /// Version of the configuration that the store had at the last read, and its era.
    stored_config: StoredConfig,
    rng: SmallRng,
    effects: Vec<Effect>,
}

/// Start, and state that is compared.
impl Process {
    pub(crate) fn start(now: Time, entry: HostEntry, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut derived = || SmallRng::seed_from_u64(rng.random());
        let incarnation = Incarnation::choose(None, UnixMillis(EPOCH_MS + now.0 / 1_000));
        let record = MemberRecord::new(entry, incarnation);
        Self {
            membership: Membership::new(now, record, Vec::new(), derived()),
            configs: ConfigStore::default(),
            floor: VersionFloor::new(now, derived()),
            watch: None,
            watches: 0,
            loads: Loads::default(),
            last_lookup: None,
            contacts: BTreeSet::new(),
            stored_config: StoredConfig::default(),
            rng,
            effects: Vec::new(),
        }
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.configs.head().version
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.floor.is_serving()
    }

    /// Whether a request for this route is answered with "no such route", which is final.
    pub(crate) fn denies(&self, now: Time, route: &Name) -> bool {
        let is_current = now < self.membership.freshness().current_until();
        let has_route = self.configs.config().routes.contains_key(route);
        self.floor.is_serving() && is_current && !has_route
    }

    /// The effects since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// Members and versions.
impl Process {
    pub(crate) fn tick(&mut self, now: Time) {
        self.member_event(now, membership::Event::Tick);
        let own = self.membership.own();
        let members = self.membership.directory().present().map(|(_, r)| r);
        let peers = members.filter(|r| r.zone == own.zone && r.host != own.host);
        let peers = peers.count();
        self.floor_event(now, floor::Event::Peers(peers));
        self.floor_event(now, floor::Event::Tick);
        let knows_no_other = self.membership.directory().present().count() == 1;
        let is_due = self
            .last_lookup
            .is_none_or(|at| now.since(at) >= LOOKUP_INTERVAL);
        if is_due && (knows_no_other || self.last_lookup.is_none()) {
            self.last_lookup = Some(now);
            self.effects.push(Effect::Lookup);
        }
    }

    /// Handles the entries of the other hosts in the registry.
    pub(crate) fn registry_read(&mut self, now: Time, entries: Vec<Entry>) {
        self.last_lookup = Some(now);
        let own = self.membership.own();
        let contacts = contacts(entries, &own.zone, &own.region);
        self.contacts.extend(contacts.iter().copied());
        let fetches = contacts.into_iter().map(Effect::FetchMembers);
        self.effects.extend(fetches);
    }

    /// Handles the end of a request for membership records, which may have failed.
    pub(crate) fn contact_ended(&mut self, now: Time, host: SocketAddr) {
        if self.contacts.remove(&host) && self.contacts.is_empty() {
            self.floor_event(now, floor::Event::LookupEnded);
        }
    }

    pub(crate) fn received(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.member_event(now, membership::Event::Received { from, message });
    }

    pub(crate) fn members(&mut self, now: Time, from: SocketAddr, records: Vec<SharedRecord>) {
        self.member_event(now, membership::Event::Members(records));
        self.contact_ended(now, from);
    }

    pub(crate) fn delta(&mut self, now: Time, from: SocketAddr, delta: Option<Delta>) {
        let applied = delta.map(|delta| self.configs.apply_delta(delta));
        match applied {
            Some(Ok(newer)) => self.applied(now, newer),
            Some(Err(_)) => self.member_event(now, membership::Event::AnswerRefused { from }),
            None => self.member_event(now, membership::Event::FetchFailed { from }),
        }
    }

    fn loaded(&mut self, now: Time, loaded: LoadedConfig) {
        let newer = self.configs.replace(&loaded.head, loaded.cache);
        self.applied(now, newer.unwrap_or(false));
    }

    fn applied(&mut self, now: Time, newer: bool) {
        if newer {
            let version = self.version();
            self.member_event(now, membership::Event::ConfigApplied(version));
            self.floor_event(now, floor::Event::Fetched(version));
        }
    }

    fn member_event(&mut self, now: Time, event: membership::Event) {
        for action in self.membership.handle(now, event) {
            match action {
                Action::Send { to, message } => self.effects.push(Effect::Send(to, message)),
                Action::FetchConfig { from } => self.effects.push(Effect::FetchConfig(from)),
                Action::FetchMembers { from } => self.effects.push(Effect::FetchMembers(from)),
                Action::WatchHead(on) => self.watch_head(on),
                Action::RecordChanged(_)
                | Action::MembersChanged
                | Action::RoleChanged(_)
                | Action::AnnouncementRefused(_) => {}
            }
        }
    }
}

/// Calls to the store.
impl Process {
    fn watch_head(&mut self, on: bool) {
        self.watches += 1;
        self.watch = on.then(WatchLoop::default);
        self.watch_again(self.watches);
    }

    /// Makes the next call of a watch, unless it has ended.
    pub(crate) fn watch_again(&mut self, watch: u32) {
        let state = self.watch.as_ref().filter(|_| watch == self.watches);
        match state.map(WatchLoop::next_call) {
            None => {}
            Some(NextCall::Load) => self.load(Waiter::Watch(watch)),
            Some(call) => self.effects.push(Effect::Call(Purpose::Watch(watch), call)),
        }
    }

    /// Loads the configuration, unless a load is under way.
    fn load(&mut self, waiter: Waiter) {
        if self.loads.join(waiter) {
            let call = Effect::Call(Purpose::Load, NextCall::Load);
            self.effects.push(call);
        }
    }

    /// Handles the result of a call to the store.
    pub(crate) fn store_answered(
        &mut self,
        now: Time,
        purpose: Purpose,
        asked: Asked,
        result: Result<SourceUpdate, Error>,
    ) {
        match purpose {
            Purpose::Watch(watch) => {
                if self.watch_continues(now, watch, &result)
                    && let Ok(update) = result
                {
                    self.source_updated(now, asked, update);
                }
            }
            Purpose::Load => {
                if let Ok(update) = &result {
                    self.source_updated(now, asked, update.clone());
                }
                for waiter in self.loads.end() {
                    match waiter {
                        Waiter::Watch(watch) => {
                            self.watch_continues(now, watch, &result);
                        }
                        Waiter::Floor => self.floor_event(now, floor_answer(&result)),
                        Waiter::Fetch => {}
                    }
                }
            }
        }
    }

    /// Continues a watch after a call; returns whether it still runs.
    fn watch_continues(
        &mut self,
        now: Time,
        watch: u32,
        result: &Result<SourceUpdate, Error>,
    ) -> bool {
        let Some(state) = self.watch.as_mut().filter(|_| watch == self.watches) else {
            return false;
        };
        let wait = match result {
            Ok(update) => {
                state.succeeded(update);
                None
            }
            Err(err) => state.failed(err, &mut self.rng),
        };
        let again = Effect::WatchAgain(watch, wait.unwrap_or_default());
        self.effects.push(again);
        if let (Err(err), Some(_)) = (result, wait) {
            let reached = matches!(
                err,
                Error::Store(StoreError::HistoryCompacted(_) | StoreError::Malformed(_))
                    | Error::Unusable(_)
            );
            self.member_event(now, membership::Event::StoreReached(reached));
        }
        true
    }

    fn source_updated(&mut self, now: Time, asked: Asked, update: SourceUpdate) {
        self.member_event(now, membership::Event::StoreReached(true));
        let age = update.age(now.since(asked.at), asked.wait);
        if let Some((era, version)) = self.stored_config.update(&update) {
            let at = now.before(age);
            self.member_event(now, membership::Event::ConfigConfirmed { era, version, at });
        }
        if let Some(loaded) = update.loaded {
            self.loaded(now, loaded);
        }
    }
}

/// The version floor after a start.
impl Process {
    pub(crate) fn floor_event(&mut self, now: Time, event: floor::Event) {
        if self.floor.is_serving() {
            return;
        }
        for action in self.floor.handle(now, event) {
            match action {
                floor::Action::Ask {
                    source: Source::Platform,
                    ..
                } => self.load(Waiter::Floor),
                floor::Action::Ask { source, count } => self.query_nodes(now, source, count),
                floor::Action::Fetch(version) => self.fetch_at_least(version),
                floor::Action::Serve { .. } | floor::Action::RetryLater { .. } => {}
            }
        }
    }

    fn query_nodes(&mut self, now: Time, source: Source, count: usize) {
        let own = self.membership.own();
        let members = self.membership.directory().present().map(|(_, r)| r);
        let others = members.filter(|r| r.host != own.host);
        let eligible = others.filter(|r| (r.zone == own.zone) == (source == Source::Peers));
        let nodes = eligible
            .map(|r| r.address)
            .choose_multiple(&mut self.rng, count);
        for _ in nodes.len()..count {
            self.floor_event(now, floor::Event::Failed(source));
        }
        let queries = nodes.into_iter().map(|to| Effect::QueryFloor(source, to));
        self.effects.extend(queries);
    }

    fn fetch_at_least(&mut self, version: ConfigVersion) {
        let members = self.membership.directory().present().map(|(_, r)| r);
        let up_to_date = members.filter(|r| r.applied >= version && version > ConfigVersion(0));
        let from = up_to_date.map(|r| r.address).choose(&mut self.rng);
        match from {
            Some(from) => self.effects.push(Effect::FetchConfig(from)),
            None => self.load(Waiter::Fetch),
        }
    }

    /// The reply to the floor query of a host.
    pub(crate) fn floor_answer(&self, source: Source, host: &Name) -> FloorAnswer {
        let (directory, own) = (self.membership.directory(), self.membership.own());
        FloorAnswer::of_member(source, directory, own, self.floor.is_serving(), host)
    }
}

/// The answer of the platform to a floor query.
fn floor_answer(result: &Result<SourceUpdate, Error>) -> floor::Event {
    let Ok(update) = result else {
        return floor::Event::Failed(Source::Platform);
    };
    let head = update.loaded.as_ref().map(|loaded| &loaded.head);
    floor::Event::Answer(FloorAnswer {
        source: Source::Platform,
        served: head.map(|head| head.version).unwrap_or_default(),
        is_serving: true,
        may_have_lost: update.revision.era > StoreEra(0),
    })
}
