use {
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        canary::Sample,
        pool::{EngineEntry, short_hash},
        routing::Route,
    },
};

/// Records the result of a request at an engine for a roll-out of its service's
/// software, if there is one.
pub(crate) fn record_result(
    instance: &Instance,
    engine: &EngineEntry,
    route: &Route,
    sample: Sample,
) {
    let mut software = instance.software.borrow_mut();
    if !software.has_open_order(&engine.service) {
        return;
    }
    // An engine that is still slow from its start says nothing of its version.
    let sample = match sample {
        Sample::Answered { .. } if engine.cold_left_ms > 0 => Sample::Answered { took_ms: None },
        sample => sample,
    };
    let route = short_hash(&route.name);
    software.record(&engine.service, &engine.software, route, sample);
}

/// Records that an answer of an engine was lost or broke off.
pub(crate) fn record_loss(instance: &Instance, engine: &EngineEntry) {
    let mut software = instance.software.borrow_mut();
    software.record_loss(
        &engine.service,
        &engine.software,
        &engine.incarnation.id,
        now_ms(),
    );
}
