//! Executes a run: a thread starts each request at its planned time, and a recorder collects the
//! samples.

use crate::client::{Call, Caller, Outcome, add_key};
use crate::options::Options;
use crate::payload;
use crate::recorder::{Recorder, Sample};
use crate::report::Report;
use crate::schedule::Schedule;
use http::Request;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limit of requests in flight; further ones are not sent and count as [`Outcome::NotSent`].
const MAX_IN_FLIGHT: usize = 20_000;

/// Sends all requests of a run and returns the report.
///
/// The report is empty if [`Options::check`] fails.
pub async fn run(options: Options) -> Report {
    let names = target_names(&options);
    let mut recorder = Recorder::new(names.len());
    if options.check().is_err() {
        return Report::new(names, &recorder.into_targets(), options.duration);
    }
    let schedule = Schedule::new(options.rate, options.duration, options.max_requests);
    let planned = schedule.due(schedule.count());
    let warm_up = options.warm_up.min(planned / 2);
    let (tx, mut rx) = unbounded_channel();
    let pacer = Pacer {
        options: Arc::new(options),
        schedule,
        warm_up,
        caller: Caller::new(),
        in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
        seed: since_epoch().as_nanos() as u64,
        handle: Handle::current(),
    };
    let paced = tokio::task::spawn_blocking(move || pacer.run(&tx));
    while let Some(sample) = rx.recv().await {
        recorder.add(&sample);
    }
    // The channel closes only after the pacer has returned, so this does not wait.
    let _ = paced.await;
    Report::new(names, &recorder.into_targets(), planned - warm_up)
}

fn target_names(options: &Options) -> Vec<String> {
    let names: Vec<_> = options.targets.iter().map(ToString::to_string).collect();
    match options.compare {
        true => names,
        false => vec![names.join(", ")],
    }
}

fn since_epoch() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

/// Starts each request at its planned time.
///
/// It runs on a thread of its own, since the timers of tokio have a resolution of only 1 ms.
struct Pacer {
    options: Arc<Options>,
    schedule: Schedule,
    warm_up: Duration,
    caller: Caller,
    in_flight: Arc<Semaphore>,
    seed: u64,
    handle: Handle,
}

impl Pacer {
    fn run(&self, tx: &UnboundedSender<Sample>) {
        let start = Instant::now();
        for index in 0..self.schedule.count() {
            let due = self.schedule.due(index);
            // Bounds the run if the machine cannot sustain the rate.
            if start.elapsed() > self.options.duration * 2 {
                return;
            }
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            let reported = due >= self.warm_up;
            self.start(index, start + due, reported.then(|| tx.clone()));
        }
    }

    /// Spawns the task of a request; `tx` is `None` during the warm-up.
    fn start(&self, index: u64, planned: Instant, tx: Option<UnboundedSender<Sample>>) {
        let target = index as usize % self.options.targets.len();
        let permit = Arc::clone(&self.in_flight).try_acquire_owned().ok();
        let call = self.call(index, target);
        let caller = self.caller.clone();
        self.handle.spawn(async move {
            let sent = Instant::now();
            let outcome = send(&caller, call, permit).await;
            let sample = Sample {
                target,
                outcome,
                latency: sent.elapsed(),
                lateness: sent.saturating_duration_since(planned),
            };
            if let Some(tx) = tx {
                // Cannot fail: the receiver exists until the last sender is dropped.
                let _ = tx.send(sample);
            }
        });
    }

    fn call(&self, index: u64, target: usize) -> Call {
        let options = &self.options;
        let body = payload::body(self.seed, index, options.body_len);
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = options.method.clone();
        *request.uri_mut() = options.targets[target].clone();
        if options.keys {
            let key = payload::key(self.seed, index, since_epoch());
            add_key(&mut request, &key);
        }
        Call {
            request,
            expected: options.check_echo.then_some(body),
            timeout: options.timeout,
        }
    }
}

async fn send(caller: &Caller, call: Call, permit: Option<OwnedSemaphorePermit>) -> Outcome {
    match permit {
        Some(_permit) => caller.send(call).await,
        None => Outcome::NotSent,
    }
}
