//! Settings files that change while an instance runs.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, Machine, RouteKind, wait_until,
    },
    nix::sys::signal::Signal,
};

/// Number of events after which the engines cut off each run.
const EVENTS_BEFORE_CUT: usize = 3;

/// Starts an instance whose engines cut off each stream, so that a stream is resumed
/// once where retries are allowed.
fn start() -> Deployment {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            cut_after_events: Some(EVENTS_BEFORE_CUT),
            ..EngineFaults::default()
        });
    }
    deployment
}

fn disable_retries(machine: &Machine) {
    machine.change_settings(|text| {
        let text = text.replace("RetryBudget=0.2", "RetryBudget=0");
        text.replace("RetrySlack=50", "RetrySlack=0")
    });
}

fn event_count(deployment: &Deployment) -> usize {
    let caller = deployment.caller(0);
    let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
    reply.event_ids().len()
}

/// The operators set the retry budget to zero while engines fail, and send SIGHUP.
/// From then on no stream may resume at a second engine, without a restart of the
/// instance and without a lost request.
#[test]
fn a_changed_setting_takes_effect_after_sighup() {
    let deployment = start();
    let machine = &deployment.machines[0];
    assert_eq!(event_count(&deployment), 2 * EVENTS_BEFORE_CUT);
    disable_retries(machine);
    machine.signal(Signal::SIGHUP);
    wait_until("the new settings are in effect", || {
        machine.log().contains("event=reloaded taken=retries ")
    });
    assert_eq!(event_count(&deployment), EVENTS_BEFORE_CUT);
}

/// The file changes without a signal. It must take effect within seconds.
#[test]
fn a_changed_setting_takes_effect_without_a_signal() {
    let deployment = start();
    disable_retries(&deployment.machines[0]);
    wait_until("the new settings are in effect", || {
        event_count(&deployment) == EVENTS_BEFORE_CUT
    });
}

/// A file without a required field is written. The instance must log which field is
/// missing and keep its settings. A changed failure domain must wait for the next
/// start.
#[test]
fn an_unusable_settings_file_is_ignored() {
    let deployment = start();
    let machine = &deployment.machines[0];
    let mut complete_file = String::new();
    machine.change_settings(|text| {
        complete_file.clone_from(&text);
        text.replace("Zone=", "Zona=")
    });
    machine.signal(Signal::SIGHUP);
    wait_until("the file is refused", || {
        machine.log().contains("event=reload_refused")
    });
    assert!(machine.log().contains("lacks Zone"), "{}", machine.log());
    assert_eq!(event_count(&deployment), 2 * EVENTS_BEFORE_CUT);
    machine.change_settings(|_| complete_file.replace("Zone=a", "Zone=b"));
    machine.signal(Signal::SIGHUP);
    wait_until("the change waits for the next start", || {
        let log = machine.log();
        log.contains("event=reloaded taken= waiting_for_start=domain")
    });
    assert!(machine.is_ready());
}
