use mangowalk_platform::MachineSettings;

/// What became of a settings file that changed while the instance ran.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reload {
    /// What is in force from now on.
    pub taken: Vec<&'static str>,
    /// What differs and waits for the next start.
    pub waiting: Vec<&'static str>,
}

/// Returns the settings in force after a change, and what became of each field
/// that changed.
///
/// Bounds on what requests may do can change at any time. Addresses can't, as
/// peers and callers know this instance by them; nor can the times of the lease,
/// which two holders must not count differently.
pub fn reloaded(old: &MachineSettings, fresh: &MachineSettings) -> (MachineSettings, Reload) {
    let settings = MachineSettings {
        retries: fresh.retries,
        grace_ms: fresh.grace_ms,
        directory_keep_s: fresh.directory_keep_s,
        settled_ms: fresh.settled_ms,
        seeds: fresh.seeds.clone(),
        ..old.clone()
    };
    let taken = [
        ("retries", old.retries != fresh.retries),
        ("grace_ms", old.grace_ms != fresh.grace_ms),
        (
            "directory_keep_s",
            old.directory_keep_s != fresh.directory_keep_s,
        ),
        ("settled_ms", old.settled_ms != fresh.settled_ms),
        ("seeds", old.seeds != fresh.seeds),
    ];
    let waiting = [
        ("name", old.name != fresh.name),
        ("domain", old.domain != fresh.domain),
        ("caller_address", old.caller_address != fresh.caller_address),
        ("ready_address", old.ready_address != fresh.ready_address),
        (
            "directory_address",
            old.directory_address != fresh.directory_address,
        ),
        ("peer_address", old.peer_address != fresh.peer_address),
        (
            "metrics_address",
            old.metrics_address != fresh.metrics_address,
        ),
        ("store_address", old.store_address != fresh.store_address),
        ("descriptors", old.descriptors != fresh.descriptors),
        (
            "quota_slack_tokens",
            old.quota_slack_tokens != fresh.quota_slack_tokens,
        ),
        ("lease_ms", old.lease_ms != fresh.lease_ms),
        ("weights_ms", old.weights_ms != fresh.weights_ms),
    ];
    let reload = Reload {
        taken: changed(&taken),
        waiting: changed(&waiting),
    };
    (settings, reload)
}

fn changed(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let changed = fields.iter().filter(|(_, differs)| *differs);
    changed.map(|(name, _)| *name).collect()
}
