//! A driver for leases over a fake platform, in steps of simulated time.
#![allow(dead_code, missing_docs, unreachable_pub)]

use knapweed_platform::{Condition, Error, ObjectKey, Revision};
use knapweed_world::{Name, Time};
use knapweed_zone::Incarnation;
use knapweed_zone::duty::lease::{Action, CallNumber, Event, Holder, LeaseObject, LeaseValue};
use knapweed_zone::duty::{Duty, Lease};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Simulated time between two steps; also the latency of a platform call.
pub const STEP: Duration = Duration::from_millis(10);

/// How the platform treats the calls of one node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Calls fail before they take effect.
    Unavailable,
    /// Writes take effect and their answers report a loss.
    AnswerLost,
    /// Calls take effect and nothing is reported.
    Silent,
}

#[derive(Default)]
pub struct FakePlatform {
    pub leases: BTreeMap<String, LeaseObject>,
    pub last: u64,
    pub reads: u64,
    pub writes: u64,
}

impl FakePlatform {
    pub fn write(
        &mut self,
        key: &str,
        value: LeaseValue,
        on: Condition,
    ) -> Result<Revision, Error> {
        let current = self.leases.get(key).map(|o| o.revision);
        let holds = match on {
            Condition::Absent => current.is_none(),
            Condition::Revision(revision) => current == Some(revision),
        };
        if !holds {
            let key = ObjectKey::new(key);
            return Err(Error::Conflict { key, current });
        }
        self.last += 1;
        let revision = Revision(self.last);
        self.leases
            .insert(key.into(), LeaseObject { revision, value });
        Ok(revision)
    }
}

/// One lease at one node.
pub struct Node {
    pub lease: Lease,
    pub fault: Fault,
    pub is_dead: bool,
    pub paused_until: Time,
    answers: Vec<Event>,
}

pub struct Driver {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub platform: FakePlatform,
    pub log: String,
}

impl Driver {
    pub fn new() -> Self {
        Self {
            now: Time(0),
            nodes: Vec::new(),
            platform: FakePlatform::default(),
            log: String::new(),
        }
    }

    /// Adds a candidate for a duty.
    pub fn add(&mut self, duty: &Duty, host: Name, seed: u64) -> usize {
        let incarnation = Incarnation(1);
        let holder = Holder { host, incarnation };
        let rng = SmallRng::seed_from_u64(seed);
        let mut lease = Lease::new(self.now, duty.clone(), holder, rng);
        lease.handle(self.now, Event::Candidate(true));
        self.nodes.push(Node {
            lease,
            fault: Fault::None,
            is_dead: false,
            paused_until: Time(0),
            answers: Vec::new(),
        });
        self.nodes.len() - 1
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now.after(length);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a node other than `except` may use the duty.
    pub fn run_until_held(
        &mut self,
        except: Option<usize>,
        limit: Duration,
    ) -> Option<(usize, Duration)> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if let Some(holder) = self.holder().filter(|h| Some(*h) != except) {
                return Some((holder, self.now.since(start)));
            }
            self.step();
        }
        None
    }

    /// The live node that may use the duty.
    ///
    /// Fails when there are two.
    pub fn holder(&self) -> Option<usize> {
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.filter(|(_, n)| !n.is_dead && n.lease.token(self.now).is_some());
        let holders: Vec<_> = nodes.map(|(index, _)| index).collect();
        assert!(holders.len() <= 1, "{:?}: holders {holders:?}", self.now);
        holders.first().copied()
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        for action in self.nodes[node].lease.handle(self.now, event) {
            self.act(node, action);
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        for node in 0..self.nodes.len() {
            let state = &mut self.nodes[node];
            if state.is_dead || state.paused_until > self.now {
                continue;
            }
            for answer in std::mem::take(&mut state.answers) {
                self.handle(node, answer);
            }
            self.handle(node, Event::Tick);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        let key = self.nodes[node].lease.duty().to_string();
        match action {
            Action::Read(call) => {
                self.platform.reads += 1;
                let object = self.platform.leases.get(&key).cloned();
                let result = match self.nodes[node].fault {
                    Fault::Unavailable => Err(Error::Unavailable("outage".into())),
                    _ => Ok(object),
                };
                self.answer(node, Event::Read(call, result));
            }
            Action::Write {
                call,
                value,
                condition,
            } => {
                self.platform.writes += 1;
                let result = self.write(node, &key, value, condition);
                self.log_write(node, call, &result);
                self.answer(node, Event::Written(call, result));
            }
            Action::Acquired(token) => self.note(node, &format!("acquired with token {}", token.0)),
            Action::Renewed(_) => {}
            Action::StopUsing => self.note(node, "stops using"),
        }
    }

    fn write(
        &mut self,
        node: usize,
        key: &str,
        value: LeaseValue,
        condition: Condition,
    ) -> Result<Revision, Error> {
        match self.nodes[node].fault {
            Fault::Unavailable => Err(Error::Unavailable("outage".into())),
            Fault::AnswerLost => {
                let _ = self.platform.write(key, value, condition);
                Err(Error::AnswerLost("fault".into()))
            }
            Fault::None | Fault::Silent => self.platform.write(key, value, condition),
        }
    }

    fn answer(&mut self, node: usize, event: Event) {
        if self.nodes[node].fault != Fault::Silent {
            self.nodes[node].answers.push(event);
        }
    }

    fn log_write(&mut self, node: usize, _call: CallNumber, result: &Result<Revision, Error>) {
        if let Err(error) = result {
            self.note(node, &format!("write failed: {error}"));
        }
    }

    pub fn note(&mut self, node: usize, text: &str) {
        let ms = self.now.0 / 1_000;
        writeln!(self.log, "{ms:>6} ms node {node} {text}").expect("a string");
    }
}
