use {
    crate::{fleet::Survey, output::Table},
    mangowalk_core::burn::{BurnReport, BurnRow, InstanceBurn, TeamSummary, Window, WindowBurn},
};

/// Returns the report as text, with the number of instances that it covers.
pub(super) fn text(report: &BurnReport, survey: &Survey<InstanceBurn>) -> String {
    let all = survey.answered.len() + survey.silent.len();
    let head = format!(
        "Summed over {} of {all} instances. Burn 1.0 uses the error budget up exactly.",
        survey.answered.len()
    );
    if report.rows.is_empty() {
        return format!("{head}\n\nNo requests in the last six hours.");
    }
    let parts = [head, burn_table(&report.rows), teams_table(&report.teams)];
    parts.join("\n\n")
}

/// Returns the table of burn rates per team and objective.
fn burn_table(rows: &[BurnRow]) -> String {
    let mut table = Table::new(&[
        "TEAM",
        "OBJECTIVE",
        "LEVEL",
        "BURN 5m",
        "BURN 1h",
        "BURN 6h",
    ]);
    for row in rows {
        let head = [
            row.team.clone(),
            row.objective.to_string(),
            row.level.to_string(),
        ];
        let cells = head.into_iter().chain(row.windows.iter().map(burn_cell));
        table.row(cells.collect());
    }
    table.text()
}

/// Formats a burn rate with the number of requests that missed the objective
/// out of all requests; `-` if there were none.
fn burn_cell(burn: &WindowBurn) -> String {
    let all = burn.good + burn.bad;
    if all == 0 {
        return "-".to_owned();
    }
    format!("{:.1} ({} of {all})", burn.burn, burn.bad)
}

/// Returns the table of first-token times and rates per team.
fn teams_table(teams: &[TeamSummary]) -> String {
    let mut table = Table::new(&[
        "TEAM",
        "HALF OF FIRST TOKENS",
        "99 OF 100",
        "OVER RATE 5m/1h/6h",
        "ASKED OF RATE 5m/1h/6h",
    ]);
    for team in teams {
        table.row(vec![
            team.team.clone(),
            format_bound(team.first_token_half_ms),
            format_bound(team.first_token_99_percent_ms),
            join_windows(&team.over_rate, ""),
            join_windows(&team.asked_percent, "%"),
        ]);
    }
    table.text()
}

/// Formats an upper bound of a time; `-` if there is none.
fn format_bound(bound_ms: Option<u64>) -> String {
    bound_ms.map_or("-".to_owned(), |ms| format!("within {ms} ms"))
}

/// Formats one value for each of [`Window::ALL`], separated by slashes.
fn join_windows(values: &[u64], unit: &str) -> String {
    debug_assert_eq!(values.len(), Window::ALL.len());
    let cells: Vec<String> = values.iter().map(|v| format!("{v}{unit}")).collect();
    cells.join("/")
}
