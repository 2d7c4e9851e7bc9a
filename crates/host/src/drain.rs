//! Life cycle of a node: it serves, drains and stops without interrupting a request.

use crate::NotRun;
use knapweed_world::Time;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::{AcqRel, Acquire};
use std::time::Duration;

/// Timing of the shutdown of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Minimum time for which a leaving node still accepts requests, until its
    /// callers have noticed that it is not ready.
    pub min_wait: Duration,
    /// A leaving node accepts no more requests after this time without an arrival.
    pub quiet: Duration,
    /// Maximum time that a leaving node waits for the `quiet` period.
    pub max_wait: Duration,
    /// Time after which a leaving process is killed; `None` when it is not.
    pub grace: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_wait: Duration::ZERO,
            quiet: Duration::from_secs(1),
            max_wait: Duration::from_secs(30),
            grace: None,
        }
    }
}

/// Phase of the life cycle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Accepts requests and is ready.
    Serving,
    /// Announces that it leaves, and still accepts requests.
    Leaving,
    /// Accepts no requests and waits for the running ones.
    Finishing,
    /// No request is running or will be accepted.
    Stopped,
}

const PHASES: [Phase; 4] = [
    Phase::Serving,
    Phase::Leaving,
    Phase::Finishing,
    Phase::Stopped,
];

/// Effect of a request to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopAction {
    /// The node starts to leave: disseminate it, fail readiness checks, hand over its duties.
    Leave,
    /// The node was leaving already: exit at once with status 1.
    Terminate,
}

/// When to call [`Drain::poll`] again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// After [`Drain::leave`] was called; nothing is due before.
    Serve,
    /// At this time.
    At(Time),
    /// When [`Drain::end`] returns `true`.
    AtLastEnd,
    /// Never: exit with status 0.
    Exit,
}

/// Counts running requests and decides when the node may exit.
///
/// Shared by threads. Phase and count share one atomic integer, so that no request
/// is accepted after the node has stopped, and the end of the last request is
/// always noticed.
#[derive(Debug, Default)]
pub struct Drain {
    options: Options,
    /// The phase above [`PHASE_SHIFT`], the count of running requests below.
    state: AtomicU64,
    left_at: AtomicU64,
    last_arrival: AtomicU64,
}

/// Part of the grace period that is kept for the transmission of the last responses.
const GRACE_MARGIN_DIVISOR: u32 = 20;

/// Position of the phase in `Drain::state`; the bits below hold the count.
const PHASE_SHIFT: u32 = 62;

fn phase_of(state: u64) -> Phase {
    PHASES[(state >> PHASE_SHIFT) as usize]
}

fn running_of(state: u64) -> u64 {
    state & ((1 << PHASE_SHIFT) - 1)
}

impl Drain {
    /// Creates the life cycle of a serving node.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }
}

/// Queries of the current state.
impl Drain {
    /// Current phase of the life cycle.
    pub fn phase(&self) -> Phase {
        phase_of(self.state.load(Acquire))
    }

    /// Whether load balancers should send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether responses carry `connection: close`.
    pub fn closes_connections(&self) -> bool {
        self.phase() != Phase::Serving
    }

    /// Number of running requests.
    pub fn running(&self) -> u64 {
        running_of(self.state.load(Acquire))
    }
}

/// Events that the node reports.
impl Drain {
    /// Counts an arriving request. After `Ok`, [`Drain::end`] must be called exactly once.
    ///
    /// Fails with [`NotRun::NotServing`] once the node finishes or has stopped.
    pub fn arrive(&self, now: Time) -> Result<(), NotRun> {
        let count = |state: u64| (phase_of(state) < Phase::Finishing).then_some(state + 1);
        let result = self.state.fetch_update(AcqRel, Acquire, count);
        result.map_err(|_| NotRun::NotServing)?;
        self.last_arrival.fetch_max(now.0, AcqRel);
        Ok(())
    }

    /// Whether a request that arrives at `now` and may take until `deadline` can be finished
    /// before the process is killed.
    ///
    /// A request that is cut off by the end of the grace period gets no answer, and its
    /// caller cannot know whether it ran. So a leaving node takes a request that is not
    /// idempotent only if all of its time fits. An idempotent one is also taken until
    /// callers have noticed that the node leaves, since most requests take much less than
    /// their time.
    ///
    /// # Errors
    ///
    /// [`NotRun::NotServing`] when the request must not be taken.
    pub fn check_deadline(
        &self,
        now: Time,
        deadline: Time,
        is_idempotent: bool,
    ) -> Result<(), NotRun> {
        let Some(grace) = self.options.grace.filter(|_| self.closes_connections()) else {
            return Ok(());
        };
        let left_at = Time(self.left_at.load(Acquire));
        let end = left_at.after(grace - grace / GRACE_MARGIN_DIVISOR);
        let is_early = is_idempotent && now < left_at.after(self.options.min_wait);
        match is_early || deadline <= end {
            true => Ok(()),
            false => Err(NotRun::NotServing),
        }
    }

    /// Counts the end of a request. Returns `true` when [`Drain::poll`] should be called.
    pub fn end(&self) -> bool {
        let before = self.state.fetch_sub(1, AcqRel);
        running_of(before) == 1 && phase_of(before) >= Phase::Finishing
    }

    /// The node is asked to stop.
    pub fn leave(&self, now: Time) -> StopAction {
        self.left_at.fetch_max(now.0, AcqRel);
        if self.advance(Phase::Serving, Phase::Leaving) {
            StopAction::Leave
        } else {
            StopAction::Terminate
        }
    }

    /// Enters the next phase when it is due.
    pub fn poll(&self, now: Time) -> Next {
        match self.phase() {
            Phase::Serving => Next::Serve,
            Phase::Leaving => self.poll_leaving(now),
            Phase::Finishing => self.poll_finishing(),
            Phase::Stopped => Next::Exit,
        }
    }
}

/// Transitions between phases.
impl Drain {
    fn poll_leaving(&self, now: Time) -> Next {
        let left_at = Time(self.left_at.load(Acquire));
        let last = left_at.max(Time(self.last_arrival.load(Acquire)));
        let options = &self.options;
        let quiet = last.after(options.quiet);
        let due = quiet.max(left_at.after(options.min_wait));
        let due = due.min(left_at.after(options.max_wait));
        if now < due {
            return Next::At(due);
        }
        self.advance(Phase::Leaving, Phase::Finishing);
        self.poll_finishing()
    }

    fn poll_finishing(&self) -> Next {
        if self.running() > 0 {
            return Next::AtLastEnd;
        }
        self.advance(Phase::Finishing, Phase::Stopped);
        Next::Exit
    }

    fn advance(&self, from: Phase, to: Phase) -> bool {
        let step = |state: u64| {
            let next = running_of(state) | (to as u64) << PHASE_SHIFT;
            (phase_of(state) == from).then_some(next)
        };
        self.state.fetch_update(AcqRel, Acquire, step).is_ok()
    }
}
