//! Simulated hosts that exchange tokens over a faulty network.

#![allow(missing_docs)]

use knapweed_host::quota::account::MAX_OVERDRAFT;
use knapweed_host::quota::{
    Accounts, ExchangeReply, ExchangeRequest, Pool, Table, Terms, Tolerance,
};
use knapweed_world::organisation::OrganisationConfig;
use knapweed_world::{Config, Name, Quota, QuotaTokens, RequestRate, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// Length of a step, in microseconds.
pub(crate) const STEP_US: u64 = 20_000;
/// Time between two ticks of the control thread of a host, in microseconds.
const TICK_US: u64 = 100_000;

pub(crate) fn name(kind: &str, i: usize) -> Name {
    format!("{kind}-{i:03}").parse().expect("a name")
}

pub(crate) fn quota(rate: f64, burst: u32) -> Quota {
    Quota {
        rate: RequestRate::per_second(rate).expect("a rate"),
        burst,
    }
}

pub(crate) fn config(quotas: &[Quota]) -> Config {
    let organisations = quotas.iter().enumerate().map(|(i, quota)| {
        let organisation = OrganisationConfig {
            quota: Some(*quota),
            ..OrganisationConfig::default()
        };
        (name("org", i), organisation)
    });
    Config {
        organisations: organisations.collect(),
        ..Config::default()
    }
}

/// What a holder does with a request. Tests replace it by faulty ones.
pub(crate) trait Holder {
    fn exchange(
        &mut self,
        pool: &mut Pool,
        now: Time,
        host: &Name,
        request: ExchangeRequest,
    ) -> Option<ExchangeReply>;
}

/// The code under test.
pub(crate) struct Correct;

impl Holder for Correct {
    fn exchange(
        &mut self,
        pool: &mut Pool,
        now: Time,
        host: &Name,
        request: ExchangeRequest,
    ) -> Option<ExchangeReply> {
        pool.exchange(now, host, &request)
    }
}

/// Faults of the network, as probabilities per message, and its delays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    pub(crate) late: f64,
    pub(crate) delay_us: u64,
    pub(crate) late_us: u64,
}

impl Network {
    pub(crate) const GOOD: Self = Self {
        loss: 0.0,
        repeat: 0.0,
        late: 0.0,
        delay_us: 40_000,
        late_us: 0,
    };
}

#[derive(Clone)]
enum Message {
    Request {
        from: usize,
        request: ExchangeRequest,
    },
    Reply(ExchangeReply),
}

struct Packet {
    due: u64,
    to: usize,
    message: Message,
}

pub(crate) struct Host {
    /// When the process started; its clock shows the time since then.
    started: u64,
    accounts: Accounts,
    pool: Pool,
    pub(crate) tokens: Vec<Arc<QuotaTokens>>,
    /// Index of the host that it takes for the holder.
    pub(crate) holder: usize,
    /// The process does nothing until then.
    pub(crate) frozen_until: u64,
    /// Its control thread does nothing until then.
    pub(crate) stalled_until: u64,
    pub(crate) is_cut: bool,
    /// Number of hosts that it knows of.
    pub(crate) known_hosts: u32,
}

impl Host {
    fn clock(&self, now: u64) -> Time {
        Time(now - self.started)
    }
}

pub(crate) struct Mesh {
    pub(crate) now: u64,
    pub(crate) hosts: Vec<Host>,
    pub(crate) rng: SmallRng,
    pub(crate) network: Network,
    pub(crate) restarts: u32,
    /// Times of the admitted requests of each organisation.
    pub(crate) admitted: Vec<Vec<u64>>,
    config: Config,
    packets: Vec<Packet>,
    holder: Box<dyn Holder>,
}

impl Mesh {
    pub(crate) fn new(hosts: usize, quotas: &[Quota], seed: u64, holder: Box<dyn Holder>) -> Self {
        let mut mesh = Self {
            now: 0,
            hosts: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            network: Network::GOOD,
            restarts: 0,
            admitted: vec![Vec::new(); quotas.len()],
            config: config(quotas),
            packets: Vec::new(),
            holder,
        };
        for _ in 0..hosts {
            let host = mesh.start_host(hosts as u32);
            mesh.hosts.push(host);
        }
        mesh
    }

    fn start_host(&mut self, known_hosts: u32) -> Host {
        let mut host = Host {
            started: self.now,
            accounts: Accounts::new(self.rng.random()),
            pool: Pool::new(self.rng.random()),
            tokens: self
                .config
                .organisations
                .iter()
                .map(|_| Arc::new(QuotaTokens::default()))
                .collect(),
            holder: 0,
            frozen_until: 0,
            stalled_until: 0,
            is_cut: false,
            known_hosts,
        };
        apply(&mut host, self.now, &self.config);
        host
    }

    /// Ends the process of a host, and starts one that knows nothing.
    pub(crate) fn restart(&mut self, i: usize) {
        let host = self.start_host(self.hosts.len() as u32);
        let holder = self.hosts[i].holder;
        self.hosts[i] = Host { holder, ..host };
        self.restarts += 1;
    }

    /// Brings other quotas into force on all hosts.
    pub(crate) fn set_quotas(&mut self, quotas: &[Quota]) {
        self.config = config(quotas);
        for host in &mut self.hosts {
            apply(host, self.now, &self.config);
        }
    }

    /// A request of an organisation at a host; returns whether it was admitted.
    pub(crate) fn request(&mut self, host: usize, organisation: usize) -> bool {
        let state = &self.hosts[host];
        if state.frozen_until > self.now {
            return false;
        }
        let now = state.clock(self.now);
        let is_admitted = state.tokens[organisation].try_take(now).is_ok();
        if is_admitted {
            self.admitted[organisation].push(self.now);
        }
        is_admitted
    }

    /// Delivers messages and runs the control threads, then moves the time on.
    pub(crate) fn step(&mut self) {
        self.deliver();
        for i in 0..self.hosts.len() {
            self.control(i);
        }
        self.now += STEP_US;
    }

    fn is_halted(&self, i: usize) -> bool {
        let host = &self.hosts[i];
        host.frozen_until > self.now || host.stalled_until > self.now
    }

    fn control(&mut self, i: usize) {
        if self.is_halted(i) {
            return;
        }
        let host = &mut self.hosts[i];
        let now = host.clock(self.now);
        if !(self.now + i as u64 * STEP_US).is_multiple_of(TICK_US) {
            return;
        }
        host.accounts.tick(now, Some(host.known_hosts));
        let holder = name("host", host.holder);
        if let Some(exchange) = host.accounts.poll(now, &holder) {
            let to = host.holder;
            let request = exchange.request;
            self.send(i, to, Message::Request { from: i, request });
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && (self.hosts[from].is_cut || self.hosts[to].is_cut) {
            return;
        }
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.repeat));
        for _ in 0..copies {
            let mut delay = self.rng.random_range(0..=self.network.delay_us);
            if self.rng.random_bool(self.network.late) {
                delay += self.rng.random_range(0..=self.network.late_us);
            }
            let due = self.now + delay;
            let message = message.clone();
            self.packets.push(Packet { due, to, message });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let halted: Vec<_> = (0..self.hosts.len()).map(|i| self.is_halted(i)).collect();
        let is_due = |p: &mut Packet| p.due <= now && !halted[p.to];
        let due: Vec<_> = self.packets.extract_if(.., is_due).collect();
        for packet in due {
            let host = &mut self.hosts[packet.to];
            let now = host.clock(self.now);
            match packet.message {
                Message::Reply(reply) => host.accounts.reply_received(now, &reply),
                Message::Request { from, request } => {
                    let sender = name("host", from);
                    let reply = self.holder.exchange(&mut host.pool, now, &sender, request);
                    if let Some(reply) = reply {
                        self.send(packet.to, from, Message::Reply(reply));
                    }
                }
            }
        }
    }

    /// Requests of `organisation` beyond what its tokens and the overdrafts of all hosts
    /// allow, in the window that has the most; at most 0 when the bound holds.
    pub(crate) fn excess(&self, organisation: usize, terms: &Terms) -> f64 {
        let overdrafts = MAX_OVERDRAFT * (self.hosts.len() as u32 + self.restarts);
        let lifetime = terms.lifetime.as_secs_f64();
        let times = &self.admitted[organisation];
        // The most of count(i..=j) - rate * (t[j] - t[i]) over all i <= j.
        let mut most = f64::MIN;
        let mut best_start = f64::MIN;
        for (i, time) in times.iter().enumerate() {
            let line = terms.rate() * *time as f64 / 1e6;
            best_start = best_start.max(line - i as f64);
            most = most.max((i + 1) as f64 - line + best_start);
        }
        most - terms.rate() * lifetime - f64::from(overdrafts)
    }

    /// The most requests of `organisation` in a window.
    pub(crate) fn most_in(&self, organisation: usize, window: Duration) -> usize {
        let window_us = window.as_micros() as u64;
        let times = &self.admitted[organisation];
        let mut start = 0;
        let mut most = 0;
        for (i, time) in times.iter().enumerate() {
            while times[start] + window_us <= *time {
                start += 1;
            }
            most = most.max(i + 1 - start);
        }
        most
    }
}

fn apply(host: &mut Host, now: u64, config: &Config) {
    let table = Table::new(config, &Tolerance::default());
    let clock = host.clock(now);
    let names: Vec<_> = config.organisations.keys().cloned().collect();
    let tokens = &host.tokens;
    let find = |name: &Name| {
        let at = names.binary_search(name).ok()?;
        tokens.get(at).cloned()
    };
    host.accounts.set_table(clock, table.clone(), find);
    host.pool.set_table(table);
}
