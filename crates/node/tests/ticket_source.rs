//! The source of accepted tickets on a store that comes back from an older copy.

use assert_matches::assert_matches;
use knapweed_contract::drive::SystemClock;
use knapweed_contract::{Driver, Outcome, PartCache};
use knapweed_node::source::tickets::TicketSource;
use knapweed_node::source::{ConfigSource, Error};
use knapweed_store::cursor::NextCall;
use knapweed_store::{Condition, MemoryStore, ObjectKey, ObjectStore, WatchCursor};
use knapweed_world::ConfigVersion;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Objects of another kind that raise the revision.
const OTHER_OBJECTS: usize = 40;
/// Calls within which a reader must have the newest configuration.
const MAX_CALLS: usize = 3;

async fn file(store: &MemoryStore, ticket: u64) {
    let versions = json!([{ "version": "v1", "share": 100 }]);
    let name = format!("service-{ticket}");
    let services = json!([{ "name": name, "versions": versions }]);
    let document = json!({ "ticket": ticket, "services": services }).to_string();
    let driver = Driver::new(store, &SystemClock);
    let mut cache = PartCache::default();
    let outcome = driver.file(document.as_bytes(), &mut cache).await;
    assert_matches!(outcome, Outcome::Accepted { .. });
}

async fn raise_revision(store: &MemoryStore, prefix: &str, count: usize) {
    for number in 0..count {
        let key = ObjectKey::new("notes", format!("{prefix}-{number}"));
        let written = store.write(&key, "1".into(), Condition::Absent).await;
        written.expect("a write");
    }
}

/// A reader that follows the source with `cursor`.
struct Reader {
    source: TicketSource,
    cursor: WatchCursor,
    newest: ConfigVersion,
}

impl Reader {
    async fn follow(&mut self) {
        for _ in 0..MAX_CALLS {
            let known = PartCache::default();
            let update = match self.cursor.next_call() {
                NextCall::Load => self.source.load(known).await,
                NextCall::Watch(after) => self.source.watch(after, Duration::ZERO, known).await,
            };
            match update {
                Ok(update) => {
                    self.cursor.advanced(update.revision);
                    let loaded = update.loaded.map(|loaded| loaded.head.version);
                    self.newest = loaded.unwrap_or(self.newest);
                }
                Err(Error::Store(err)) => drop(self.cursor.failed(&err)),
                Err(Error::Unusable(_)) => self.cursor.start_over(),
            }
        }
    }
}

/// Guards against a ticket that is never read after it was filed again, because the revisions
/// of the store have passed the one from which the reader watches (issue 35).
#[tokio::test]
async fn a_ticket_that_is_filed_again_after_a_loss_is_read() {
    let store = Arc::new(MemoryStore::new());
    file(&store, 1).await;
    let backup = store.backup();
    let mut reader = Reader {
        source: TicketSource::new(Arc::clone(&store) as Arc<dyn ObjectStore>),
        cursor: WatchCursor::default(),
        newest: ConfigVersion(0),
    };
    raise_revision(&store, "lost", OTHER_OBJECTS).await;
    reader.follow().await;
    assert_eq!(reader.newest, ConfigVersion(1));

    file(&store, 2).await;
    store.restore(&backup);
    file(&store, 2).await;
    raise_revision(&store, "next", 2 * OTHER_OBJECTS).await;
    reader.follow().await;
    assert_eq!(reader.newest, ConfigVersion(2));
}
