use {
    super::WindowBurn,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Burn at which a month's budget is gone in two days.
const FAST_BURN: f64 = 14.4;

/// Burn at which a month's budget is gone in five days.
const SLOW_BURN: f64 = 6.0;

/// How urgent a burn is.
///
/// The rule and its two figures are those of the multiwindow, multi-burn-rate
/// alert in Google's Site Reliability Workbook, chapter 5: a short and a long
/// window must both burn, so that the alert ends soon after the failure and a
/// single hiccup raises none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Within the budget.
    #[display("ok")]
    Ok,
    /// Look at it today.
    #[display("slow")]
    Slow,
    /// Look at it now.
    #[display("fast")]
    Fast,
}

impl Level {
    /// Returns the level of burns over the windows, the shortest first.
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
