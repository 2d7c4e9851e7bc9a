//! Time for which the host was suspended, which the steady clock does not count.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::fmt::Debug;
use std::time::Duration;

/// Source of the time for which the host was suspended.
pub trait Suspensions: Debug + Send + Sync {
    /// Length of all suspensions since some fixed time, or slightly less.
    fn total(&self) -> Duration;
}

/// The clocks of the operating system: the boot-time clock counts suspensions, the steady clock
/// does not.
#[derive(Clone, Copy, Debug)]
pub struct SystemClocks;

impl Suspensions for SystemClocks {
    fn total(&self) -> Duration {
        let with_suspensions = since_boot(clock_gettime(ClockId::Boottime));
        // A delay between both readings makes the result less, never more.
        let without = since_boot(clock_gettime(ClockId::Monotonic));
        with_suspensions.saturating_sub(without)
    }
}

fn since_boot(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
