use derive_more::Display;

/// Patterns of load and faults. Teams 0 and 1 are the large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Pattern {
    /// Load of 60 % of the capacity.
    #[display("steady")]
    Steady,
    /// Load of 50 % of the capacity, and of 200 % for 2 s of every 10 s.
    #[display("burst")]
    Burst,
    /// One caller sends a quarter of the load through one instance.
    #[display("hot caller")]
    HotCaller,
    /// One inner prefix of each team receives half of its requests.
    #[display("hot key")]
    HotKey,
    /// One engine is 8 times slower for 15 s.
    #[display("slow upstream")]
    SlowUpstream,
    /// One request in ten has 8 times the own blocks and answer tokens.
    #[display("long among short")]
    LongAmongShort,
    /// The large teams exceed their rates: 150 % of the capacity in all.
    #[display("overload 1.5x")]
    Overload150Percent,
    /// The large teams exceed their rates: 300 % of the capacity in all.
    #[display("overload 3x")]
    Overload300Percent,
    /// Load of 300 % of the capacity as above, but without rate limits: only the
    /// queue divides the capacity between teams.
    #[display("overload 3x, no rates")]
    OverloadWithoutRates,
    /// One team sends 5 times its rate.
    #[display("one team at 5x rate")]
    OneTeamOverRate,
    /// The inner prefix that receives half of its team's requests changes every
    /// 5 s.
    #[display("shifting hot prefix")]
    ShiftingHotPrefix,
    /// An engine crashes and restarts 1 s later with an empty cache.
    #[display("engine back empty")]
    EngineRestart,
    /// Every instance restarts within 1 s.
    #[display("herd of restarts")]
    RestartAll,
}

impl Pattern {
    /// Every pattern, in the order of the printed table.
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

    /// Returns a team's load at a time, as a fraction of the capacity; `share`
    /// is the fraction that the team may use.
    pub(super) fn load(self, team: usize, share: f64, at_us: u64) -> f64 {
        let flooding = team < 2;
        match self {
            Pattern::Burst if at_us % 10_000_000 < 2_000_000 => share * 2.0,
            Pattern::Burst => share * 0.5,
            Pattern::HotCaller => share * 0.45 + if team == 2 { 0.15 } else { 0.0 },
            // The small teams send 80 % of their rate, which is 24 % of the capacity.
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

    /// Returns whether requests beyond a team's rate are refused before they
    /// reach a policy, for every policy alike, as the router's limits do.
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
