//! Any configuration reaches a node that has any other one, whatever happens to a delta.

use crate::configs::{load, name, route, service, store_of};
use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_contract::parts;
use knapweed_link::delta::Error as DeltaError;
use knapweed_link::{Delta, PartTag};
use knapweed_node::control::config::{ConfigStore, Error};
use knapweed_world::{Config, ConfigVersion};
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::BTreeMap;

/// Configurations with some of 60 routes and of 6 services, each in one of three states.
fn config() -> impl Strategy<Value = Config> {
    let routes = proptest::collection::btree_map(0..60_usize, 0..3_u64, 0..60);
    let services = proptest::collection::btree_map(0..6_usize, 0..3_u64, 0..6);
    (routes, services).prop_map(config_with)
}

fn config_with((routes, services): (BTreeMap<usize, u64>, BTreeMap<usize, u64>)) -> Config {
    let service_of = |(number, revision)| (name(&format!("service-{number}")), service(revision));
    Config {
        services: services.into_iter().map(service_of).collect(),
        routes: routes.into_iter().map(|(n, r)| route(n, r)).collect(),
        ..Config::default()
    }
}

/// Configurations of the versions 1, 2, 3 and so on.
fn versions() -> impl Strategy<Value = Vec<Config>> {
    proptest::collection::vec(config(), 2..6).prop_map(|mut configs| {
        for (config, version) in configs.iter_mut().zip(1..) {
            config.version = ConfigVersion(version);
        }
        configs
    })
}

/// What a transfer makes of a delta.
#[derive(Clone, Debug)]
enum Damage {
    /// A byte of the compressed delta is changed.
    Byte(Index, u8),
    /// The compressed delta is cut off.
    End(Index),
    /// A whole part is missing.
    Part(Index),
    /// A patch is missing.
    Patch(Index),
    /// A patch names another base.
    Base(Index, PartTag),
    /// A patch names a base of another patch.
    OtherBase(Index, Index),
    /// The content of a whole part is changed.
    Content(Index, Index, u8),
}

fn damage() -> impl Strategy<Value = Damage> {
    let index = any::<Index>;
    prop_oneof![
        (index(), 1_u8..).prop_map(|(at, change)| Damage::Byte(at, change)),
        index().prop_map(Damage::End),
        index().prop_map(Damage::Part),
        index().prop_map(Damage::Patch),
        (index(), any::<u32>()).prop_map(|(at, tag)| Damage::Base(at, PartTag(tag))),
        (index(), index()).prop_map(|(at, other)| Damage::OtherBase(at, other)),
        (index(), index(), 1_u8..).prop_map(|(part, at, by)| Damage::Content(part, at, by)),
    ]
}

impl Damage {
    fn transfer(&self, packed: &Bytes) -> Result<Delta, DeltaError> {
        let mut packed = packed.to_vec();
        match self {
            Self::Byte(at, change) => *at.get_mut(&mut packed) ^= change,
            Self::End(at) => packed.truncate(at.index(packed.len())),
            _ => {}
        }
        let mut delta = Delta::decompress(&packed)?;
        let (parts, patches) = (&mut delta.parts, &mut delta.patches);
        match self {
            Self::Byte(..) | Self::End(_) => {}
            Self::Part(at) if !parts.is_empty() => drop(parts.remove(at.index(parts.len()))),
            Self::Patch(at) if !patches.is_empty() => {
                drop(patches.remove(at.index(patches.len())));
            }
            Self::Base(at, tag) if !patches.is_empty() => at.get_mut(patches).base = *tag,
            Self::OtherBase(at, other) if !patches.is_empty() => {
                at.get_mut(patches).base = other.get(patches).base;
            }
            Self::Content(part, at, change) if !parts.is_empty() => {
                let part = part.get_mut(parts);
                let mut content = part.to_vec();
                content[at.index(part.len())] ^= change;
                *part = content.into();
            }
            _ => {}
        }
        Ok(delta)
    }
}

/// Fetches once, as the control thread does.
fn fetch(
    sender: &mut ConfigStore,
    receiver: &mut ConfigStore,
    transfer: impl Fn(&Bytes) -> Result<Delta, DeltaError>,
) -> Result<bool, Error> {
    let packed = sender.delta_for(receiver.tags()).expect("a delta");
    match transfer(&packed) {
        Ok(delta) => receiver.apply_delta(delta),
        Err(err) => {
            receiver.delta_was_unreadable();
            Err(err.into())
        }
    }
}

fn unharmed(packed: &Bytes) -> Result<Delta, DeltaError> {
    Delta::decompress(packed)
}

proptest! {
    /// Guards against a table that differs from that of the sender, whichever of the earlier
    /// configurations the receiver has, or another one.
    #[test]
    fn a_delta_brings_any_configuration(
        configs in versions(),
        known in any::<Index>(),
        mut foreign in config(),
        is_foreign in any::<bool>(),
    ) {
        let newest = configs.last().expect("a configuration");
        foreign.version = ConfigVersion(1);
        let known = if is_foreign { &foreign } else { known.get(&configs[..configs.len() - 1]) };
        let mut sender = store_of(&configs);
        let mut receiver = store_of([known]);
        prop_assert_eq!(fetch(&mut sender, &mut receiver, unharmed), Ok(true));
        prop_assert_eq!(&**receiver.config(), newest);
        // The receiver is a sender as good as the first one.
        let mut next = store_of([known]);
        prop_assert_eq!(fetch(&mut receiver, &mut next, unharmed), Ok(true));
        prop_assert_eq!(&**next.config(), newest);
    }

    /// Guards against a wrong or partial table, and against a fetch that fails again and
    /// again.
    #[test]
    fn a_damaged_delta_is_followed_by_a_fetch_that_succeeds(
        configs in versions(),
        known in any::<Index>(),
        damage in damage(),
    ) {
        let newest = configs.last().expect("a configuration");
        let known = known.get(&configs[..configs.len() - 1]);
        let mut sender = store_of(&configs);
        let mut receiver = store_of([known]);
        let damaged = fetch(&mut sender, &mut receiver, |packed| damage.transfer(packed));
        match damaged {
            Ok(newer) => prop_assert_eq!((newer, &**receiver.config()), (true, newest)),
            Err(_) => {
                prop_assert_eq!(&**receiver.config(), known);
                prop_assert_eq!(receiver.tags(), vec![]);
                prop_assert_eq!(fetch(&mut sender, &mut receiver, unharmed), Ok(true));
                prop_assert_eq!(&**receiver.config(), newest);
            }
        }
        prop_assert_eq!(receiver.tags(), store_of([newest]).tags());
    }

    /// Guards against a delta that cannot be used because the receiver has got another
    /// configuration since it asked.
    #[test]
    fn a_delta_fits_a_receiver_that_has_changed_meanwhile(configs in versions()) {
        let (asked_with, newest) = (&configs[0], configs.last().expect("a configuration"));
        let mut sender = store_of(&configs);
        let mut receiver = store_of([asked_with]);
        let packed = sender.delta_for(receiver.tags()).expect("a delta");
        for config in &configs[1..configs.len() - 1] {
            load(&mut receiver, config);
        }
        let delta = Delta::decompress(&packed).expect("a delta");
        prop_assert_eq!(receiver.apply_delta(delta), Ok(true));
        prop_assert_eq!(&**receiver.config(), newest);
    }
}

fn two_versions() -> [Config; 2] {
    let config = |version, routes: usize| Config {
        version: ConfigVersion(version),
        ..config_with(((0..routes).map(|n| (n, 0)).collect(), BTreeMap::new()))
    };
    [config(1, 200), config(2, 240)]
}

/// Guards against a patch for a receiver that never had the base, as after a restart between
/// its fetch and the answer.
#[test]
fn an_unknown_base_is_followed_by_whole_parts() {
    let configs = two_versions();
    let mut sender = store_of(&configs);
    let packed = sender.delta_for(store_of(&configs[..1]).tags());
    let delta = unharmed(&packed.expect("a delta")).expect("a delta");
    let mut receiver = store_of([&Config {
        version: ConfigVersion(1),
        services: [(name("calendar"), service(0))].into(),
        ..Config::default()
    }]);
    let refused = receiver.apply_delta(delta);
    assert_matches!(refused, Err(Error::Delta(DeltaError::UnknownBase(_))));
    assert_eq!(receiver.tags(), []);
    assert_eq!(fetch(&mut sender, &mut receiver, unharmed), Ok(true));
    assert_eq!(**receiver.config(), configs[1]);
    assert_ne!(receiver.tags(), []);
}

/// Guards against a part that is left out of each answer because another one of the receiver
/// has the same tag.
#[test]
fn a_tag_collision_is_followed_by_whole_parts() {
    let configs = two_versions();
    let mut sender = store_of(&configs);
    let mut receiver = store_of(&configs[..1]);
    let have = [receiver.tags(), sender.tags()].concat();
    let delta = unharmed(&sender.delta_for(have).expect("a delta")).expect("a delta");
    let refused = receiver.apply_delta(delta);
    assert_matches!(refused, Err(Error::Part(parts::Error::Missing { .. })));
    assert_eq!(receiver.tags(), []);
    assert_eq!(fetch(&mut sender, &mut receiver, unharmed), Ok(true));
    assert_eq!(**receiver.config(), configs[1]);
}

/// Guards against a node that asks for the whole table again and again: one that cannot use
/// whole parts, or cannot read a part, asks with its tags.
#[test]
fn only_one_fetch_in_two_asks_for_whole_parts() {
    let configs = two_versions();
    let mut sender = store_of(&configs);
    let mut receiver = store_of(&configs[..1]);
    let cut = |packed: &Bytes| unharmed(&packed.slice(..packed.len() / 2));
    let mut asked_whole = Vec::new();
    for _ in 0..4 {
        asked_whole.push(receiver.tags().is_empty());
        assert_matches!(fetch(&mut sender, &mut receiver, cut), Err(_));
    }
    assert_eq!(asked_whole, [false, true, false, true]);

    let headless = |packed: &Bytes| {
        let delta = unharmed(packed)?;
        let head = Bytes::from("{}");
        Ok(Delta { head, ..delta })
    };
    assert_matches!(
        fetch(&mut sender, &mut receiver, headless),
        Err(Error::Head(_))
    );
    assert_ne!(receiver.tags(), []);
}
