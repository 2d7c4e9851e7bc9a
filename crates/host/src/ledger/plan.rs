//! Plans the slot table from the members that are alive.
//!
//! The holder of the duty `tickets` stores the plan with a conditional update.

use super::table::{Member, Row, SLOTS, Slot, SlotTable};
use knapweed_world::Name;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A member that is alive and can decide on keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The member.
    pub member: Member,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
}

/// What is known about an owner or deputy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Alive,
    /// It may still run, cut off from here.
    Unreachable,
    /// It does not run any more.
    Stopped,
}

/// The members that a plan is made from.
#[derive(Clone, Copy)]
pub struct Members<'a> {
    /// Those alive.
    pub alive: &'a [Candidate],
    /// Whether a member that is not alive is known to have stopped, as opposed
    /// to being cut off. A host that is alive with a later incarnation needs no
    /// further proof.
    pub has_stopped: &'a dyn Fn(&Member) -> bool,
}

/// Plans the next table, or `None` when nothing has to change.
///
/// Rows change only for owners or deputies that are not alive, and for deputies
/// that share the availability zone of their owner without need. When both are
/// gone, the row waits until both are known to have stopped.
pub fn plan(table: &SlotTable, members: Members<'_>) -> Option<SlotTable> {
    let rows = (0..SLOTS).map(|n| {
        let slot = Slot(n as u8);
        match table.row(slot) {
            Some(row) => Some(members.next(slot, row)),
            None => members.first(slot),
        }
    });
    // Without enough members no row can be planned, and the table stays as it is.
    let rows = rows.collect::<Option<Vec<Row>>>()?;
    (rows != table.rows).then_some(SlotTable { rows })
}

impl Members<'_> {
    fn first(&self, slot: Slot) -> Option<Row> {
        let owner = self.best(slot, self.home(slot), |_| true)?;
        let deputy = self.deputy(slot, owner)?;
        let home = owner.region.clone();
        Some(Row::first(
            home,
            owner.member.clone(),
            deputy.member.clone(),
        ))
    }

    fn next(&self, slot: Slot, row: &Row) -> Row {
        let changed = match (self.fate(&row.owner), self.fate(&row.deputy)) {
            (Fate::Alive, Fate::Alive) => self.spread(slot, row),
            (Fate::Alive, _) => self.replace_deputy(slot, row),
            (_, Fate::Alive) => self.promote(slot, row),
            (Fate::Stopped, Fate::Stopped) => self.restart(slot, row),
            _ => None,
        };
        changed.unwrap_or_else(|| row.clone())
    }

    fn replace_deputy(&self, slot: Slot, row: &Row) -> Option<Row> {
        let owner = self.find(&row.owner)?;
        let deputy = self.deputy(slot, owner)?;
        Some(row.with_deputy(deputy.member.clone()))
    }

    fn promote(&self, slot: Slot, row: &Row) -> Option<Row> {
        let owner = self.find(&row.deputy)?;
        let deputy = self.deputy(slot, owner)?;
        Some(row.promote(deputy.member.clone()))
    }

    fn restart(&self, slot: Slot, row: &Row) -> Option<Row> {
        let owner = self.best(slot, Some(&row.home), |_| true)?;
        let deputy = self.deputy(slot, owner)?;
        let home = owner.region.clone();
        Some(row.restart(home, owner.member.clone(), deputy.member.clone()))
    }

    /// Moves a deputy out of the availability zone of its owner.
    fn spread(&self, slot: Slot, row: &Row) -> Option<Row> {
        let (owner, deputy) = (self.find(&row.owner)?, self.find(&row.deputy)?);
        let better = self.deputy(slot, owner)?;
        let is_better = better.zone != owner.zone && better.region == owner.region;
        let is_spread = deputy.zone != owner.zone && deputy.region == owner.region;
        (is_better && !is_spread).then(|| row.with_deputy(better.member.clone()))
    }
}

/// Search.
impl Members<'_> {
    fn find(&self, member: &Member) -> Option<&Candidate> {
        self.alive.iter().find(|c| c.member == *member)
    }

    fn fate(&self, member: &Member) -> Fate {
        let is_replaced = |c: &Candidate| {
            c.member.host == member.host && c.member.incarnation > member.incarnation
        };
        if self.find(member).is_some() {
            Fate::Alive
        } else if self.alive.iter().any(is_replaced) || (self.has_stopped)(member) {
            Fate::Stopped
        } else {
            Fate::Unreachable
        }
    }

    /// The region that decides on a new slot: each in turn.
    fn home(&self, slot: Slot) -> Option<&Name> {
        let mut regions: Vec<&Name> = self.alive.iter().map(|c| &c.region).collect();
        regions.sort();
        regions.dedup();
        let index = usize::from(slot.0).checked_rem(regions.len())?;
        Some(regions[index])
    }

    /// A deputy in another availability zone of the owner's region; without
    /// one, on another host of the region; without one, on any other host.
    fn deputy(&self, slot: Slot, owner: &Candidate) -> Option<&Candidate> {
        let is_other = |c: &Candidate| c.member.host != owner.member.host;
        let region = Some(&owner.region);
        self.best(slot, region, |c| c.zone != owner.zone)
            .or_else(|| self.best(slot, region, is_other))
            .or_else(|| self.best(slot, None, is_other))
    }

    /// The candidate with the highest hash score for the slot, in `region` if
    /// it has any.
    fn best(
        &self,
        slot: Slot,
        region: Option<&Name>,
        filter: impl Fn(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let in_region = |c: &&Candidate| region.is_none_or(|r| c.region == *r);
        let candidates = self.alive.iter().filter(in_region);
        candidates
            .filter(|c| filter(c))
            .max_by_key(|c| (score(slot, &c.member.host), &c.member.host))
    }
}

fn score(slot: Slot, host: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (slot, host).hash(&mut hasher);
    hasher.finish()
}
