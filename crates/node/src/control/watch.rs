//! The watch of the platform's head, by gateways and, as a fallback, by relays.

use super::event::ControlHandle;
use super::query::Query;
use super::{Control, Event};
use knapweed_contract::drive::{self, SystemClock};
use knapweed_contract::{Driver, Head, PartCache, head};
use knapweed_observe::part;
use knapweed_platform::{Object, Platform, Revision};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Longest wait of one watch call.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Longest wait before the first repetition of a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any repetition.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The running watch; dropping it ends it.
#[derive(Debug, Default)]
pub(super) struct Watch(Option<JoinHandle<()>>);

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

impl Control {
    /// Starts or stops the watch.
    pub(super) fn watch_head(&mut self, on: bool) {
        self.watch = Watch::default();
        if on {
            let (platform, handle) = (Arc::clone(&self.parts.platform), self.handle.clone());
            self.watch = Watch(Some(tokio::spawn(watch(platform, handle))));
        }
    }

    /// Loads the head and its parts once.
    pub(super) fn load_from_platform(&self) {
        let (platform, handle) = (Arc::clone(&self.parts.platform), self.handle.clone());
        tokio::spawn(async move {
            match platform.read(&head::key()).await {
                Ok(Some(object)) => load(&*platform, &handle, &object).await,
                Ok(None) => {}
                Err(err) => log::debug!(target: part::PLATFORM, "could not read the head: {err}"),
            }
        });
    }
}

async fn watch(platform: Arc<dyn Platform>, handle: ControlHandle) {
    let key = head::key();
    let mut after = Revision(0);
    let mut limit = FIRST_BACKOFF;
    loop {
        match platform.watch(&key, after, WATCH_TIME).await {
            Ok(changed) => {
                limit = FIRST_BACKOFF;
                if let Some(object) = changed {
                    after = object.revision;
                    load(&*platform, &handle, &object).await;
                }
            }
            Err(err) => {
                log::warn!(target: part::PLATFORM, "the watch of the head failed: {err}");
                // Full jitter keeps a herd of watches apart after an outage.
                let wait = rand::rng().random_range(Duration::ZERO..=limit);
                tokio::time::sleep(wait).await;
                limit = (limit * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn load(platform: &dyn Platform, handle: &ControlHandle, object: &Object) {
    let loaded = async {
        let (_, head) = Head::decode(Some(object)).map_err(drive::Error::from)?;
        let mut cache = known_parts(handle).await;
        let driver = Driver::new(platform, &SystemClock);
        driver.load_config(&head, &mut cache).await?;
        Ok::<_, drive::Error>((head, cache))
    };
    match loaded.await {
        Ok((head, cache)) => handle.send(Event::Loaded { head, cache }).await,
        Err(err) => log::warn!(target: part::CONFIG, "could not load the configuration: {err}"),
    }
}

/// The parts that this node has, which need no read of the platform.
pub(crate) async fn known_parts(handle: &ControlHandle) -> PartCache {
    let (tx, rx) = oneshot::channel();
    handle.send(Event::Query(Query::Parts(tx))).await;
    rx.await.unwrap_or_default()
}
