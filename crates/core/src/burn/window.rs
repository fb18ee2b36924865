use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Number of full cells in a window. Together with the current, partial cell
/// they cover the window and up to a twelfth more.
pub const CELLS_PER_WINDOW: u64 = 12;

const MINUTE_MS: u64 = 60_000;

/// Windows over which burn rates are reported.
///
/// A short window shows that a failure is still going on, a long one that it is
/// significant. A short window alone raises alerts for brief errors. A long
/// window alone still raises them an hour after the failure ended.
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
    /// All windows, the shortest first.
    pub const ALL: [Window; 3] = [Window::FiveMinutes, Window::OneHour, Window::SixHours];

    /// Returns the length of the window in milliseconds.
    pub fn length_ms(self) -> u64 {
        match self {
            Window::FiveMinutes => 5 * MINUTE_MS,
            Window::OneHour => 60 * MINUTE_MS,
            Window::SixHours => 360 * MINUTE_MS,
        }
    }

    /// Returns the length of one cell in milliseconds.
    pub fn cell_ms(self) -> u64 {
        self.length_ms() / CELLS_PER_WINDOW
    }
}
