use {
    super::{CanaryReport, LossReport, Sample, VersionSamples},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Key of the lost answers of all routes among the results by route.
pub const LOST_ANSWERS: u32 = 0;

/// The reports of all instances on one order.
///
/// The last report of an earlier start of an instance stays, as does that of an
/// instance that is gone: bad answers that were seen don't become unseen.
///
/// Lost answers count once for each engine and second, whoever lost them: an engine
/// that crashes loses all that it runs at once, whatever its version.
#[derive(Debug, Default)]
pub struct FleetReports {
    reports: HashMap<(String, u64), Received>,
    losses: HashSet<LossReport>,
}

#[derive(Debug)]
struct Received {
    report: CanaryReport,
    received_ms: u64,
}

impl FleetReports {
    /// Stores a report in place of the last one of the same start of its author.
    pub fn receive(&mut self, report: CanaryReport, now_ms: u64) {
        let key = (report.instance.clone(), report.incarnation);
        self.losses.extend(report.losses.iter().copied());
        let received = Received {
            report,
            received_ms: now_ms,
        };
        self.reports.insert(key, received);
    }

    /// Returns the sum of all results by route, and the lost answers among all as those
    /// of the key [`LOST_ANSWERS`].
    pub fn sums(&self) -> BTreeMap<u32, VersionSamples> {
        let mut sums: BTreeMap<u32, VersionSamples> = BTreeMap::new();
        let mut lost = VersionSamples::default();
        for received in self.reports.values() {
            for route in &received.report.routes {
                sums.entry(route.route).or_default().add(&route.samples);
                lost.current.add_untimed(route.samples.current.total());
                lost.candidate.add_untimed(route.samples.candidate.total());
            }
        }
        for loss in &self.losses {
            match loss.is_candidate {
                true => lost.candidate.record(Sample::Failed),
                false => lost.current.record(Sample::Failed),
            }
        }
        if !self.losses.is_empty() {
            sums.insert(LOST_ANSWERS, lost);
        }
        sums
    }

    /// Returns whether each of the given instances, as name and start, has reported
    /// after `since_ms` that it sends everything to the new version and has nothing
    /// left at engines of others.
    pub fn have_shifted<'a>(
        &self,
        mut instances: impl Iterator<Item = (&'a str, u64)>,
        since_ms: u64,
    ) -> bool {
        instances.all(|(name, incarnation)| {
            let key = (name.to_owned(), incarnation);
            self.reports.get(&key).is_some_and(|received| {
                let report = &received.report;
                received.received_ms >= since_ms
                    && report.share_permille == 1_000
                    && report.unfinished == 0
            })
        })
    }
}
