//! Streams that have begun, beside orders to replace a service's software.

use {
    super::entry,
    mangowalk_core::{
        canary::{Lane, SoftwareRole},
        pool::{KnownEngine, choose_for_begun},
    },
};

fn engine(role: SoftwareRole) -> KnownEngine {
    let mut engine = KnownEngine::new(entry("e1", "v2"));
    engine.software_role = role;
    engine
}

fn lane(role: SoftwareRole) -> Option<Lane> {
    let engine = engine(role);
    let choose_among = |usable: &dyn Fn(&KnownEngine) -> bool| usable(&engine).then_some(&engine);
    choose_for_begun(choose_among).map(|(_, lane)| lane)
}

/// Guards against streams that are lost in a trial of the version that began them, and
/// against a withdrawn version that still gets requests.
#[test]
fn a_begun_stream_goes_on_at_each_version_but_a_withdrawn_one() {
    assert_eq!(lane(SoftwareRole::InUse), Some(Lane::InUse));
    assert_eq!(lane(SoftwareRole::Outgoing), Some(Lane::InUse));
    let counted = lane(SoftwareRole::Candidate);
    assert!(matches!(counted, Some(Lane::Trial { .. })), "{counted:?}");
    assert_eq!(lane(SoftwareRole::Withdrawn), None);
    assert_eq!(lane(SoftwareRole::Held), None);
}
