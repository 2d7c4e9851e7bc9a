//! Single rules of the at-most-once ledger, step by step.

use bytes::Bytes;
use knapweed_host::ledger::ingress::{KeyedSend, Step};
use knapweed_host::ledger::message::{
    Action, AskId, Copy, Grant, Permit, PermitAnswer, Resolution, Settle, Settlement,
};
use knapweed_host::ledger::table::{Epoch, Member, Row, Slot, SlotTable};
use knapweed_host::ledger::{Ledger, Options};
use knapweed_host::{Identity, NotRun, Outcome, RequestId, SendId, Unknown};
use knapweed_world::{Name, Time, UnixMillis};
use std::fmt::Write;

const WALL: UnixMillis = UnixMillis(1_700_000_000_000);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn member(host: &str) -> Member {
    let host = name(host);
    Member {
        host,
        incarnation: 1,
    }
}

fn row(owner: &str, deputy: &str) -> Row {
    Row::first(name("labasa"), member(owner), member(deputy))
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ledger(host: &str, row: &Row) -> Ledger {
    let mut ledger = Ledger::new(member(host), Options::default(), ms(0));
    install(&mut ledger, row, ms(0));
    ledger
}

fn install(ledger: &mut Ledger, row: &Row, now: Time) -> Vec<Action> {
    let table = SlotTable {
        rows: vec![row.clone()],
    };
    ledger.install(&table, now, WALL)
}

/// A send of a key in slot 0.
fn permit(key: u8, attempt: u64) -> Permit {
    let mut id = [0; 16];
    id[15] = key;
    Permit {
        epoch: Epoch::FIRST,
        send: SendId {
            request: RequestId(id),
            attempt,
        },
        fingerprint: 1,
        made_at: None,
        egress: member("e1"),
        left_ms: 1_000,
    }
}

fn answers(actions: &[Action]) -> Vec<(u64, &PermitAnswer)> {
    let answer = |action| match action {
        &Action::Answer { ask, ref answer } => Some((ask.0, answer)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Grant { grant, .. } => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

/// Owner and deputy that reach each other, and what the owner did.
struct Pair {
    owner: Ledger,
    deputy: Ledger,
    log: String,
}

impl Pair {
    fn new() -> Self {
        let row = row("a", "b");
        let mut pair = Self {
            owner: Ledger::new(member("a"), Options::default(), ms(0)),
            deputy: ledger("b", &row),
            log: String::new(),
        };
        let actions = install(&mut pair.owner, &row, ms(0));
        pair.run(actions, ms(0));
        pair
    }

    fn permit(&mut self, ask: u64, permit: Permit, now: Time) {
        self.note(&format!("permit {ask} for attempt {}", permit.send.attempt));
        let actions = self.owner.permit(AskId(ask), permit, now, WALL);
        self.run(actions, now);
    }

    fn settle(&mut self, send: SendId, settlement: Settlement, now: Time) {
        self.note(&format!("attempt {} ends as {settlement:?}", send.attempt));
        let actions = self.owner.settle(&Settle { send, settlement }, now, WALL);
        self.run(actions, now);
    }

    fn note(&mut self, line: &str) {
        writeln!(self.log, "{line}").expect("a string");
    }

    fn run(&mut self, actions: Vec<Action>, now: Time) {
        for action in actions {
            match action {
                Action::Answer { ask, answer } => {
                    self.note(&format!("  answer {}: {answer:?}", ask.0));
                }
                Action::Grant { grant, .. } => {
                    let (answer, _) = self.deputy.grant(&grant, now, WALL);
                    self.note(&format!("  deputy recorded: {}", answer.recorded));
                    let actions = self.owner.grant_answered(&answer, now, WALL);
                    self.run(actions, now);
                }
                Action::Update { update, .. } => {
                    self.note(&format!("  deputy learns {:?}", update.change));
                    self.deputy.update(&update, now, WALL);
                }
                Action::Copy { copy, .. } => {
                    let (answer, _) = self.deputy.copy(&copy, now, WALL);
                    let answer = answer.expect("the deputy");
                    let actions = self.owner.copied(&answer, now, WALL);
                    self.run(actions, now);
                }
                Action::Inquire { to, send, .. } => {
                    self.note(&format!("  inquire {} about {}", to.host, send.attempt));
                }
                Action::ConfirmTable => self.note("  confirm the table"),
            }
        }
    }
}

/// Guards against a re-send that runs beside the first send, or that does not
/// get the response of the first one (H7, H5).
#[test]
fn a_key_from_the_first_send_to_the_answer() {
    let mut pair = Pair::new();
    let [first, second, third] = [1, 2, 3].map(|n| permit(1, n));
    pair.permit(11, first.clone(), ms(10));
    pair.permit(12, second.clone(), ms(20));
    pair.settle(first.send, Settlement::NotRun, ms(30));
    pair.permit(13, third.clone(), ms(40));
    pair.settle(first.send, Settlement::NotRun, ms(45));
    pair.settle(second.send, Settlement::Answered, ms(50));
    pair.permit(14, permit(1, 4), ms(60));
    let mut other = permit(1, 5);
    other.fingerprint = 2;
    pair.permit(15, other, ms(70));
    insta::assert_snapshot!(pair.log);
}

/// Guards against a takeover that forgets permits, or that leaves a key
/// undecided for ever although the egress knows its end.
#[test]
fn the_deputy_takes_over_and_inquires() {
    let mut pair = Pair::new();
    let first = permit(1, 1);
    pair.permit(11, first.clone(), ms(10));
    assert!(pair.deputy.is_synced(Slot(0)));
    let next = row("a", "b").promote(member("c"));
    let mut owner = pair.deputy;
    install(&mut owner, &next, ms(100));
    let mut again = permit(1, 2);
    again.epoch = next.epoch;
    let actions = owner.permit(AskId(12), again, ms(110), WALL);
    assert_eq!(answers(&actions), [(12, &PermitAnswer::Waiting)]);
    let inquires = actions
        .iter()
        .any(|a| matches!(a, Action::Inquire { send, .. } if *send == first.send));
    assert!(inquires, "{actions:?}");
    let actions = owner.resolve(first.send, Resolution::NotRun, ms(120), WALL);
    assert_eq!(grants(&actions)[0].record.send.attempt, 2);
}

/// Guards against an owner that was replaced without its knowledge and goes on
/// to grant permits (F5, F9).
#[test]
fn a_deputy_refuses_grants_of_an_earlier_epoch() {
    let first = row("a", "b");
    let mut old_owner = ledger("a", &first);
    let mut deputy = ledger("b", &first);
    // Replaced by c; then c becomes the owner and b its deputy again.
    let second = first.with_deputy(member("c"));
    let third = second.promote(member("b"));
    install(&mut deputy, &third, ms(50));
    let actions = old_owner.permit(AskId(1), permit(1, 1), ms(60), WALL);
    let (answer, _) = deputy.grant(&grants(&actions)[0], ms(61), WALL);
    assert!(!answer.recorded);
    let actions = old_owner.grant_answered(&answer, ms(62), WALL);
    let refused = PermitAnswer::Refused(NotRun::KeyUndecided);
    assert_eq!(answers(&actions), [(1, &refused)]);
}

/// Guards against a repeated message that replaces a later attempt at the
/// deputy: after a takeover the inquiry would be about the wrong send.
#[test]
fn a_deputy_keeps_the_later_attempt() {
    let first = row("a", "b");
    let mut owner = ledger("a", &first);
    let mut deputy = ledger("b", &first);
    for action in install_copy(&mut owner, &first) {
        deputy.copy(&action, ms(0), WALL);
    }
    let grant_1 = grants(&owner.permit(AskId(1), permit(1, 1), ms(1), WALL)).remove(0);
    let (answer, _) = deputy.grant(&grant_1, ms(2), WALL);
    owner.grant_answered(&answer, ms(3), WALL);
    let send = grant_1.record.send;
    let settlement = Settlement::NotRun;
    owner.settle(&Settle { send, settlement }, ms(4), WALL);
    let grant_2 = grants(&owner.permit(AskId(2), permit(1, 2), ms(5), WALL)).remove(0);
    deputy.grant(&grant_2, ms(6), WALL);
    deputy.grant(&grant_1, ms(7), WALL);
    install(&mut deputy, &first.promote(member("c")), ms(8));
    let actions = deputy.permit(AskId(3), permit(1, 3), ms(9), WALL);
    let about_2 = |a: &Action| matches!(a, Action::Inquire { send, .. } if send.attempt == 2);
    assert!(actions.iter().any(about_2), "{actions:?}");
}

/// The parts of the copy that a new owner of `row` sends to its deputy.
fn install_copy(owner: &mut Ledger, row: &Row) -> Vec<Copy> {
    *owner = Ledger::new(row.owner.clone(), Options::default(), ms(0));
    let actions = install(owner, row, ms(0));
    let copy = |action| match action {
        Action::Copy { copy, .. } => Some(copy),
        _ => None,
    };
    actions.into_iter().filter_map(copy).collect()
}

/// Guards against a permit for an attempt that the deputy has not recorded.
#[test]
fn a_late_answer_to_an_earlier_grant_permits_nothing() {
    let first = row("a", "b");
    let mut owner = ledger("a", &first);
    let mut deputy = ledger("b", &first);
    let grant_1 = grants(&owner.permit(AskId(1), permit(1, 1), ms(1), WALL)).remove(0);
    let send = grant_1.record.send;
    let settlement = Settlement::NotRun;
    owner.settle(&Settle { send, settlement }, ms(2), WALL);
    owner.permit(AskId(2), permit(1, 2), ms(3), WALL);
    let (answer, _) = deputy.grant(&grant_1, ms(4), WALL);
    let actions = owner.grant_answered(&answer, ms(5), WALL);
    assert_eq!(answers(&actions), []);
}

/// Guards against a permit without a second copy of the grant.
#[test]
fn without_its_deputy_an_owner_refuses() {
    let mut owner = ledger("a", &row("a", "b"));
    let actions = owner.permit(AskId(1), permit(1, 1), ms(10), WALL);
    assert_eq!(answers(&actions), []);
    assert_eq!(answers(&owner.tick(ms(200), WALL)), []);
    let actions = owner.tick(ms(310), WALL);
    let refused = PermitAnswer::Refused(NotRun::KeyUndecided);
    assert_eq!(answers(&actions), [(1, &refused)]);
    assert_eq!(owner.keys(), 0);
}

/// Guards against a key from before the loss of the history that is taken for new.
#[test]
fn without_history_only_provably_newer_keys_are_granted() {
    let lost = row("a", "b").restart(name("labasa"), member("c"), member("d"));
    let mut owner = ledger("c", &lost);
    let mut ask = 0;
    let mut try_key = |made_at: Option<u64>, after_ms: u64| {
        ask += 1;
        let mut permit = permit(ask as u8, ask);
        permit.epoch = lost.epoch;
        permit.made_at = made_at.map(|ms| UnixMillis(WALL.0 + ms));
        let wall = UnixMillis(WALL.0 + after_ms);
        // The jump of the clock would be taken for a pause.
        owner.confirm(ms(after_ms));
        let actions = owner.permit(AskId(ask), permit, ms(after_ms), wall);
        match answers(&actions).first() {
            Some((_, answer)) => format!("{answer:?}"),
            None => "asks the deputy".into(),
        }
    };
    let mut out = String::new();
    for (made_at, after_ms) in [
        (None, 10_000),
        (Some(4_999), 10_000),
        (Some(5_000), 10_000),
        (Some(15_001), 10_000),
        (None, 3_599_999),
        (None, 3_600_000),
    ] {
        let result = try_key(made_at, after_ms);
        writeln!(out, "made at {made_at:?}, asked at {after_ms}: {result}").expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// Guards against an owner that was paused long enough to have been replaced.
#[test]
fn after_a_pause_the_owner_confirms_the_table_first() {
    let mut owner = ledger("a", &row("a", "b"));
    owner.tick(ms(100), WALL);
    let actions = owner.permit(AskId(1), permit(1, 1), ms(2_100), WALL);
    let refused = PermitAnswer::Refused(NotRun::KeyUndecided);
    assert_eq!(answers(&actions), [(1, &refused)]);
    assert!(actions.contains(&Action::ConfirmTable));
    owner.tick(ms(2_200), WALL);
    let actions = owner.permit(AskId(2), permit(1, 2), ms(2_300), WALL);
    assert_eq!(answers(&actions), [(2, &refused)]);
    owner.confirm(ms(2_400));
    let actions = owner.permit(AskId(3), permit(1, 3), ms(2_500), WALL);
    assert_eq!(answers(&actions), []);
}

/// Guards against memory that grows without end, and against a key that is
/// forgotten before its retention.
#[test]
fn keys_are_bounded_and_kept_for_the_retention() {
    let row = row("a", "b");
    let options = Options::default().max_keys(2);
    let mut owner = Ledger::new(member("a"), options, ms(0));
    install(&mut owner, &row, ms(0));
    for key in 1..=3 {
        let actions = owner.permit(AskId(u64::from(key)), permit(key, 1), ms(1), WALL);
        for grant in grants(&actions) {
            let mut deputy = ledger("b", &row);
            let (answer, _) = deputy.grant(&grant, ms(2), WALL);
            owner.grant_answered(&answer, ms(2), WALL);
        }
        let full = (3, &PermitAnswer::Refused(NotRun::KeysFull));
        assert_eq!(answers(&actions).contains(&full), key == 3);
    }
    for second in 0..3_600 {
        owner.tick(ms(second * 1_000), WALL);
        assert_eq!(owner.keys(), 2);
    }
    for second in 3_600..3_700 {
        owner.tick(ms(second * 1_000), WALL);
    }
    assert_eq!(owner.keys(), 0);
}

/// Guards against a permit that is used after the caller was told `not-run`.
#[test]
fn a_late_permit_is_given_back() {
    let mut send = KeyedSend::new(ms(0), ms(1_000));
    let not_run = Outcome::NotRun(NotRun::KeyUndecided);
    assert_eq!(send.timeout(ms(500)), Step::GiveUp(not_run));
    assert_eq!(send.answered(PermitAnswer::Granted, ms(501)), Step::Release);
    let mut send = KeyedSend::new(ms(0), ms(1_000));
    assert_eq!(
        send.answered(PermitAnswer::Waiting, ms(5)),
        Step::Wait(ms(1_000))
    );
    let running = Outcome::Unknown(Unknown::KeyRunning);
    assert_eq!(send.timeout(ms(1_000)), Step::GiveUp(running));
    let mut send = KeyedSend::new(ms(0), ms(1_000));
    assert_eq!(send.answered(PermitAnswer::Granted, ms(5)), Step::Send);
    assert_eq!(send.answered(PermitAnswer::Granted, ms(6)), Step::Ignore);
}

/// Guards against all keys in a few slots.
#[test]
fn keys_are_spread_over_the_slots() {
    let mut counts = [0u32; 256];
    for n in 0..25_600 {
        let key = Identity::from_key(Bytes::from(format!("order-{n}"))).expect("a valid key");
        counts[usize::from(Slot::of(key.id()).0)] += 1;
    }
    assert!(counts.iter().all(|n| (50..=150).contains(n)), "{counts:?}");
}
