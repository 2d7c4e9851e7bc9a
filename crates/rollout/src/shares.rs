//! Traffic shares of versions between the start and the target of a rollout.

use knapweed_world::config::{ServiceConfig, VersionShare};
use knapweed_world::{Name, Share};

use crate::RolloutState;

/// Interpolates between the shares `from` and `to` at `progress`.
///
/// All shares are rounded down; the remainder goes to the version with the
/// largest share at the start. The shares sum to [`Share::ALL`] if those of both
/// ends do.
pub fn interpolate(
    from: &[VersionShare],
    to: &[VersionShare],
    progress: Share,
) -> Vec<VersionShare> {
    let mut shares: Vec<VersionShare> = Vec::new();
    for version in versions(from, to) {
        let (a, b) = (share_of(from, version), share_of(to, version));
        let moved = (i64::from(b.0) - i64::from(a.0)) * i64::from(progress.0);
        let share = i64::from(a.0) + moved.div_euclid(i64::from(Share::ALL.0));
        shares.push(VersionShare {
            version: version.clone(),
            share: Share(share as u16),
        });
    }
    add_remainder(&mut shares, from);
    shares
}

fn add_remainder(shares: &mut [VersionShare], from: &[VersionShare]) {
    let sum: u32 = shares.iter().map(|s| u32::from(s.share.0)).sum();
    let remainder = u32::from(Share::ALL.0).saturating_sub(sum) as u16;
    let largest = from.iter().max_by_key(|s| s.share);
    let found = shares
        .iter_mut()
        .find(|s| largest.is_some_and(|l| l.version == s.version));
    if let Some(share) = found {
        share.share.0 += remainder;
    }
}

/// Versions under test: those whose share grows from `from` to `to`.
pub fn increasing(from: &[VersionShare], to: &[VersionShare]) -> Vec<Name> {
    let grows = |v: &&Name| share_of(to, v) > share_of(from, v);
    versions(from, to)
        .into_iter()
        .filter(grows)
        .cloned()
        .collect()
}

/// Baseline versions: those that have a share at the start which does not grow.
pub fn baseline(from: &[VersionShare], to: &[VersionShare]) -> Vec<Name> {
    let stays = |v: &&VersionShare| {
        v.share > Share::NONE && share_of(to, &v.version) <= share_of(from, &v.version)
    };
    let old = from.iter().filter(stays);
    old.map(|v| v.version.clone()).collect()
}

/// The shares in force that a proxy applies to a service, from its configuration
/// and the rollout state that the proxy has received.
///
/// - Without a state, the rollout has not started: the shares before it apply.
/// - A state of the same ticket, or of a later one, applies.
/// - A state of an earlier ticket applies until the rollout of the newer ticket
///   has a state, so that traffic never jumps.
/// - A ticket without a rollout whose shares equal the target of the known rollout
///   leaves the shares as they are, so that it does not undo a pull-back.
pub fn in_force(config: &ServiceConfig, state: Option<&RolloutState>) -> Vec<VersionShare> {
    match (state, &config.rollout) {
        (None, Some(terms)) => terms.from.clone(),
        (None, None) => config.versions.clone(),
        (Some(state), Some(_)) => state.shares(),
        (Some(state), None) if state.ticket >= config.ticket => state.shares(),
        (Some(state), None) if state.target == config.versions => state.shares(),
        (Some(_), None) => config.versions.clone(),
    }
}

/// The share of `version`, or [`Share::NONE`] when it is not listed.
pub fn share_of(shares: &[VersionShare], version: &Name) -> Share {
    let found = shares.iter().find(|s| s.version == *version);
    found.map_or(Share::NONE, |s| s.share)
}

fn versions<'a>(from: &'a [VersionShare], to: &'a [VersionShare]) -> Vec<&'a Name> {
    let mut all: Vec<&Name> = from.iter().map(|s| &s.version).collect();
    for share in to {
        if !all.contains(&&share.version) {
            all.push(&share.version);
        }
    }
    all
}
