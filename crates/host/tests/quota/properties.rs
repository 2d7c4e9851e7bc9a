//! The bound on admitted requests holds whatever happens to messages and hosts.

use crate::sim::{Correct, Holder, Mesh, Network, STEP_US, quota};
use knapweed_host::quota::{ExchangeReply, ExchangeRequest, Pool, Terms, Tolerance};
use knapweed_world::{Name, Quota, RequestRate, Time, Tokens};
use proptest::prelude::*;
use rand::Rng;
use std::time::Duration;

/// Length of a run, in steps: 24 s.
const STEPS: u64 = 1_200;

/// Faults of a run, as probabilities per step or message.
#[derive(Clone, Debug)]
struct Faults {
    seed: u64,
    hosts: usize,
    rate: f64,
    burst: u32,
    network: Network,
    new_holder: f64,
    restart: f64,
    freeze: f64,
    stall: f64,
    cut: f64,
    /// Requests per host and step at most.
    load: u32,
}

fn faults() -> impl Strategy<Value = Faults> {
    let network = (
        0.0..0.3,
        0.0..0.4,
        0.0..0.3,
        0_u64..80_000,
        0_u64..3_000_000,
    );
    let network = network.prop_map(|(loss, repeat, late, delay_us, late_us)| Network {
        loss,
        repeat,
        late,
        delay_us,
        late_us,
    });
    let load = (any::<u64>(), 2_usize..9, 2.0..60.0, 0_u32..40, 1_u32..8);
    let events = (0.0..0.02, 0.0..0.004, 0.0..0.004, 0.0..0.01, 0.0..0.01);
    (network, load, events).prop_map(
        |(network, (seed, hosts, rate, burst, load), (new_holder, restart, freeze, stall, cut))| {
            Faults {
                seed,
                hosts,
                rate,
                burst,
                network,
                new_holder,
                restart,
                freeze,
                stall,
                cut,
                load,
            }
        },
    )
}

/// Runs hosts that admit whatever they can.
fn run(faults: &Faults, holder: Box<dyn Holder>) -> (Mesh, Quota) {
    let quota = quota(faults.rate, faults.burst);
    let mut mesh = Mesh::new(faults.hosts, &[quota], faults.seed, holder);
    mesh.network = faults.network;
    for _ in 0..STEPS {
        disturb(&mut mesh, faults);
        load(&mut mesh, faults);
        mesh.step();
    }
    (mesh, quota)
}

fn load(mesh: &mut Mesh, faults: &Faults) {
    for host in 0..faults.hosts {
        for _ in 0..mesh.rng.random_range(0..=faults.load) {
            mesh.request(host, 0);
        }
    }
}

fn disturb(mesh: &mut Mesh, faults: &Faults) {
    let now = mesh.now;
    for i in 0..faults.hosts {
        if mesh.rng.random_bool(faults.new_holder) {
            mesh.hosts[i].holder = mesh.rng.random_range(0..faults.hosts);
        }
        if mesh.rng.random_bool(faults.restart) {
            mesh.restart(i);
        }
        if mesh.rng.random_bool(faults.freeze) {
            mesh.hosts[i].frozen_until = now + mesh.rng.random_range(0..5_000_000);
        }
        if mesh.rng.random_bool(faults.stall) {
            mesh.hosts[i].stalled_until = now + mesh.rng.random_range(0..2_000_000);
        }
        if mesh.rng.random_bool(faults.cut) {
            mesh.hosts[i].is_cut ^= true;
        }
    }
}

fn excess(faults: &Faults, holder: Box<dyn Holder>) -> f64 {
    let (mesh, quota) = run(faults, holder);
    mesh.excess(0, &Terms::new(&quota, &Tolerance::default()))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against terms whose tokens alone use more than half of the tolerated excess. The
    /// limit is computed here from the quota alone.
    #[test]
    fn tokens_leave_half_of_the_excess(
        rate_milli in prop_oneof![10_u32..20_000, 10..=u32::MAX],
        burst in prop_oneof![0_u32..200, any::<u32>()],
        share in 0.0..1.0,
        requests in 4_u32..200,
        window_s in 1_u64..60,
    ) {
        let quota = Quota { rate: RequestRate(rate_milli), burst };
        let window = Duration::from_secs(window_s);
        let terms = Terms::new(&quota, &Tolerance { window, share, requests });
        let rate = f64::from(rate_milli) / 1_000.0;
        let allowed = rate * window_s as f64 + f64::from(burst);
        let excess = share * allowed + f64::from(requests);
        let tokens = terms.rate() * (window + terms.lifetime).as_secs_f64();
        prop_assert!(tokens <= (allowed + excess / 2.0) * (1.0 + 1e-6), "{terms:?}");
        prop_assert!(terms.capacity >= Tokens::ONE, "{terms:?}");
    }

    /// Guards against any way in which a token is used twice or lives too long.
    #[test]
    fn tokens_are_conserved_and_expire(faults in faults()) {
        let excess = excess(&faults, Box::new(Correct));
        prop_assert!(excess <= 0.0, "{excess} requests too many");
    }

    /// Guards against tokens of the old limit that survive a change of it: both bounds hold
    /// on their sides of the change.
    #[test]
    fn a_changed_limit_binds(faults in faults(), factor in 0.05..3.0) {
        let (mut mesh, before) = run(&faults, Box::new(Correct));
        let after = quota(faults.rate * factor, faults.burst);
        mesh.set_quotas(&[after]);
        let changed = mesh.admitted[0].len();
        for _ in 0..STEPS {
            disturb(&mut mesh, &faults);
            load(&mut mesh, &faults);
            mesh.step();
        }
        mesh.admitted[0].drain(..changed);
        let terms = Terms::new(&after, &Tolerance::default());
        let excess = mesh.excess(0, &terms);
        prop_assert!(excess <= 0.0, "{excess} requests too many after {before:?} became {after:?}");
    }
}

/// Accepts each deposit twice, as if it took a repeated message for a new one.
struct AcceptsRepeats;

impl Holder for AcceptsRepeats {
    fn exchange(
        &mut self,
        pool: &mut Pool,
        now: Time,
        host: &Name,
        mut request: ExchangeRequest,
    ) -> Option<ExchangeReply> {
        let mut repeated = request.clone();
        for ask in &mut repeated.asks {
            (ask.debt, ask.shortage) = (0, 0);
        }
        let reply = pool.exchange(now, host, &repeated)?;
        if let Some(echo) = &mut request.echo {
            echo.stamp = reply.stamp;
            echo.held_us = 0;
        }
        pool.exchange(now, host, &request)
    }
}

/// Has a clock that runs too slowly, so that tokens expire late.
struct SlowClock;

impl Holder for SlowClock {
    fn exchange(
        &mut self,
        pool: &mut Pool,
        now: Time,
        host: &Name,
        mut request: ExchangeRequest,
    ) -> Option<ExchangeReply> {
        if let Some(echo) = &mut request.echo {
            echo.held_us /= 5;
        }
        pool.exchange(Time(now.0 / 5), host, &request)
    }
}

/// Requests too many on six hosts when callers send more than is allowed to `busy` of
/// them, while `is_busy` holds for the time in seconds.
fn overload_excess(busy: usize, is_busy: fn(u64) -> bool, holder: Box<dyn Holder>) -> f64 {
    let quota = quota(30.0, 20);
    let mut mesh = Mesh::new(6, &[quota], 1, holder);
    for step in 0..STEPS {
        for host in 0..busy {
            for _ in 0..if is_busy(step * STEP_US / 1_000_000) {
                5
            } else {
                0
            } {
                mesh.request(host, 0);
            }
        }
        mesh.step();
    }
    mesh.excess(0, &Terms::new(&quota, &Tolerance::default()))
}

/// Guards against a bound that is too wide to notice a token that is used twice.
#[test]
fn repeated_deposits_exceed_the_bound() {
    let one_host = |holder| overload_excess(1, |_| true, holder);
    assert!(one_host(Box::new(Correct)) <= 0.0);
    assert!(one_host(Box::new(AcceptsRepeats)) > 0.0);
}

/// Guards against a bound that is too wide to notice tokens that live too long.
#[test]
fn late_expiry_exceeds_the_bound() {
    let all_hosts = |holder| overload_excess(6, |seconds| seconds >= 15, holder);
    assert!(all_hosts(Box::new(Correct)) <= 0.0);
    assert!(all_hosts(Box::new(SlowClock)) > 0.0);
}
