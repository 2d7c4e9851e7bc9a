//! Sequential likelihood-ratio tests. Their bound on false alarms holds at any
//! stopping time, and they also detect faults that begin late.

/// Counts of requests, and of the affected (failed or slow) ones among them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: f64,
    pub(crate) affected: f64,
}

impl Counts {
    pub(crate) fn new(requests: u64, affected: u64) -> Self {
        Self {
            requests: requests as f64,
            affected: affected as f64,
        }
    }
}

/// Log likelihood ratio of the odds ratio `odds` against `margin` for the split
/// of the affected requests between new and old.
///
/// If both versions are equal, then, given the sum of the affected requests, those
/// of the new version are binomially distributed with at most its share of the
/// traffic, whatever the common rate is. The binomial form is conservative, since the exact
/// hypergeometric distribution has a smaller variance.
pub(crate) fn split_ratio(old: Counts, new: Counts, margin: f64, odds: f64) -> f64 {
    if old.requests == 0.0 || new.requests == 0.0 {
        return 0.0;
    }
    let null = margin * new.requests / (margin * new.requests + old.requests);
    let fault = odds * new.requests / (odds * new.requests + old.requests);
    new.affected * (fault / null).ln() + old.affected * ((1.0 - fault) / (1.0 - null)).ln()
}

/// Log likelihood ratio of the rate `fault` against the rate `null` for one version.
pub(crate) fn rate_ratio(counts: Counts, null: f64, fault: f64) -> f64 {
    let good = counts.requests - counts.affected;
    counts.affected * (fault / null).ln() + good * ((1.0 - fault) / (1.0 - null)).ln()
}

/// Prior weight of a fault that is present from the start.
const WEIGHT_AT_START: f64 = 0.4;
/// Prior weight of a fault that begins within the horizon.
const WEIGHT_IN_HORIZON: f64 = 0.25;
/// Prior weight of a fault that begins after the horizon.
const WEIGHT_LATER: f64 = 0.1;
/// Prior weight of a fault that begins at one of the updates after
/// [`Detector::expect_fault`].
const WEIGHT_EXPECTED: f64 = 0.25;

/// Weighted sum of likelihood ratios over all possible starts of a fault, each
/// with its prior weight. The weights sum to at most 1, so the probability that the
/// sum ever reaches 1/alpha without a fault is at most alpha.
#[derive(Clone, Debug)]
pub(crate) struct Detector<const N: usize> {
    log_sums: [f64; N],
    step: u64,
    horizon: f64,
    expected_faults: u32,
    is_fault_expected: bool,
}

impl<const N: usize> Detector<N> {
    /// A detector for `N` sizes of a fault; about `horizon` updates are expected.
    pub(crate) fn new(horizon: u64) -> Self {
        Self {
            log_sums: [f64::NEG_INFINITY; N],
            step: 0,
            horizon: horizon.max(1) as f64,
            expected_faults: 0,
            is_fault_expected: false,
        }
    }

    /// Gives more prior weight to a fault that begins at the next update.
    pub(crate) fn expect_fault(&mut self) {
        self.expected_faults += 1;
        self.is_fault_expected = true;
    }

    /// Adds the log likelihood ratios of one update, one per size of a fault.
    pub(crate) fn update(&mut self, ratios: [f64; N]) {
        let weight = (self.weight() / N as f64).ln();
        self.step += 1;
        self.is_fault_expected = false;
        for (sum, ratio) in self.log_sums.iter_mut().zip(ratios) {
            *sum = log_add(*sum, weight) + ratio;
        }
    }

    /// The natural logarithm of the weighted sum.
    pub(crate) fn log_evidence(&self) -> f64 {
        let sums = self.log_sums.iter();
        sums.copied().fold(f64::NEG_INFINITY, log_add)
    }

    fn weight(&self) -> f64 {
        let nth = f64::from(self.expected_faults);
        let expected = if self.is_fault_expected {
            WEIGHT_EXPECTED / (nth * (nth + 1.0))
        } else {
            0.0
        };
        expected + self.weight_by_time()
    }

    fn weight_by_time(&self) -> f64 {
        let step = self.step as f64;
        if self.step == 0 {
            WEIGHT_AT_START
        } else if step <= self.horizon {
            WEIGHT_IN_HORIZON / self.horizon
        } else {
            WEIGHT_LATER * self.horizon / (step * step)
        }
    }
}

/// Computes `ln(exp(a) + exp(b))` without overflow.
pub(crate) fn log_add(a: f64, b: f64) -> f64 {
    let (high, low) = if a > b { (a, b) } else { (b, a) };
    if high == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
