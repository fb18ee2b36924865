/// Part of an engine's slots that the requests of one interval may fill.
const MAX_FILLED_RATIO: f64 = 0.125;

/// Minimum number of engines that a request compares: with one, work isn't balanced at all.
const MIN_SAMPLE: usize = 2;

/// Returns how many engines a request may compare, given the requests of all instances for each
/// engine in the time after which they hear of each other's work.
///
/// Load: bursts of short prompts at many instances. The least loaded engine is in the samples of
/// a part of all requests that grows with their size, and gets them all until its load is heard
/// of: with eleven of 45 engines compared, single engines held 47 requests at 32 slots while
/// others held ten.
pub fn max_sample(arrivals_per_engine: f64, slots: u32) -> usize {
    let filled = f64::from(slots) * MAX_FILLED_RATIO;
    let sample = filled / arrivals_per_engine.max(f64::MIN_POSITIVE);
    // The cast saturates where there are hardly any arrivals.
    (sample as usize).max(MIN_SAMPLE)
}
