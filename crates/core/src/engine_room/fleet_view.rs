use super::RoomSettings;

/// What an instance knows of all instances that may have work at the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetView {
    /// Instances that may be running, with this one.
    pub instances: usize,
    /// Fraction of the engines' memory that may be taken by what instances sent before they
    /// started anew.
    pub former_fraction: f64,
}

/// Instances other than the one that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OtherInstances {
    /// Instances that were heard before and aren't now. Behind a partition they go on sending.
    pub silent: usize,
    /// Addresses at which instances may listen that weren't heard yet.
    pub unknown: usize,
}

impl FleetView {
    /// Returns the view of an instance that started `up_ms` ago, with the times since which the
    /// peers that it hears run, and the others.
    pub fn new(
        up_ms: u64,
        peers_up_ms: impl IntoIterator<Item = u64>,
        others: OtherInstances,
        settings: &RoomSettings,
    ) -> FleetView {
        let former = |up_ms: u64| match up_ms < settings.former_work_ms {
            true => 1.0 - up_ms as f64 / settings.former_work_ms as f64,
            false => 0.0,
        };
        let (mut heard, mut formers) = (1, former(up_ms));
        for up_ms in peers_up_ms {
            heard += 1;
            formers += former(up_ms);
        }
        let instances = heard + others.silent;
        let is_learning = up_ms < settings.learning_ms && others.unknown * 10 > instances;
        FleetView {
            instances,
            former_fraction: match is_learning {
                true => 1.0,
                false => formers / instances as f64,
            },
        }
    }
}
