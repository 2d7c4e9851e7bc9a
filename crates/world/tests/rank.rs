//! Ranks by the priorities of organisations and routes.

use knapweed_world::Rank;
use knapweed_world::rank::RankTable;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Guards against ranks that change in a mesh without organisations.
#[test]
fn without_organisations_the_rank_is_that_of_the_route() {
    let table = RankTable::new([], [0, 3, 9]);
    for priority in 0..=u8::MAX {
        assert_eq!(table.rank(0, priority), Rank::of(priority, false));
    }
}

/// Guards against a route that precedes a more important organisation, and against ranks with
/// gaps, of which the reports of load tell only the first few apart.
#[test]
fn the_priority_of_the_organisation_goes_first() {
    let table = RankTable::new([5, 0, 5], [2, 7, 2]);
    let mut out = String::new();
    for organisation in [0, 5] {
        for route in [2, 7] {
            let rank = table.rank(organisation, route).0;
            writeln!(
                out,
                "organisation {organisation}, route {route}: rank {rank}"
            )
            .expect("a string");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against organisations of different priorities that share one expected wait in a report
/// of load.
#[test]
fn a_report_tells_two_priorities_of_organisations_and_three_of_routes_apart() {
    let table = RankTable::new([0, 1], [0, 1, 2]);
    let calls = [Rank::of(0, true).index()];
    let pairs = (0..2).flat_map(|organisation| (0..3).map(move |route| (organisation, route)));
    let indices = pairs.map(|(organisation, route)| table.rank(organisation, route).index());
    let all: BTreeSet<_> = calls.into_iter().chain(indices).collect();
    assert_eq!(all.len(), 7);
}
