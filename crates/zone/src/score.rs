//! Rendezvous hashing: scores that every node computes identically, so that nodes
//! agree on a ranking without exchanging messages.

use knapweed_world::Name;

/// Hash of a list of byte strings, each prefixed by its length.
///
/// It must be the same on every host and in every release, or nodes of different
/// releases rank members differently.
pub fn score(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Symmetric score of a pair of hosts.
pub fn pair_score(a: &Name, b: &Name) -> u64 {
    let (first, second) = if a < b { (a, b) } else { (b, a) };
    score(&[first.as_bytes(), second.as_bytes()])
}
