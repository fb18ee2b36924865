use std::{cell::RefCell, collections::BTreeMap, fmt::Write};

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

#[derive(Debug, Default, Clone)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    sum_ms: u64,
    count: u64,
}

/// Counters and latency histograms, rendered as text for scraping.
///
/// Labels come only from string literals of this program and never from input, so
/// their number is bounded whatever the configuration holds.
#[derive(Debug, Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram>>,
}

impl Counters {
    /// Adds one to the counter `mangowalk_<name>_total` with a reason as its label.
    pub fn count(&self, name: &'static str, reason: &'static str) {
        *self.counts.borrow_mut().entry((name, reason)).or_default() += 1;
    }

    /// Adds a latency to the histogram `mangowalk_<name>_ms`.
    pub fn observe(&self, name: &'static str, latency_ms: u64) {
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms.entry(name).or_default();
        for (bucket, bound_ms) in histogram.buckets.iter_mut().zip(BUCKET_BOUNDS_MS) {
            *bucket += u64::from(latency_ms <= bound_ms);
        }
        histogram.sum_ms += latency_ms;
        histogram.count += 1;
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for ((name, reason), count) in self.counts.borrow().iter() {
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "mangowalk_{name}_total{{reason=\"{reason}\"}} {count}"
            );
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            for (bound_ms, count) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
                let _ = writeln!(
                    text,
                    "mangowalk_{name}_ms_bucket{{le=\"{bound_ms}\"}} {count}"
                );
            }
            let _ = writeln!(
                text,
                "mangowalk_{name}_ms_bucket{{le=\"+Inf\"}} {count}\nmangowalk_{name}_ms_sum {sum}\nmangowalk_{name}_ms_count {count}",
                sum = histogram.sum_ms,
                count = histogram.count,
            );
        }
        text
    }
}
