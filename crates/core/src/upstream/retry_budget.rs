/// Retries that one request pays in, in hundredths.
const EARNED_HUNDREDTHS: u64 = 10;

/// Hundredths of one retry.
const RETRY_HUNDREDTHS: u64 = 100;

/// Retries that may be saved up, in hundredths.
///
/// When one engine dies, each request that waited on it needs one retry at
/// once. At 20 requests a second and 16 engines that is one or two; 20 leaves
/// room for a failure domain of four engines, and is spent in one second by a
/// retry storm.
const MAX_SAVED_HUNDREDTHS: u64 = 2_000;

/// Retries that an instance may send.
///
/// Load pattern: many engines fail or time out at once, most often because
/// they are overloaded. Without a budget each request is tried up to its
/// limit of attempts, so the load grows by that factor just when there is too
/// much of it, and stays there after the cause has gone.
///
/// Each request pays in a tenth of a retry, so retries stay a tenth of the
/// traffic. A retry after a refused connection counts too: it is cheap for
/// the dead engine and not for the next. To resume a stream is always
/// allowed, since its caller already reads the answer, and is charged; the
/// streams to resume are never more than those that the dead engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            hundredths: MAX_SAVED_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Notes a request that is tried for the first time.
    pub fn record_first_attempt(&mut self) {
        self.hundredths = (self.hundredths + EARNED_HUNDREDTHS).min(MAX_SAVED_HUNDREDTHS);
    }

    /// Takes a retry out, if one is left.
    pub fn try_retry(&mut self) -> bool {
        if self.hundredths < RETRY_HUNDREDTHS {
            return false;
        }
        self.hundredths -= RETRY_HUNDREDTHS;
        true
    }

    /// Charges a stream that is resumed, whatever is left.
    pub fn charge_resume(&mut self) {
        self.hundredths = self.hundredths.saturating_sub(RETRY_HUNDREDTHS);
    }
}
