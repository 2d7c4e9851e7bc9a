//! The version that the store is known to have, after answers in any order.

use knapweed_contract::Head;
use knapweed_node::source::{LoadedConfig, SourceUpdate, StoredConfig};
use knapweed_store::{Revision, StoreEra};
use knapweed_world::ConfigVersion;
use std::fmt::Write;

fn loaded(era: u64, version: u64) -> SourceUpdate {
    let head = Head {
        version: ConfigVersion(version),
        ..Head::default()
    };
    SourceUpdate {
        loaded: Some(LoadedConfig {
            head,
            ..LoadedConfig::default()
        }),
        ..unchanged(era)
    }
}

fn unchanged(era: u64) -> SourceUpdate {
    SourceUpdate {
        revision: Revision::new(1).in_era(StoreEra(era)),
        ..SourceUpdate::default()
    }
}

/// Guards against a watch that confirms an older version than the store has, after a load that
/// began before the newest one was written has ended late, and against an answer of an era that
/// has ended.
#[test]
fn the_version_of_an_era_does_not_go_back() {
    let partial = SourceUpdate {
        is_partial: true,
        ..loaded(1, 9)
    };
    let updates = [
        ("no configuration", unchanged(0)),
        ("version 5", loaded(0, 5)),
        ("version 4, late", loaded(0, 4)),
        ("no change", unchanged(0)),
        ("the next era, version 3", loaded(1, 3)),
        ("version 6 of the earlier era", loaded(0, 6)),
        ("no change", unchanged(1)),
        ("version 9, partial", partial),
        ("the next era, no configuration", unchanged(2)),
    ];
    let mut stored = StoredConfig::default();
    let mut out = String::new();
    for (name, update) in updates {
        let confirmed = stored.update(&update);
        let confirmed = confirmed.map(|(era, version)| format!("era {era}, version {version}"));
        writeln!(out, "{name}: {}", confirmed.unwrap_or("nothing".into())).expect("a string");
    }
    insta::assert_snapshot!(out);
}
