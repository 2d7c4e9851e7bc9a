//! Tracks requests whose backend server crashed while it ran them.

use super::lost::{LostRequest, LostRequests};
use super::pool::{Pool, Probe};
use crate::protocol::SERVER_ERROR;
use crate::request_log::RequestId;
use bytes::Bytes;
use knapweed_host::crash::{
    CrashCounts, CrashDigest, CrashId, CrashRecord, CrashSubjects, Subject, Suspicion, Verdict,
};
use knapweed_host::{CrashMemory, NotRun, Outcome, Unknown};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::Time;
use log::Level;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time in which an exiting process closes its sockets, one by one.
const EXIT_DURATION: Duration = Duration::from_millis(20);
/// Time limit of the connection attempt that finds out whether the process of a backend
/// server has ended. The server is on the same host, but the node may have to wait for
/// processor time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// What a host knows of requests that crash backend servers.
pub trait CrashRecorder: Send + Sync {
    /// What is held against a request.
    fn suspicion(&self, subjects: &CrashSubjects) -> Suspicion;

    /// Another host reported that the request crashed a backend server.
    fn record(&self, subjects: &CrashSubjects, crash: CrashId);
}

/// The crash memory of a host, shared by its ingress and its dispatchers.
pub struct CrashTracker {
    memory: Mutex<CrashMemory>,
    /// Whether there are records, so that requests take no lock while there are none.
    has_records: AtomicBool,
    unsent: Mutex<NewCrashes>,
    timer: TimerService,
}

/// Crash records that have not been sent to other nodes yet.
#[derive(Debug, Default)]
pub struct NewCrashes {
    /// Records of crashes and of trials on this host.
    pub observed: Vec<CrashRecord>,
    /// Records that other nodes sent.
    pub learned: Vec<CrashRecord>,
}

impl CrashRecorder for CrashTracker {
    fn suspicion(&self, subjects: &CrashSubjects) -> Suspicion {
        match self.has_records.load(Ordering::Relaxed) {
            true => self.memory.lock().suspicion(subjects),
            false => Suspicion::None,
        }
    }

    fn record(&self, subjects: &CrashSubjects, crash: CrashId) {
        let record = |subject| CrashRecord::of_crash(subject, crash);
        self.merge([subjects.identity, subjects.content].map(record).into());
    }
}

impl CrashTracker {
    /// Creates a tracker without records.
    pub fn new(timer: TimerService) -> Self {
        Self {
            memory: Mutex::default(),
            has_records: AtomicBool::new(false),
            unsent: Mutex::default(),
            timer,
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut CrashMemory, Time) -> T) -> T {
        let mut memory = self.memory.lock();
        let result = change(&mut memory, self.timer.now());
        self.has_records
            .store(!memory.is_empty(), Ordering::Relaxed);
        result
    }

    /// Takes the records that have not been sent to other nodes yet.
    pub(super) fn take_unsent(&self) -> NewCrashes {
        self.update(|memory, now| memory.tick(now));
        std::mem::take(&mut *self.unsent.lock())
    }

    /// Merges records of another node; those that are new here are sent on.
    pub(super) fn merge(&self, records: Vec<CrashRecord>) {
        let new: Vec<_> = self.update(|memory, now| {
            let new = records.into_iter().filter(|r| memory.merge(r, now));
            new.collect()
        });
        for record in &new {
            // Most suspects only ran beside the guilty request.
            let level = match record.evidence.convicted {
                true => Level::Info,
                false => Level::Debug,
            };
            log::log!(
                target: part::EGRESS,
                level,
                subject:% = record.subject,
                crashes = record.evidence.count(),
                convicted = record.evidence.convicted,
                age_ms = record.age_ms;
                "learned of a request that crashes backend servers"
            );
        }
        self.unsent.lock().learned.extend(new);
    }

    /// Digest of the records that are held against requests.
    pub(super) fn digest(&self) -> CrashDigest {
        self.memory.lock().digest()
    }

    /// All records.
    pub(super) fn records(&self) -> Vec<CrashRecord> {
        self.memory.lock().records(self.timer.now())
    }

    /// The process of the backend server at `server` has ended: records a crash for each
    /// request of `lost` that was running then. `next_started` is the start of the next
    /// process, if there is one.
    pub(super) fn process_ended(
        &self,
        lost: &LostRequests,
        server: SocketAddr,
        next_started: Option<Time>,
    ) {
        let now = self.timer.now();
        for request in lost.process_ended(next_started, now) {
            request.crashed.store(true, Ordering::Relaxed);
            let records =
                self.update(|memory, now| memory.crashed(&request.subjects, request.crash, now));
            let content = request.subjects.content;
            if let Some(record) = records.iter().find(|r| r.subject == content) {
                log::warn!(
                    target: part::EGRESS,
                    request:% = RequestId(request.caller_id.as_ref()),
                    server:% = server,
                    subject:% = content,
                    crashes = record.evidence.count(),
                    convicted = record.evidence.convicted;
                    "the backend server died while it ran the request"
                );
            }
            self.unsent.lock().observed.extend(records);
        }
    }

    /// Number of suspected and of refused requests.
    pub(super) fn counts(&self) -> CrashCounts {
        self.memory.lock().counts()
    }

    /// Decides whether a request may run.
    pub(super) fn examine(
        self: &Arc<Self>,
        head: &RequestHead,
        deadline: Time,
    ) -> Result<CrashCheck, NotRun> {
        let mut crash_check = CrashCheck {
            crashes: Arc::clone(self),
            subjects: CrashSubjects {
                identity: Subject::identity(head.id.request),
                content: head.content,
            },
            crash: CrashId::of(head.id),
            caller_id: head.caller_id.clone(),
            is_suspect: head.is_suspect,
            exclusive_run: false,
            run: None,
        };
        let verdict = match self.has_records.load(Ordering::Relaxed) {
            true => self.update(|memory, now| memory.check(&crash_check.subjects, deadline, now)),
            false => Verdict::Clear,
        };
        match verdict {
            Verdict::Clear => {}
            Verdict::Exclusive => crash_check.exclusive_run = true,
            Verdict::Refuse(reason) => {
                log::info!(
                    target: part::EGRESS,
                    request:% = RequestId(head.caller_id.as_ref()),
                    server:% = head.address,
                    subject:% = head.content;
                    "refused: {}", reason.text()
                );
                return Err(reason);
            }
        }
        Ok(crash_check)
    }
}

/// Crash check of one request, from before it runs until its outcome.
pub(super) struct CrashCheck {
    crashes: Arc<CrashTracker>,
    subjects: CrashSubjects,
    /// Identifies the crash if the request causes one.
    crash: CrashId,
    /// The caller's identifier of the request, for the log.
    caller_id: Option<Bytes>,
    /// Whether the ingress reported an earlier crash of this request.
    is_suspect: bool,
    /// Whether the request is on trial because of an earlier crash.
    exclusive_run: bool,
    /// The run on the backend server, from its start until its outcome.
    run: Option<Run>,
}

/// A request that may be running on a backend server.
struct Run {
    lost: Arc<LostRequests>,
    started: Time,
}

impl CrashCheck {
    /// Whether no other request may run on the backend server at the same time.
    pub(super) fn is_exclusive(&self) -> bool {
        self.is_suspect || self.exclusive_run
    }

    /// The request is sent to the backend server of `lost` now.
    ///
    /// # Errors
    ///
    /// A record that arrived while the request waited does not allow it.
    pub(super) fn start(&mut self, lost: &Arc<LostRequests>, now: Time) -> Result<(), NotRun> {
        match self.crashes.suspicion(&self.subjects) {
            Suspicion::Convicted => return Err(NotRun::CrashesServers),
            Suspicion::Suspected if !self.is_exclusive() => return Err(NotRun::CrashSuspect),
            Suspicion::Suspected | Suspicion::None => {}
        }
        self.run = Some(Run {
            lost: Arc::clone(lost),
            started: now,
        });
        Ok(())
    }

    /// Records the outcome of the request on the backend server of `pool`, and the status
    /// of its answer, which is 0 without one. Returns whether the request may have crashed
    /// the backend server.
    pub(super) async fn conclude(
        mut self,
        outcome: Outcome,
        status: u16,
        pool: &Arc<Pool>,
    ) -> bool {
        let Some(run) = self.run.take() else {
            self.end_exclusive_run(false);
            return false;
        };
        match outcome {
            Outcome::Unknown(Unknown::ServerCrashed) => {
                let crashed = self.add_lost(&run);
                if has_exited(pool).await {
                    self.crashes.process_ended(&run.lost, pool.address(), None);
                }
                let crashed = crashed.load(Ordering::Relaxed);
                self.end_exclusive_run(false);
                crashed
            }
            Outcome::Unknown(Unknown::DeadlinePassed | Unknown::Truncated) => {
                self.add_lost(&run);
                self.end_exclusive_run(false);
                false
            }
            Outcome::Answered(_) => {
                run.lost.answered(run.started, self.crashes.timer.now());
                // A failure is no evidence that the request is harmless.
                self.end_exclusive_run(status < SERVER_ERROR);
                false
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                self.end_exclusive_run(false);
                false
            }
        }
    }

    /// Keeps the request as one during which the backend server may have crashed. The
    /// returned flag is set when that turns out to be so.
    fn add_lost(&self, run: &Run) -> Arc<AtomicBool> {
        let crashed = Arc::<AtomicBool>::default();
        run.lost.add(LostRequest {
            subjects: self.subjects,
            crash: self.crash,
            caller_id: self.caller_id.clone(),
            lost_at: self.crashes.timer.now(),
            answered_at: None,
            crashed: Arc::clone(&crashed),
        });
        crashed
    }

    fn end_exclusive_run(&mut self, answered: bool) {
        if std::mem::take(&mut self.exclusive_run) {
            let crashes = &self.crashes;
            let records = crashes.update(|memory, now| memory.ended(&self.subjects, answered, now));
            self.crashes.unsent.lock().observed.extend(records);
        }
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        // The caller left while the backend server had the request.
        if let Some(run) = self.run.take() {
            self.add_lost(&run);
        }
        self.end_exclusive_run(false);
    }
}

/// Whether the process of a backend server has ended, that is, it refuses connections.
async fn has_exited(pool: &Arc<Pool>) -> bool {
    tokio::time::sleep(EXIT_DURATION).await;
    let has_exited = pool.probe(PROBE_TIMEOUT).await == Probe::Refused;
    if has_exited {
        pool.discard_idle();
    }
    has_exited
}
