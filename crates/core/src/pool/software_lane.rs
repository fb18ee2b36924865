use {
    super::KnownEngine,
    crate::canary::{Lane, SoftwareRole, tried_engines},
};

/// Chooses an engine in a lane, and in the next best one if it has none: a request that
/// isn't tried at a new version goes to the version in use, and one whose version has
/// been replaced to what is left of it. A version that was withdrawn, or isn't known to
/// be free of orders, gets nothing.
///
/// `choose_among` chooses among the engines for which its argument holds. A request is
/// tried at the new version only where that engine `admits` it: it isn't refused because
/// of the trial.
pub fn choose_in_lane<'a>(
    lane: Lane,
    new_engines: &[&str],
    choose_among: impl Fn(&dyn Fn(&KnownEngine) -> bool) -> Option<&'a KnownEngine>,
    admits: impl Fn(&KnownEngine) -> bool,
) -> Option<(&'a KnownEngine, Lane)> {
    let with_role = |role: SoftwareRole| {
        choose_among(&move |engine: &KnownEngine| engine.software_role == role)
    };
    let in_use = || {
        let chosen = with_role(SoftwareRole::InUse).or_else(|| with_role(SoftwareRole::Outgoing));
        chosen.map(|engine| (engine, Lane::InUse))
    };
    match lane {
        Lane::InUse => in_use(),
        Lane::Trial { ratio } => {
            let tried = tried_engines(new_engines.iter().copied(), ratio);
            let chosen = choose_among(&|engine: &KnownEngine| {
                tried.contains(&engine.entry.incarnation.id.as_str())
            });
            let admitted = chosen.filter(|engine| admits(engine));
            admitted.map(|engine| (engine, lane)).or_else(in_use)
        }
        Lane::Shifted => {
            let chosen = with_role(SoftwareRole::Candidate);
            chosen.map(|engine| (engine, lane)).or_else(in_use)
        }
    }
}

/// Chooses an engine for a stream that has begun, among those of its software version.
///
/// It goes on at a version whose order isn't decided, too, and counts against what that
/// version may get. A version that was withdrawn gets nothing, begun streams included.
pub fn choose_for_begun<'a>(
    choose_among: impl Fn(&dyn Fn(&KnownEngine) -> bool) -> Option<&'a KnownEngine>,
) -> Option<(&'a KnownEngine, Lane)> {
    let chosen = choose_among(&|engine: &KnownEngine| {
        let role = engine.software_role;
        !matches!(role, SoftwareRole::Held | SoftwareRole::Withdrawn)
    })?;
    let lane = match chosen.software_role {
        SoftwareRole::Candidate => Lane::Trial { ratio: 0.0 },
        _ => Lane::InUse,
    };
    Some((chosen, lane))
}
