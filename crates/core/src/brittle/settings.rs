/// How an instance spares engines that fall over when they reject too much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrittleSettings {
    /// Time for which an engine's word that its service is brittle holds. All answers
    /// repeat it.
    pub valid_ms: u64,
    /// Share of the rejections that an engine bears which all instances together may
    /// cause. Instances learn of each other's requests late, and some more are rejected.
    pub used_ratio: f64,
    /// Time for which an instance keeps its rank among all at an engine. Instances come
    /// and go, and computing the rank walks through all of them.
    pub rank_valid_ms: u64,
}

impl Default for BrittleSettings {
    fn default() -> BrittleSettings {
        BrittleSettings {
            valid_ms: 3_000,
            used_ratio: 0.5,
            rank_valid_ms: 1_000,
        }
    }
}
