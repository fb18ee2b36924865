use mangowalk_platform::MachineSettings;

/// What became of a settings file that changed while the instance ran.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReloadOutcome {
    /// What is in force from now on.
    pub applied: Vec<&'static str>,
    /// What differs and waits for the next start.
    pub needs_restart: Vec<&'static str>,
}

/// Returns the settings in force after a change, and what became of each field
/// that changed.
///
/// Bounds on what requests may do can change at any time. Addresses can't, as
/// peers and callers know this instance by them; nor can the times of the lease,
/// which two holders must not count differently.
pub fn apply_reloadable(
    old: &MachineSettings,
    new: &MachineSettings,
) -> (MachineSettings, ReloadOutcome) {
    let settings = MachineSettings {
        retries: new.retries,
        grace_ms: new.grace_ms,
        directory_keep_s: new.directory_keep_s,
        settled_ms: new.settled_ms,
        seeds: new.seeds.clone(),
        ..old.clone()
    };
    let applied = [
        ("retries", old.retries != new.retries),
        ("grace_ms", old.grace_ms != new.grace_ms),
        (
            "directory_keep_s",
            old.directory_keep_s != new.directory_keep_s,
        ),
        ("settled_ms", old.settled_ms != new.settled_ms),
        ("seeds", old.seeds != new.seeds),
    ];
    let needs_restart = [
        ("name", old.name != new.name),
        ("domain", old.domain != new.domain),
        ("caller_address", old.caller_address != new.caller_address),
        ("ready_address", old.ready_address != new.ready_address),
        (
            "directory_address",
            old.directory_address != new.directory_address,
        ),
        ("peer_address", old.peer_address != new.peer_address),
        (
            "metrics_address",
            old.metrics_address != new.metrics_address,
        ),
        ("store_address", old.store_address != new.store_address),
        ("descriptors", old.descriptors != new.descriptors),
        (
            "quota_slack_tokens",
            old.quota_slack_tokens != new.quota_slack_tokens,
        ),
        ("lease_ms", old.lease_ms != new.lease_ms),
        ("weights_ms", old.weights_ms != new.weights_ms),
    ];
    let outcome = ReloadOutcome {
        applied: changed(&applied),
        needs_restart: changed(&needs_restart),
    };
    (settings, outcome)
}

fn changed(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let changed = fields.iter().filter(|(_, differs)| *differs);
    changed.map(|(name, _)| *name).collect()
}
