//! A ticket is filed while the object store comes back from an older copy.

mod common;

use assert_matches::assert_matches;
use common::route;
use common::sim::{Process, SimPlatform, step};
use common::world::no_waits;
use futures_util::FutureExt;
use knapweed_contract::{Driver, Outcome, PartCache};
use knapweed_world::TicketNumber;
use serde_json::json;

/// Exceeds the number of polls that one filing takes.
const MAX_POLLS: usize = 24;

fn step_times(process: &mut Process<'_, Outcome>, times: usize) -> Option<Outcome> {
    (0..times).find_map(|_| step(process))
}

/// Guards against an accepted ticket whose head, parts or record the store has lost, because the
/// acceptance compares revisions of different eras. The copy and the loss are at any two calls.
#[test]
fn an_acceptance_survives_the_loss_of_its_writes() {
    let document = json!({ "ticket": 2, "services": [common::service("surveys", "v1")],
        "routes": [route("surveys", "/surveys", "surveys")] });
    let document = document.to_string().into_bytes();
    let mut interrupted = 0;
    for copied_at in 0..MAX_POLLS {
        for lost_at in copied_at..MAX_POLLS {
            let platform = SimPlatform::new(0, 0, &[]);
            let mut filing: Process<'_, Outcome> = Box::pin(async {
                let driver = Driver::new(&platform, &platform.clock).backoff(no_waits());
                driver.file(&document, &mut PartCache::default()).await
            });
            let mut early = step_times(&mut filing, copied_at);
            let copy = platform.inner.backup();
            early = early.or_else(|| step_times(&mut filing, lost_at - copied_at));
            platform.inner.restore(&copy);
            // What was accepted before the loss is filed again by the operator.
            if early.is_some() {
                continue;
            }
            interrupted += 1;
            let at = format!("copied after {copied_at} polls, lost after {lost_at}");
            let outcome = step_times(&mut filing, 10_000);
            assert_matches!(outcome, Some(Outcome::Accepted { .. }), "{at}");
            let driver = Driver::new(&platform.inner, &platform.clock).backoff(no_waits());
            let newest = async { driver.load_newest(&mut PartCache::default()).await };
            let newest = newest.now_or_never().expect("no waits");
            let (_, head, config) = newest.expect("a configuration with all parts");
            assert!(head.accepted(TicketNumber(2)).is_some(), "{at}");
            assert_eq!(config.routes.len(), 1, "{at}");
            let record = driver.record(TicketNumber(2)).now_or_never();
            let record = record.expect("no waits").expect("a call").expect(&at);
            assert!(record.progress.is_some(), "{at}");
        }
    }
    // Each pair of the 8 polls before the end.
    assert_eq!(interrupted, 36);
}
