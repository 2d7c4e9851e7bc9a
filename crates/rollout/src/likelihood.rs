//! Sequential likelihood ratios that keep their error bound at any stopping
//! time and for faults that begin late.

/// Requests of one kind and those of them that are affected (failed or slow).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pair {
    pub(crate) requests: f64,
    pub(crate) affected: f64,
}

impl Pair {
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
/// Given their sum, the affected requests of the new version follow at most
/// their share of the traffic when both versions are alike, whatever the common
/// rate is. The binomial form is conservative, since the exact hypergeometric
/// split has a smaller spread.
pub(crate) fn split_ratio(old: Pair, new: Pair, margin: f64, odds: f64) -> f64 {
    if old.requests == 0.0 || new.requests == 0.0 {
        return 0.0;
    }
    let null = margin * new.requests / (margin * new.requests + old.requests);
    let fault = odds * new.requests / (odds * new.requests + old.requests);
    new.affected * (fault / null).ln() + old.affected * ((1.0 - fault) / (1.0 - null)).ln()
}

/// Log likelihood ratio of the rate `fault` against `null` for one version.
pub(crate) fn rate_ratio(seen: Pair, null: f64, fault: f64) -> f64 {
    let good = seen.requests - seen.affected;
    seen.affected * (fault / null).ln() + good * ((1.0 - fault) / (1.0 - null)).ln()
}

/// Prior weight of a fault that is there from the start.
const WEIGHT_AT_START: f64 = 0.4;
/// Prior weight of a fault that begins within the horizon.
const WEIGHT_IN_HORIZON: f64 = 0.25;
/// Prior weight of a fault that begins after it.
const WEIGHT_LATER: f64 = 0.1;
/// Prior weight of a fault that is there at one of the moments it is expected.
const WEIGHT_EXPECTED: f64 = 0.25;

/// Sum of likelihood ratios over all possible starts of a fault, each with its
/// prior weight. The weights sum to at most 1, so the probability that the sum
/// ever reaches 1/alpha without a fault is at most alpha.
#[derive(Clone, Debug)]
pub(crate) struct Detector<const N: usize> {
    log_sums: [f64; N],
    step: u64,
    horizon: f64,
    expectations: u32,
    is_expected: bool,
}

impl<const N: usize> Detector<N> {
    /// A detector for `N` sizes of fault; about `horizon` updates are expected.
    pub(crate) fn new(horizon: u64) -> Self {
        Self {
            log_sums: [f64::NEG_INFINITY; N],
            step: 0,
            horizon: horizon.max(1) as f64,
            expectations: 0,
            is_expected: false,
        }
    }

    /// Gives more weight to a fault that is there at the next update.
    pub(crate) fn expect(&mut self) {
        self.expectations += 1;
        self.is_expected = true;
    }

    /// Adds the log likelihood ratios of one update, one per size of fault.
    pub(crate) fn update(&mut self, ratios: [f64; N]) {
        let weight = (self.weight() / N as f64).ln();
        self.step += 1;
        self.is_expected = false;
        for (sum, ratio) in self.log_sums.iter_mut().zip(ratios) {
            *sum = log_add(*sum, weight) + ratio;
        }
    }

    /// The log of the sum.
    pub(crate) fn log_evidence(&self) -> f64 {
        let sums = self.log_sums.iter();
        sums.copied().fold(f64::NEG_INFINITY, log_add)
    }

    fn weight(&self) -> f64 {
        let nth = f64::from(self.expectations);
        let expected = if self.is_expected {
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

/// The log of the sum of two numbers that are given by their logs.
pub(crate) fn log_add(a: f64, b: f64) -> f64 {
    let (high, low) = if a > b { (a, b) } else { (b, a) };
    if high == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
