use {
    super::WindowBurn,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Burn rate that uses up a month's error budget in two days.
const FAST_BURN: f64 = 14.4;

/// Burn rate that uses up a month's error budget in five days.
const SLOW_BURN: f64 = 6.0;

/// Alert level of a burn rate.
///
/// The rule and its two thresholds are those of the multiwindow,
/// multi-burn-rate alert in Google's Site Reliability Workbook, chapter 5: the
/// burn rate must reach the threshold in both a short and a long window. The
/// alert thus ends soon after the failure, and a brief error raises none.
/// `Fast` uses the windows of five minutes and one hour, `Slow` those of one
/// hour and six hours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Neither threshold is reached in both of its windows.
    #[display("ok")]
    Ok,
    /// Needs attention within the day.
    #[display("slow")]
    Slow,
    /// Needs attention immediately.
    #[display("fast")]
    Fast,
}

impl Level {
    /// Returns the level for the burn rates by window, the shortest first.
    pub fn of(burns: &[WindowBurn]) -> Level {
        let both = |short: usize, long: usize, bound: f64| {
            let at = |i: usize| burns.get(i).is_some_and(|b| b.burn >= bound);
            at(short) && at(long)
        };
        if both(0, 1, FAST_BURN) {
            return Level::Fast;
        }
        if both(1, 2, SLOW_BURN) {
            return Level::Slow;
        }
        Level::Ok
    }
}
