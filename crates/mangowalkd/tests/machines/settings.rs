//! Settings files that change while an instance runs.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, Machine, RouteKind, wait},
    nix::sys::signal::Signal,
};

/// Events behind which the engines cut each run.
const CUT_BEHIND: usize = 3;

/// Starts an instance whose engines cut each stream, so that a stream goes on
/// once where repeats are allowed.
fn start() -> Deployment {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            cut_after_events: Some(CUT_BEHIND),
            ..EngineFaults::default()
        });
    }
    deployment
}

fn forbid_repeats(machine: &Machine) {
    machine.change_settings(|text| {
        let text = text.replace("RetryBudget=0.2", "RetryBudget=0");
        text.replace("RetrySlack=50", "RetrySlack=0")
    });
}

fn events(deployment: &Deployment) -> usize {
    let caller = deployment.caller(0);
    let reply = caller.stream(RouteKind::Resumable.path(), &Caller::fresh_id());
    reply.event_ids().len()
}

/// The operators lower the budget of repeats while engines fail. The signal
/// says so, and from then on no stream goes on at a second engine, without a
/// restart and without a request lost.
#[test]
fn a_changed_bound_is_in_force_after_the_signal() {
    let deployment = start();
    let machine = &deployment.machines[0];
    assert_eq!(events(&deployment), 2 * CUT_BEHIND);
    forbid_repeats(machine);
    machine.signal(Signal::SIGHUP);
    wait("the new settings are in force", || {
        machine.log().contains("event=reloaded taken=retries ")
    });
    assert_eq!(events(&deployment), CUT_BEHIND);
}

/// The file changes and nobody says so. It is in force some seconds later.
#[test]
fn a_changed_bound_is_found_without_a_signal() {
    let deployment = start();
    forbid_repeats(&deployment.machines[0]);
    wait("the new settings are in force", || {
        events(&deployment) == CUT_BEHIND
    });
}

/// A file is written that lacks a field. The instance says which, and goes on
/// with what it has; an address that changes waits for the next start.
#[test]
fn a_file_that_cannot_be_used_changes_nothing() {
    let deployment = start();
    let machine = &deployment.machines[0];
    let mut whole = String::new();
    machine.change_settings(|text| {
        whole.clone_from(&text);
        text.replace("Zone=", "Zona=")
    });
    machine.signal(Signal::SIGHUP);
    wait("the file is refused", || {
        machine.log().contains("event=reload_refused")
    });
    assert!(machine.log().contains("lacks Zone"), "{}", machine.log());
    assert_eq!(events(&deployment), 2 * CUT_BEHIND);
    machine.change_settings(|_| whole.replace("Zone=a", "Zone=b"));
    machine.signal(Signal::SIGHUP);
    wait("the change waits for the next start", || {
        let log = machine.log();
        log.contains("event=reloaded taken= waiting_for_start=domain")
    });
    assert!(machine.is_ready());
}
