//! Software versions to roll out, good and bad ones.

use super::fleet::{Defect, FleetModel, RouteModel, Troubles};

/// A service of model engines: many engines, streams whose pace is measured.
fn model_engines() -> FleetModel {
    let reply = RouteModel {
        weight: 0.7,
        may_run_again: true,
        failing: 0.003,
        median_ms: 35.0,
        spread: 0.7,
    };
    let advice = RouteModel {
        weight: 0.3,
        may_run_again: false,
        median_ms: 60.0,
        ..reply
    };
    FleetModel {
        engines: 60,
        requests_per_s: 340.0,
        routes: vec![reply, advice],
        ..FleetModel::default()
    }
}

/// A service both routes of which fail as seldom as the first.
fn with_few_failures() -> FleetModel {
    let mut model = FleetModel::default();
    let failing = model.routes[0].failing;
    for route in &mut model.routes {
        route.failing = failing;
    }
    model
}

fn with_troubles(troubles: Troubles) -> FleetModel {
    FleetModel {
        troubles,
        ..FleetModel::default()
    }
}

fn with_defect(defect: Defect) -> FleetModel {
    FleetModel {
        defect: Some(defect),
        ..FleetModel::default()
    }
}

/// Versions that are as good as the old one, beside faults of other kinds.
pub(crate) fn good() -> Vec<(&'static str, FleetModel)> {
    vec![
        ("good", FleetModel::default()),
        ("good, few failures", with_few_failures()),
        ("good, model engines", model_engines()),
        (
            "good, 3 instances",
            FleetModel {
                instances: 3,
                ..FleetModel::default()
            },
        ),
        (
            "good, 354 instances",
            FleetModel {
                instances: 354,
                requests_per_s: 600.0,
                engines: 24,
                ..FleetModel::default()
            },
        ),
        (
            "good, 30 s",
            FleetModel {
                duration_ms: 30_000,
                ..FleetModel::default()
            },
        ),
        (
            "good, an engine crashes",
            with_troubles(Troubles {
                crash_ms: Some(4_000),
                ..Troubles::default()
            }),
        ),
        (
            "good, cold engines",
            with_troubles(Troubles {
                cold_factor: 1.4,
                ..Troubles::default()
            }),
        ),
        (
            "good, a fifth of messages lost",
            with_troubles(Troubles {
                lost_messages: 0.2,
                ..Troubles::default()
            }),
        ),
        (
            "good, a third of instances restart",
            with_troubles(Troubles {
                restarts: 0.33,
                ..Troubles::default()
            }),
        ),
        (
            "good, a fifth of instances cut off",
            with_troubles(Troubles {
                cut_off: 0.2,
                ..Troubles::default()
            }),
        ),
    ]
}

/// Versions that are worse than the old one.
pub(crate) fn bad() -> Vec<(&'static str, FleetModel)> {
    let failing = |failing| Defect {
        failing,
        ..Defect::default()
    };
    let slow = |slowdown| Defect {
        slowdown,
        ..Defect::default()
    };
    vec![
        ("fails 5%", with_defect(failing(0.05))),
        ("fails 20%", with_defect(failing(0.2))),
        ("fails 50%", with_defect(failing(0.5))),
        ("2 times slower", with_defect(slow(2.0))),
        ("3 times slower", with_defect(slow(3.0))),
        ("5 times slower", with_defect(slow(5.0))),
        (
            "fails 20% after 4 s",
            with_defect(Defect {
                from_ms: 4_000,
                ..failing(0.2)
            }),
        ),
        (
            "fails 50% after 8 s",
            with_defect(Defect {
                from_ms: 8_000,
                ..failing(0.5)
            }),
        ),
        (
            "3 times slower after 6 s",
            with_defect(Defect {
                from_ms: 6_000,
                ..slow(3.0)
            }),
        ),
        (
            "fails 30% under load",
            with_defect(Defect {
                from_load: 0.7,
                ..failing(0.3)
            }),
        ),
        (
            "3 times slower under load",
            with_defect(Defect {
                from_load: 0.7,
                ..slow(3.0)
            }),
        ),
        (
            "fails 20% on the route that runs once",
            with_defect(Defect {
                route: Some(0),
                ..failing(0.2)
            }),
        ),
        (
            "fails 20% on the other route",
            with_defect(Defect {
                route: Some(1),
                ..failing(0.2)
            }),
        ),
        (
            "3 times slower on one route",
            with_defect(Defect {
                route: Some(1),
                ..slow(3.0)
            }),
        ),
        (
            "fails 20%, model engines",
            FleetModel {
                defect: Some(failing(0.2)),
                ..model_engines()
            },
        ),
        (
            "3 times slower, model engines",
            FleetModel {
                defect: Some(slow(3.0)),
                ..model_engines()
            },
        ),
        (
            "fails 30% under load, model engines",
            FleetModel {
                defect: Some(Defect {
                    from_load: 0.7,
                    ..failing(0.3)
                }),
                ..model_engines()
            },
        ),
        (
            "fails 20%, a third of instances restart",
            FleetModel {
                defect: Some(failing(0.2)),
                ..with_troubles(Troubles {
                    restarts: 0.33,
                    ..Troubles::default()
                })
            },
        ),
        (
            "fails 20%, a fifth of instances cut off",
            FleetModel {
                defect: Some(failing(0.2)),
                ..with_troubles(Troubles {
                    cut_off: 0.2,
                    lost_messages: 0.1,
                    ..Troubles::default()
                })
            },
        ),
    ]
}
