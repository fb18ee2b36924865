use super::SLOTS;

/// Number of slots among which one team's rate is divided.
///
/// Divided among all slots, a team's burst is too fragmented in a large fleet:
/// a request of 4,000 tokens finds 570 in each of 350 buckets and is refused
/// although the fleet holds 200,000. Each of 16 buckets holds whole requests,
/// and an instance that lacks tokens knows which peers to ask.
pub const SLOTS_PER_TEAM: usize = 16;

/// Distance between two slots of a team. It is odd, so that a team has slots
/// with short and with long leases, and large, so that they belong to different
/// holders.
const STRIDE: u32 = SLOTS / SLOTS_PER_TEAM as u32 + 1;

/// Returns the slots that refill a team's buckets. Every instance computes the
/// same ones, from a BLAKE3 hash of the team's name.
pub fn team_slots(team: &str) -> [u32; SLOTS_PER_TEAM] {
    let digest = blake3::hash(team.as_bytes());
    let [low, high, ..] = *digest.as_bytes();
    let first = u32::from(u16::from_le_bytes([low, high]));
    std::array::from_fn(|i| (first + i as u32 * STRIDE) % SLOTS)
}
