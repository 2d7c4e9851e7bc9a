//! A simulated network of deciding nodes, ingresses and egresses.
//!
//! Messages are lost, repeated, delayed and reordered; nodes are killed,
//! restarted, paused and cut off from each other at any step. Only a request is
//! never repeated, since one stream carries it.
#![allow(missing_docs, unreachable_pub)]

use bytes::Bytes;
use knapweed_host::inquiry::{self, Begin, End, ExchangeStore, Finding};
use knapweed_host::ledger::ingress::{KeyedSend, Step};
use knapweed_host::ledger::message::{
    Action, AskId, Copy, CopyAnswer, Grant, GrantAnswer, Permit, PermitAnswer, Resolution, Settle,
    Settlement, Update,
};
use knapweed_host::ledger::table::{Member, Row, SlotTable};
use knapweed_host::ledger::{Ledger, Options};
use knapweed_host::{Answer, Identity, NotRun, Outcome, RequestId, SendId, Unknown};
use knapweed_world::{Name, Time, UnixMillis};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[path = "faults.rs"]
mod faults;
#[path = "network.rs"]
mod network;

pub const DECIDERS: usize = 4;
pub const INGRESSES: usize = 3;
pub const EGRESSES: usize = 2;
const START: UnixMillis = UnixMillis(1_700_000_000_000);
const LEFT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Node {
    Decider(usize),
    Ingress(usize),
    Egress(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Permit(AskId, Permit),
    Answer(AskId, PermitAnswer),
    Grant(Grant),
    GrantAnswer(GrantAnswer),
    Update(Update),
    Copy(Copy),
    CopyAnswer(CopyAnswer),
    Settle(Settle),
    Request(SendId, Member),
    Response(SendId, Outcome),
    Inquire(SendId, Member, Duration),
    Found(SendId, Resolution),
    Table(Row),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: Node,
    to: Node,
    message: Message,
}

struct Decider {
    ledger: Option<Ledger>,
    incarnation: u64,
    paused_until: Time,
    skew_ms: u64,
}

struct Egress {
    store: ExchangeStore,
    incarnation: u64,
    running: Vec<(SendId, Node)>,
}

/// A send at its ingress, until its outcome is reported.
struct OpenSend {
    ingress: usize,
    egress: Member,
    keyed: KeyedSend,
    sent: bool,
    deadline: Time,
    permit: Permit,
}

/// What happened, for the checks.
#[derive(Debug, Default)]
pub struct History {
    pub runs: BTreeMap<RequestId, Vec<u64>>,
    pub reported: BTreeMap<SendId, Outcome>,
    pub restarts: usize,
    pub promotions: usize,
}

pub struct Model {
    pub rng: SmallRng,
    now: Time,
    deciders: Vec<Decider>,
    egresses: Vec<Egress>,
    /// The row that each ingress knows.
    known: Vec<Row>,
    row: Row,
    network: Vec<Envelope>,
    cut: BTreeSet<(Node, Node)>,
    asks: BTreeMap<AskId, SendId>,
    open: BTreeMap<SendId, OpenSend>,
    keys: Vec<(Identity, Option<UnixMillis>)>,
    /// How many of the drawn faults happen.
    fault_percent: u32,
    next: u64,
    pub history: History,
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn decider(index: usize, incarnation: u64) -> Member {
    let host = name(&format!("d{index}"));
    Member { host, incarnation }
}

fn egress(index: usize, incarnation: u64) -> Member {
    let host = name(&format!("e{index}"));
    Member { host, incarnation }
}

fn index_of(member: &Member) -> usize {
    member.host.as_str()[1..].parse().expect("a number")
}

/// Construction.
impl Model {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Time::from_millis(20_000);
        let row = Row::first(name("labasa"), decider(0, 1), decider(1, 1));
        let deciders = (0..DECIDERS).map(|index| Decider {
            ledger: Some(Ledger::new(decider(index, 1), Options::default(), now)),
            incarnation: 1,
            paused_until: now,
            skew_ms: rng.random_range(0..2_000),
        });
        let deciders = deciders.collect();
        let egresses = (0..EGRESSES).map(|_| Egress {
            store: ExchangeStore::new(inquiry::Options::default(), Time(0)),
            incarnation: 1,
            running: Vec::new(),
        });
        let mut model = Self {
            rng,
            now,
            deciders,
            egresses: egresses.collect(),
            known: vec![row.clone(); INGRESSES],
            row,
            network: Vec::new(),
            cut: BTreeSet::new(),
            asks: BTreeMap::new(),
            open: BTreeMap::new(),
            keys: Vec::new(),
            fault_percent: [100, 40, 10][(seed % 3) as usize],
            next: 0,
            history: History::default(),
        };
        model.announce_row();
        model
    }

    fn wall(&self, skew_ms: u64) -> UnixMillis {
        UnixMillis(START.0 + self.now.0 / 1_000 + skew_ms)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// Callers.
impl Model {
    pub fn add_key(&mut self) {
        let n = self.number();
        let skew = self.rng.random_range(0..2_000);
        let made_at = self.rng.random::<bool>().then(|| self.wall(skew));
        let identity = loop {
            let key = Bytes::from(format!("key-{n}-{}", self.rng.random::<u32>()));
            let identity = Identity::from_key(key).expect("a valid key");
            // One slot keeps the table small.
            if identity.id().0[0] == 0 {
                break identity;
            }
        };
        self.keys.push((identity, made_at));
    }

    /// Sends one of the latest keys through any ingress, again and again.
    pub(super) fn caller_sends(&mut self) {
        let recent = self.keys.len().saturating_sub(4)..self.keys.len();
        let Some((identity, made_at)) = self.keys[recent].choose(&mut self.rng).cloned() else {
            return;
        };
        let attempt = self.number();
        let ingress = self.rng.random_range(0..INGRESSES);
        let e = self.rng.random_range(0..EGRESSES);
        let send = SendId {
            request: identity.id(),
            attempt,
        };
        let permit = Permit {
            epoch: self.known[ingress].epoch,
            send,
            fingerprint: 1,
            made_at,
            egress: egress(e, self.egresses[e].incarnation),
            left_ms: LEFT.as_millis() as u32,
        };
        let deadline = self.now.after(LEFT);
        let open = OpenSend {
            ingress,
            egress: permit.egress.clone(),
            keyed: KeyedSend::new(self.now, deadline),
            sent: false,
            deadline,
            permit,
        };
        self.open.insert(send, open);
        self.ask(send);
    }

    fn ask(&mut self, send: SendId) {
        let ask = AskId(self.number());
        let Some(open) = self.open.get_mut(&send) else {
            return;
        };
        open.permit.epoch = self.known[open.ingress].epoch;
        let (ingress, permit) = (open.ingress, open.permit.clone());
        self.asks.insert(ask, send);
        let owner = Node::Decider(index_of(&self.known[ingress].owner));
        self.post(Node::Ingress(ingress), owner, Message::Permit(ask, permit));
    }

    fn report(&mut self, send: SendId, outcome: Outcome) {
        self.open.remove(&send);
        let before = self.history.reported.insert(send, outcome);
        assert_eq!(before, None, "two outcomes for {send:?}");
    }
}

/// The ingress.
impl Model {
    pub(super) fn time_out(&mut self, send: SendId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&send) else {
            return;
        };
        if !open.sent {
            let step = open.keyed.timeout(now);
            return self.follow(send, step);
        }
        let (ingress, egress) = (open.ingress, open.egress.clone());
        open.deadline = now.after(Duration::from_secs(1));
        let age = now.since(Time(open.deadline.0.saturating_sub(10_000_000)));
        // Some ingresses inquire first, others report at once.
        if self.rng.random() {
            let to = Node::Egress(index_of(&egress));
            self.post(
                Node::Ingress(ingress),
                to,
                Message::Inquire(send, egress, age),
            );
        } else {
            self.end(send, Outcome::Unknown(Unknown::ConnectionLost));
        }
    }

    fn follow(&mut self, send: SendId, step: Step) {
        match step {
            Step::Send => self.send(send),
            Step::Wait(_) | Step::Ignore => {}
            Step::AskAgain(_) => self.ask(send),
            Step::Fetch { send: earlier, .. } => {
                assert!(
                    self.has_run(earlier),
                    "{earlier:?} was answered but has not run"
                );
                self.report(send, Outcome::Answered(Answer::NotStored));
            }
            Step::End(outcome) => self.report(send, outcome),
            Step::GiveUp(outcome) => {
                self.settle(send, Settlement::NotRun);
                self.report(send, outcome);
            }
            Step::Release => self.settle(send, Settlement::NotRun),
        }
    }

    fn send(&mut self, send: SendId) {
        let Some(open) = self.open.get_mut(&send) else {
            return;
        };
        open.sent = true;
        let (from, egress) = (Node::Ingress(open.ingress), open.egress.clone());
        let to = Node::Egress(index_of(&egress));
        self.post(from, to, Message::Request(send, egress));
    }

    fn end(&mut self, send: SendId, outcome: Outcome) {
        if !self.open.get(&send).is_some_and(|open| open.sent) {
            return;
        }
        let settlement = match outcome {
            Outcome::Answered(_) => Settlement::Answered,
            Outcome::NotRun(_) => Settlement::NotRun,
            Outcome::Unknown(_) => Settlement::Unknown,
        };
        self.settle(send, settlement);
        self.report(send, outcome);
    }

    fn settle(&mut self, send: SendId, settlement: Settlement) {
        let Some(open) = self.open.get(&send) else {
            return;
        };
        let owner = Node::Decider(index_of(&self.known[open.ingress].owner));
        let from = Node::Ingress(open.ingress);
        self.post(from, owner, Message::Settle(Settle { send, settlement }));
    }

    pub fn has_run(&self, send: SendId) -> bool {
        let runs = self.history.runs.get(&send.request);
        runs.is_some_and(|attempts| attempts.contains(&send.attempt))
    }
}

/// The egress.
impl Model {
    fn arrive(&mut self, from: Node, e: usize, send: SendId, to: &Member) {
        let reply = |outcome| Message::Response(send, outcome);
        let node = &mut self.egresses[e];
        if to.incarnation != node.incarnation {
            let outcome = Outcome::NotRun(NotRun::NotServing);
            return self.post(Node::Egress(e), from, reply(outcome));
        }
        match node.store.begin(send) {
            Begin::Repeated => {}
            Begin::Refuse => {
                let outcome = Outcome::NotRun(NotRun::NeverRan);
                self.post(Node::Egress(e), from, reply(outcome));
            }
            Begin::Run if self.rng.random_range(0..5) == 0 => {
                let reason = NotRun::ShedByServer;
                node.store.finish(send, End::NotRun(reason), self.now);
                self.post(Node::Egress(e), from, reply(Outcome::NotRun(reason)));
            }
            Begin::Run => {
                node.running.push((send, from));
                let runs = self.history.runs.entry(send.request).or_default();
                runs.push(send.attempt);
            }
        }
    }

    pub(super) fn finish_one(&mut self) {
        let e = self.rng.random_range(0..EGRESSES);
        let node = &mut self.egresses[e];
        let Some((send, from)) = node.running.pop() else {
            return;
        };
        let (end, outcome) = match self.rng.random_range(0..4) {
            0 => {
                let reason = Unknown::ServerCrashed;
                (End::Unknown(reason), Outcome::Unknown(reason))
            }
            _ => (End::Answered(None), Outcome::Answered(Answer::Complete)),
        };
        node.store.finish(send, end, self.now);
        self.post(Node::Egress(e), from, Message::Response(send, outcome));
    }

    fn inquire(&mut self, from: Node, e: usize, send: SendId, to: &Member, age: Duration) {
        let node = &mut self.egresses[e];
        let resolution = if to.incarnation != node.incarnation {
            Resolution::Lost
        } else {
            match node.store.inquire(send, age, self.now) {
                Finding::Complete(_) => Resolution::Answered,
                Finding::Running => Resolution::Running,
                Finding::Never | Finding::NotRun(_) => Resolution::NotRun,
                Finding::Unknown(_) | Finding::Forgotten => Resolution::Lost,
            }
        };
        self.post(Node::Egress(e), from, Message::Found(send, resolution));
    }
}
