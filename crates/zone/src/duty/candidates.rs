//! Ranking of the members that hold a duty or are next in line for it.

use super::Duty;
use crate::directory::{Directory, MemberKey};
use crate::record::MemberState;
use crate::score::score;
use std::cmp::Reverse;

/// Number of members ranked after the holders that others also treat as possible
/// holders, because two directories may differ for a while.
const SUBSTITUTES: usize = 1;

/// The holders of a duty and their substitutes, best first.
///
/// Alive members are ranked by the hash of duty and host name; members that cannot
/// reach the store rank below all others.
pub fn candidates(directory: &Directory, duty: &Duty) -> Vec<MemberKey> {
    ranked(directory, duty, duty.holder_count() + SUBSTITUTES)
}

/// The members that hold a duty according to this directory, best first.
pub fn holders(directory: &Directory, duty: &Duty) -> Vec<MemberKey> {
    ranked(directory, duty, duty.holder_count())
}

fn ranked(directory: &Directory, duty: &Duty, count: usize) -> Vec<MemberKey> {
    let duty_name = duty.to_string();
    let members = directory.iter();
    let members = members.filter(|(_, r)| r.state == MemberState::Alive && duty.is_eligible(r));
    let mut ranked: Vec<_> = members
        .map(|(key, r)| {
            let score = score(&[duty_name.as_bytes(), r.host.as_bytes()]);
            ((r.reaches_store, score), key)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, key)| key).collect()
}
