use derive_more::Display;

/// Patterns of load and faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Pattern {
    /// Three fifths of the capacity.
    #[display("steady")]
    Steady,
    /// Half the capacity, and twice the capacity for two seconds in ten.
    #[display("burst")]
    Burst,
    /// One caller sends a quarter of all through one instance.
    #[display("hot caller")]
    HotCaller,
    /// One inner prefix gets half of all requests.
    #[display("hot key")]
    HotKey,
    /// One engine is eight times slower for fifteen seconds.
    #[display("slow upstream")]
    SlowUpstream,
    /// One request in ten is eight times as long.
    #[display("long among short")]
    LongAmongShort,
    /// Large teams flood: one and a half times the capacity together.
    #[display("overload 1.5x")]
    Overload150Percent,
    /// Large teams flood: three times the capacity together.
    #[display("overload 3x")]
    Overload300Percent,
    /// As the one above, but no rate limits the teams: the queue alone shares.
    #[display("overload 3x, no rates")]
    OverloadWithoutRates,
    /// One team sends five times its rate.
    #[display("one team at 5x rate")]
    OneTeamOverRate,
    /// The inner prefix that gets half of all changes every five seconds.
    #[display("shifting hot prefix")]
    ShiftingHotPrefix,
    /// An engine restarts and comes back empty a second later.
    #[display("engine back empty")]
    EngineRestart,
    /// Every instance restarts within a second.
    #[display("herd of restarts")]
    RestartAll,
}

impl Pattern {
    /// Every pattern, in the order of the table.
    pub const ALL: [Pattern; 13] = [
        Pattern::Steady,
        Pattern::Burst,
        Pattern::HotCaller,
        Pattern::HotKey,
        Pattern::SlowUpstream,
        Pattern::LongAmongShort,
        Pattern::Overload150Percent,
        Pattern::Overload300Percent,
        Pattern::OverloadWithoutRates,
        Pattern::OneTeamOverRate,
        Pattern::ShiftingHotPrefix,
        Pattern::EngineRestart,
        Pattern::RestartAll,
    ];

    /// Returns a team's load at a time, as a share of the capacity.
    pub(super) fn load(self, team: usize, share: f64, at_us: u64) -> f64 {
        let flooding = team < 2;
        match self {
            Pattern::Burst if at_us % 10_000_000 < 2_000_000 => share * 2.0,
            Pattern::Burst => share * 0.5,
            Pattern::HotCaller => share * 0.45 + if team == 2 { 0.15 } else { 0.0 },
            // The small teams stay at four fifths of their rate.
            Pattern::Overload150Percent if flooding => share / 0.7 * (1.5 - 0.24),
            Pattern::Overload300Percent | Pattern::OverloadWithoutRates if flooding => {
                share / 0.7 * (3.0 - 0.24)
            }
            Pattern::Overload150Percent
            | Pattern::Overload300Percent
            | Pattern::OverloadWithoutRates => share * 0.8,
            Pattern::OneTeamOverRate if team == 2 => share * 5.0,
            _ => share * 0.6,
        }
    }

    /// Returns whether rates limit the teams before any queue, for every
    /// policy alike, as the router's limits do.
    pub(super) fn is_limited(self) -> bool {
        self != Pattern::OverloadWithoutRates
    }

    /// Returns whether a team may send more than its rate.
    pub(super) fn floods(self, team: usize) -> bool {
        match self {
            Pattern::Overload150Percent
            | Pattern::Overload300Percent
            | Pattern::OverloadWithoutRates => team < 2,
            Pattern::OneTeamOverRate => team == 2,
            _ => false,
        }
    }
}
