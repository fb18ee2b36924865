use super::SLOTS;

/// Slots among which one team's rate is cut.
///
/// Cut among all slots, a large fleet holds a team's burst in crumbs: a
/// request of 4,000 tokens finds 570 in each of 350 buckets and is refused
/// while the fleet holds 200,000. Sixteen buckets hold whole requests each, and
/// whoever is short knows whom to ask.
pub const SLOTS_PER_TEAM: usize = 16;

/// Distance between two homes. It is odd, so that a team has homes among the
/// short leases and the long ones alike, and large, so that they lie with
/// different holders.
const STRIDE: u32 = SLOTS / SLOTS_PER_TEAM as u32 + 1;

/// Returns the slots that mint a team's tokens. Every instance computes the
/// same ones.
pub fn team_slots(team: &str) -> [u32; SLOTS_PER_TEAM] {
    let digest = blake3::hash(team.as_bytes());
    let [low, high, ..] = *digest.as_bytes();
    let first = u32::from(u16::from_le_bytes([low, high]));
    std::array::from_fn(|i| (first + i as u32 * STRIDE) % SLOTS)
}
