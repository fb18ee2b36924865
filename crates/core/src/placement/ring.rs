/// Points of one engine on the ring. With 64, the share of each of 18 engines
/// is within about an eighth of the mean.
const POINTS_PER_ENGINE: u64 = 64;

/// Maximum number of points tried when searching for an eligible engine.
const MAX_STEPS: usize = 32;

/// Consistent hashing over engines.
///
/// Every instance builds the same ring from the same records, so that all
/// instances agree on the home of a prefix without communication. A change of
/// one engine moves only the prefixes of that engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Ring {
    points: Vec<(u64, usize)>,
}

impl Ring {
    /// Returns the ring of a set of engines, given as names and slots.
    pub(super) fn of<'a>(engines: impl Iterator<Item = (&'a str, usize)>) -> Ring {
        let mut points: Vec<(u64, usize)> = engines
            .flat_map(|(name, slot)| {
                let base = hash_name(name);
                (0..POINTS_PER_ENGINE).map(move |i| (mix(base, i), slot))
            })
            .collect();
        points.sort_unstable();
        Ring { points }
    }

    /// Returns the first eligible engine at or after a key.
    pub(super) fn find(&self, key: u64, eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let from = self.points.partition_point(|(point, _)| *point < key);
        let len = self.points.len();
        (0..len.min(MAX_STEPS))
            .map(|step| self.points[(from + step) % len].1)
            .find(|slot| eligible(*slot))
    }
}

fn hash_name(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Mixes a number into a digest (finaliser of SplitMix64).
pub(super) fn mix(digest: u64, number: u64) -> u64 {
    let mut mixed = digest ^ number.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
