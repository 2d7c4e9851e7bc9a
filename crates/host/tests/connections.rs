//! The connection limit holds, and an aborted exchange ends its connection.

use knapweed_host::connections::{
    Acquired, Action, ClaimKey, ConnectionKey, Connections, Exchange,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};

/// Expected state of the pool, from the view of the backend server and the requests.
#[derive(Default)]
struct Model {
    opening: usize,
    open: HashSet<ConnectionKey>,
    busy: HashSet<ConnectionKey>,
    aborted: HashSet<ConnectionKey>,
    claims: HashMap<ClaimKey, usize>,
    next: usize,
}

impl Model {
    fn apply(&mut self, action: Action) {
        if action.open {
            self.opening += 1;
        }
        if let Some((claim, key)) = action.assigned {
            assert!(self.claims.remove(&claim).is_some(), "an unknown claim");
            self.assign(key);
        }
        if let Some(claim) = action.fail {
            assert!(self.claims.remove(&claim).is_some(), "an unknown claim");
        }
    }

    fn assign(&mut self, key: ConnectionKey) {
        self.open.insert(key);
        assert!(
            !self.aborted.contains(&key),
            "a connection with an aborted exchange is used again"
        );
        assert!(self.busy.insert(key), "two requests on one connection");
    }

    fn check(&self, connections: &Connections, limit: usize) {
        assert!(self.opening <= 1, "two connections are being opened");
        assert!(connections.count() <= limit, "above the limit");
        assert!(self.busy.len() + self.aborted.len() <= limit);
    }
}

/// Guards against more connections than the limit (requirement B8), against opening two
/// at a time, and against a late response that reaches the next request (hazard H5).
#[test]
fn random_events_keep_the_rules() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = rng.random_range(1..8);
        let mut connections = Connections::new(limit);
        let mut model = Model::default();
        for _ in 0..500 {
            step(&mut connections, &mut model, &mut rng);
            model.check(&connections, usize::from(limit));
        }
        finish(&mut connections, &mut model);
    }
}

fn step(connections: &mut Connections, model: &mut Model, rng: &mut SmallRng) {
    let busy = model.busy.iter().min().copied();
    match rng.random_range(0..9) {
        0 | 1 => match connections.acquire() {
            Acquired::Reuse(key) => model.assign(key),
            Acquired::Wait { claim, open } => {
                model.opening += usize::from(open);
                model.next += 1;
                model.claims.insert(claim, model.next);
            }
        },
        2 if model.opening > 0 => {
            model.opening -= 1;
            let action = connections.opened();
            model.apply(action);
        }
        3 if model.opening > 0 => {
            model.opening -= 1;
            let action = connections.open_failed();
            model.apply(action);
        }
        4 => {
            if let Some(key) = busy {
                release(connections, model, key, rng.random());
            }
        }
        5 => {
            if let Some(key) = model.aborted.iter().min().copied() {
                model.aborted.remove(&key);
                let action = connections.closed(key);
                model.apply(action);
            }
        }
        6 => model.opening += usize::from(connections.open_spare()),
        7 => {
            // The backend server counts them until they are closed.
            model.aborted.extend(connections.discard_idle());
        }
        _ => {
            if let Some(claim) = model.claims.keys().min().copied() {
                assert!(connections.cancel(claim));
                model.claims.remove(&claim);
            }
        }
    }
}

fn release(
    connections: &mut Connections,
    model: &mut Model,
    key: ConnectionKey,
    is_complete: bool,
) {
    model.busy.remove(&key);
    let exchange = match is_complete {
        true => Exchange::Complete,
        false => Exchange::Aborted,
    };
    let action = connections.release(key, exchange);
    if !is_complete {
        assert_eq!(action.close, Some(key));
        model.aborted.insert(key);
    }
    model.apply(action);
}

/// Checks that every claim ends once requests and connections end.
fn finish(connections: &mut Connections, model: &mut Model) {
    for _ in 0..2_000 {
        if model.claims.is_empty() {
            return;
        }
        if model.opening > 0 {
            model.opening -= 1;
            let action = connections.opened();
            model.apply(action);
        } else if let Some(key) = model.busy.iter().min().copied() {
            release(connections, model, key, true);
        } else if let Some(key) = model.aborted.iter().min().copied() {
            model.aborted.remove(&key);
            let action = connections.closed(key);
            model.apply(action);
        }
    }
    panic!("{} claims were lost", model.claims.len());
}

#[test]
fn an_idle_connection_that_the_server_closed_is_not_used() {
    let mut connections = Connections::new(2);
    assert!(matches!(
        connections.acquire(),
        Acquired::Wait { open: true, .. }
    ));
    let (_, key) = connections.opened().assigned.expect("a connection");
    connections.release(key, Exchange::Complete);
    connections.closed(key);
    assert!(matches!(
        connections.acquire(),
        Acquired::Wait { open: true, .. }
    ));
}
