use mangowalk_platform::MachineSettings;

/// What a reload of the settings file did with each changed field.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReloadOutcome {
    /// Names of the changed fields that are in force from now on.
    pub applied: Vec<&'static str>,
    /// Names of the changed fields that take effect at the next start.
    pub needs_restart: Vec<&'static str>,
}

/// Returns the settings in force after the settings file has changed, and what
/// became of each changed field.
///
/// The limits on requests and the other fields listed in `applied` can change at
/// any time. Addresses can't, as peers and callers know this instance by them.
/// Neither can the lease times, as two holders of a lease must not measure its
/// time differently.
pub fn apply_reloadable(
    old: &MachineSettings,
    new: &MachineSettings,
) -> (MachineSettings, ReloadOutcome) {
    let settings = MachineSettings {
        memory_bytes: new.memory_bytes,
        retries: new.retries,
        grace_ms: new.grace_ms,
        directory_keep_s: new.directory_keep_s,
        settled_ms: new.settled_ms,
        seeds: new.seeds.clone(),
        ..old.clone()
    };
    let applied = [
        ("memory_bytes", old.memory_bytes != new.memory_bytes),
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
            "limits_engine_memory",
            old.limits_engine_memory != new.limits_engine_memory,
        ),
        ("exposure", old.exposure != new.exposure),
        (
            "quota_slack_tokens",
            old.quota_slack_tokens != new.quota_slack_tokens,
        ),
        ("lease_ms", old.lease_ms != new.lease_ms),
        (
            "configuration_ms",
            old.configuration_ms != new.configuration_ms,
        ),
        ("drain_ms", old.drain_ms != new.drain_ms),
        ("weights_ms", old.weights_ms != new.weights_ms),
    ];
    let outcome = ReloadOutcome {
        applied: changed_names(&applied),
        needs_restart: changed_names(&needs_restart),
    };
    (settings, outcome)
}

fn changed_names(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let changed_fields = fields.iter().filter(|(_, differs)| *differs);
    changed_fields.map(|(name, _)| *name).collect()
}
