/// Checkpoints per doubling of depth. With 4, a shared prefix is recognised up
/// to at least four fifths of its length, and a prompt of 500 blocks has 31
/// checkpoints.
const CHECKPOINTS_PER_OCTAVE: usize = 4;

/// A depth of a prompt at which its prefix is compared with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixCheckpoint {
    /// Number of blocks from the start of the prompt.
    pub depth_blocks: usize,
    /// Chained digest of the last of these blocks.
    pub digest: u64,
}

/// Returns the checkpoints of a chain in ascending depth.
///
/// The router does not know where one level of a shared prompt ends and the
/// next begins. Depths that grow by a constant factor come close to every level
/// and keep the work of a decision logarithmic in the length of the prompt.
pub fn prefix_checkpoints(chain: &[u64]) -> Vec<PrefixCheckpoint> {
    let mut found = Vec::new();
    let mut depth_blocks = 1;
    while depth_blocks <= chain.len() {
        found.push(PrefixCheckpoint {
            depth_blocks,
            digest: chain[depth_blocks - 1],
        });
        depth_blocks = next_depth(depth_blocks);
    }
    found
}

fn next_depth(depth_blocks: usize) -> usize {
    let octave = 1 << depth_blocks.ilog2();
    depth_blocks + (octave / CHECKPOINTS_PER_OCTAVE).max(1)
}
