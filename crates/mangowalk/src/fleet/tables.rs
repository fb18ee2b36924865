use {
    super::Survey,
    crate::output::Table,
    mangowalk_core::status::{InstanceStatus, UpstreamStatus},
    std::collections::BTreeMap,
};

/// Returns the instances, the upstreams and the refused records as text.
/// `newest_record` is the version of the record that was written last.
pub(super) fn text(survey: &Survey<InstanceStatus>, newest_record: u64) -> String {
    let mut parts = vec![
        instances_table(survey, newest_record),
        upstreams_table(&survey.answered),
    ];
    let refused = refused_records(&survey.answered);
    if !refused.is_empty() {
        parts.push(refused);
    }
    parts.join("\n\n")
}

fn instances_table(survey: &Survey<InstanceStatus>, newest_record: u64) -> String {
    let mut table = Table::new(&[
        "INSTANCE", "DOMAIN", "PHASE", "REVISION", "RECORDS", "OPEN", "QUEUED", "SHARES",
    ]);
    for status in &survey.answered {
        let records = if status.revision >= newest_record {
            "in force".to_owned()
        } else {
            format!("behind {newest_record}")
        };
        table.row(vec![
            status.caller_address.to_string(),
            status.failure_domain.clone(),
            status.phase.to_string(),
            status.revision.to_string(),
            records,
            status.open_requests.to_string(),
            status.queued.to_string(),
            status.slots.to_string(),
        ]);
    }
    for silent in &survey.silent {
        table.row(vec![silent.name.clone(), "-".into(), "no answer".into()]);
    }
    table.text()
}

/// State of one upstream, combined from the status of all instances.
#[derive(Default)]
struct UpstreamSummary<'a> {
    serves: &'a str,
    /// Number of instances by the state that they report.
    states: BTreeMap<&'a str, usize>,
    /// Number of instances by the version that they report.
    versions: BTreeMap<&'a str, usize>,
    /// Requests in flight from all instances.
    in_flight: u32,
    /// Number of instances that report the upstream as departing.
    departing: usize,
}

impl<'a> UpstreamSummary<'a> {
    fn add(&mut self, upstream: &'a UpstreamStatus) {
        self.serves = &upstream.serves;
        *self.states.entry(&upstream.state).or_default() += 1;
        if let Some(version) = &upstream.version {
            *self.versions.entry(version).or_default() += 1;
        }
        self.in_flight += upstream.in_flight;
        self.departing += usize::from(upstream.departing);
    }
}

fn upstreams_table(answered: &[InstanceStatus]) -> String {
    let mut all: BTreeMap<&str, UpstreamSummary<'_>> = BTreeMap::new();
    for upstream in answered.iter().flat_map(|s| &s.upstreams) {
        all.entry(&upstream.name).or_default().add(upstream);
    }
    let mut table = Table::new(&[
        "UPSTREAM",
        "SERVES",
        "STATE",
        "VERSION",
        "IN FLIGHT",
        "DEPARTING",
    ]);
    for (name, summary) in &all {
        table.row(vec![
            (*name).to_owned(),
            summary.serves.to_owned(),
            value_counts(&summary.states),
            value_counts(&summary.versions),
            summary.in_flight.to_string(),
            departing_cell(summary.departing, answered.len()),
        ]);
    }
    table.text()
}

/// Returns the value if all instances report the same one, else each value with
/// the number of instances that report it.
fn value_counts(values: &BTreeMap<&str, usize>) -> String {
    match values.len() {
        0 => "-".to_owned(),
        1 => values.keys().copied().collect(),
        _ => values
            .iter()
            .map(|(value, count)| format!("{value} ({count})"))
            .collect::<Vec<String>>()
            .join(", "),
    }
}

/// Formats how many of the instances report an upstream as departing.
fn departing_cell(count: usize, answered: usize) -> String {
    match count {
        0 => "no".to_owned(),
        n if n == answered => "yes".to_owned(),
        n => format!("yes ({n} of {answered})"),
    }
}

/// Returns a line for each refused record, with the number of instances that
/// refuse it.
fn refused_records(answered: &[InstanceStatus]) -> String {
    let mut lines: BTreeMap<String, usize> = BTreeMap::new();
    for record in answered.iter().flat_map(|s| &s.refused) {
        let earlier = if record.earlier_in_force {
            "the write before it stays in force"
        } else {
            "nothing is in force"
        };
        let line = format!(
            "{}/{} at version {} is refused, {earlier}. {}",
            record.kind, record.name, record.version, record.why
        );
        *lines.entry(line).or_default() += 1;
    }
    lines
        .iter()
        .map(|(line, count)| format!("{line} ({count} of {} instances)", answered.len()))
        .collect::<Vec<String>>()
        .join("\n")
}
