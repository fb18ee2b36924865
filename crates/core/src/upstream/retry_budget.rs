/// Hundredths of a retry that each first attempt of a request adds to the budget.
const EARNED_HUNDREDTHS: u64 = 10;

/// Cost of one retry in the unit of the budget, hundredths of a retry.
const RETRY_HUNDREDTHS: u64 = 100;

/// Capacity of the budget, in hundredths of a retry.
///
/// When one engine dies, each request that waited on it needs a retry at once.
/// At 20 requests a second and 16 engines, that is one or two retries. A
/// capacity of 20 retries covers the loss of a failure domain of four engines,
/// and a retry storm uses it up within one second.
const MAX_SAVED_HUNDREDTHS: u64 = 2_000;

/// Token bucket of the retries that an instance may send.
///
/// It limits the load when many engines fail or time out at once, most often
/// because they are overloaded. Without a budget each request uses all of its
/// attempts, which multiplies the load during the overload and keeps it high
/// after the cause is gone.
///
/// Each request adds a tenth of a retry. Once the saved retries are used up,
/// retries stay at a tenth of the traffic. A retry after a refused connection
/// costs a retry too: it is little load for the dead engine, but not for the
/// engine that gets the retry. Resuming a stream is always allowed, because its
/// caller already reads the answer, but it is charged as a retry. There are never
/// more streams to resume than the dead engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRetryBudget {
    /// Saved retries, in hundredths of a retry.
    saved_hundredths: u64,
}

impl Default for InstanceRetryBudget {
    fn default() -> InstanceRetryBudget {
        InstanceRetryBudget {
            saved_hundredths: MAX_SAVED_HUNDREDTHS,
        }
    }
}

impl InstanceRetryBudget {
    /// Adds the share of a request that is sent for the first time.
    pub fn record_first_attempt(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + EARNED_HUNDREDTHS).min(MAX_SAVED_HUNDREDTHS);
    }

    /// Takes one retry out of the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_hundredths < RETRY_HUNDREDTHS {
            return false;
        }
        self.saved_hundredths -= RETRY_HUNDREDTHS;
        true
    }

    /// Charges one retry for a stream that is resumed, down to an empty budget.
    pub fn charge_resume(&mut self) {
        self.saved_hundredths = self.saved_hundredths.saturating_sub(RETRY_HUNDREDTHS);
    }
}
