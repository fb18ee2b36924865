use {super::PathReport, std::collections::HashMap};

/// The services from which peers are cut off, as they report it.
#[derive(Debug, Clone, Default)]
pub struct PeerPaths {
    reports: HashMap<String, ReceivedReport>,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    report: PathReport,
    valid_until_ms: u64,
}

impl PeerPaths {
    /// Applies a report, unless a newer one of the same peer is known.
    pub fn apply(&mut self, report: PathReport, now_ms: u64) {
        let known = self.reports.get(&report.name);
        let sent = |report: &PathReport| (report.incarnation, report.up_ms);
        if known.is_some_and(|known| sent(&known.report) > sent(&report)) {
            return;
        }
        let valid_until_ms = now_ms + u64::from(report.valid_ms);
        let name = report.name.clone();
        let received = ReceivedReport {
            report,
            valid_until_ms,
        };
        self.reports.insert(name, received);
    }

    /// Removes the reports of peers for which `is_known` is false.
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.reports.retain(|name, _| is_known(name));
    }

    /// Returns whether a peer reaches none or less than half of the engines of a service,
    /// by its last report.
    pub fn is_cut(&self, peer: &str, service: &str, now_ms: u64) -> bool {
        let received = self.reports.get(peer);
        let valid = received.filter(|received| now_ms < received.valid_until_ms);
        valid.is_some_and(|valid| valid.report.cut_services.iter().any(|cut| cut == service))
    }
}
