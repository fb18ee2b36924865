use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Full cells of a window. Together with the running one they cover the window
/// and up to a twelfth more.
pub const CELLS_PER_WINDOW: u64 = 12;

const MINUTE_MS: u64 = 60_000;

/// The windows over which burn is reported.
///
/// A short window shows that a failure goes on now, a long one that it costs
/// enough to matter. One alone either cries at each hiccup or still cries an
/// hour after the failure has ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Window {
    /// Five minutes.
    #[display("5m")]
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour.
    #[display("1h")]
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[display("6h")]
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Window; 3] = [Window::FiveMinutes, Window::OneHour, Window::SixHours];

    /// Returns the length.
    pub fn length_ms(self) -> u64 {
        match self {
            Window::FiveMinutes => 5 * MINUTE_MS,
            Window::OneHour => 60 * MINUTE_MS,
            Window::SixHours => 360 * MINUTE_MS,
        }
    }

    /// Returns the length of one cell.
    pub fn cell_ms(self) -> u64 {
        self.length_ms() / CELLS_PER_WINDOW
    }
}
