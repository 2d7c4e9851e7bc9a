//! The members that may acquire a duty.

use super::Duty;
use crate::directory::{Directory, MemberKey};
use crate::record::MemberState;
use crate::score::score;
use std::cmp::Reverse;

/// Number of members that read the lease of a duty.
pub const CANDIDATES: usize = 3;

/// The alive members with the best scores for a duty, best first.
pub fn candidates(directory: &Directory, duty: &Duty) -> Vec<MemberKey> {
    let duty_name = duty.to_string();
    let members = directory.iter();
    let members = members.filter(|(_, r)| r.state == MemberState::Alive && duty.admits(r));
    let mut ranked: Vec<_> = members
        .map(|(key, r)| (score(&[duty_name.as_bytes(), r.host.as_bytes()]), key))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    ranked.truncate(CANDIDATES);
    ranked.into_iter().map(|(_, key)| key).collect()
}
