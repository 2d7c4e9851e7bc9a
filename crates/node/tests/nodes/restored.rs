//! What nodes write again after the object store has come back from an older copy.

use crate::common::mesh::{Mesh, holds_soon, until};
use crate::common::{NodeEndpoint, name};
use knapweed_contract::head::Accepted;
use knapweed_contract::result::{self, Attempt};
use knapweed_contract::{Record, Ticket};
use knapweed_host::crash::verdicts::Verdicts;
use knapweed_host::crash::{CrashRecord, Evidence as CrashEvidence, Subject};
use knapweed_node::orders::Progress;
use knapweed_rollout::result::PullBackReason;
use knapweed_rollout::{
    Epoch, Evidence, Holder, Outcome, Phase, RolloutState, Tenure, TicketResult,
};
use knapweed_store::memory::Faults;
use knapweed_store::{ObjectKey, Revision};
use knapweed_wire::{StreamHead, decode, encode};
use knapweed_world::config::{Caution, RolloutTerms, VersionShare};
use knapweed_world::{ConfigVersion, Share, TicketNumber, UnixMillis};
use knapweed_zone::score::score;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time in which a node that has nothing to do would do it nevertheless.
const QUIET_TIME: Duration = Duration::from_secs(3);

fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since.expect("a time after 1970").as_millis() as u64)
}

fn share(version: &str) -> VersionShare {
    VersionShare {
        version: name(version),
        share: Share::ALL,
    }
}

fn key(service: &str) -> ObjectKey {
    ObjectKey::new("mesh-rollouts", service)
}

fn state(service: &str, phase: Phase) -> RolloutState {
    let now = wall_clock();
    RolloutState {
        service: name(service),
        ticket: TicketNumber(4),
        epoch: Epoch(7),
        phase,
        changed: now,
        terms: RolloutTerms {
            start: now,
            deadline: now.after(Duration::from_secs(300)),
            min_old_capacity: 0,
            caution: Caution::Careful,
            from: vec![share("v1")],
        },
        target: vec![share("v2")],
        proven: Vec::new(),
        has_result: true,
        evidence: Evidence::default(),
        owed: Vec::new(),
    }
}

/// Services with a completed rollout, one that was pulled back, and a running one.
fn states() -> [RolloutState; 3] {
    [
        state("calendar", Phase::Completed),
        state("mail", Phase::PulledBack(PullBackReason::NoServers)),
        state("maps", Phase::Holding(Share(2_500))),
    ]
}

const SERVICES: [&str; 3] = ["calendar", "mail", "maps"];

/// Stores orders, the states of their rollouts and their progress, and starts a node.
async fn mesh_with_rollouts() -> Mesh {
    let mut mesh = Mesh::new(&SERVICES);
    let reported = [Progress::Completed, Progress::PulledBack, Progress::Running];
    for (state, reported) in states().iter().zip(reported) {
        let service = state.service.as_str();
        mesh.store.put(&key(service), state).await;
        mesh.orders.put(service, "v2", Some(reported)).await;
    }
    mesh.start().await;
    until("the node knows all states", || {
        mesh.nodes[0].view().load().rollouts.len() == SERVICES.len()
    })
    .await;
    mesh
}

/// Guards against the state of an ended rollout that nobody writes again: its controller was
/// dropped, so the store kept an older state, or none, and a new process routed by that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn states_that_the_store_lost_are_written_again() {
    let older = Mesh::new(&SERVICES).store.memory.backup();
    let mesh = mesh_with_rollouts().await;
    // Ended rollouts have no controller any longer.
    tokio::time::sleep(QUIET_TIME).await;
    let before = mesh.nodes[0].view().load().rollouts.clone();
    mesh.store.memory.restore(&older);
    let is_stored = |service: &&str| {
        let value = mesh.store.value(&key(service));
        let stored = value.and_then(|v| serde_json::from_slice::<RolloutState>(&v).ok());
        stored.is_some_and(|s| s.cmp_precedence(&before[&name(service)]).is_ge())
    };
    holds_soon(|| SERVICES.iter().all(is_stored)).await;
    let mut out = String::new();
    for service in SERVICES {
        writeln!(out, "{service}: stored {}", is_stored(&service)).expect("a string");
    }
    insta::assert_snapshot!(out);
    let after = mesh.nodes[0].view().load().rollouts.clone();
    for (service, before) in &before {
        assert!(after[service].cmp_precedence(before).is_ge(), "{service}");
    }
}

/// Guards against an order that the operator writes again, without the progress that the store
/// has lost, and that stays without progress: its rollout was known, so nothing was reported.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn progress_that_the_store_lost_is_reported_again() {
    let without_progress = Mesh::new(&SERVICES);
    for service in SERVICES {
        without_progress.orders.put(service, "v2", None).await;
    }
    let older = without_progress.store.memory.backup();
    let mesh = mesh_with_rollouts().await;
    tokio::time::sleep(QUIET_TIME).await;
    mesh.orders.reports.lock().clear();
    mesh.store.memory.restore(&older);
    holds_soon(|| mesh.orders.reports.lock().len() >= SERVICES.len()).await;
    tokio::time::sleep(QUIET_TIME).await;
    let reports: BTreeSet<_> = mesh
        .orders
        .reports
        .lock()
        .iter()
        .map(|(service, progress)| format!("{service}: {progress:?}"))
        .collect();
    insta::assert_debug_snapshot!(reports);
}

/// Guards against an order that gets a later deadline each time that it is read before its
/// rollout is stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_is_read_again_keeps_its_deadline() {
    let mut mesh = Mesh::new(&["calendar"]);
    mesh.store.refuses_states.store(true, Ordering::SeqCst);
    mesh.orders.put("calendar", "v2", None).await;
    let older = mesh.store.memory.backup();
    mesh.start().await;
    let proposals = || {
        let proposed = mesh.store.proposed.lock();
        let states = proposed.iter().filter(|(k, _)| *k == key("calendar"));
        let states = states.map(|(_, v)| serde_json::from_slice::<RolloutState>(v));
        let deadlines = states.map(|s| s.expect("a state").terms.deadline);
        deadlines.collect::<Vec<_>>()
    };
    until("the rollout is proposed", || !proposals().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    mesh.store.memory.restore(&older);
    let before = proposals().len();
    until("it is proposed again", || proposals().len() >= before + 4).await;
    let deadlines: BTreeSet<_> = proposals().into_iter().collect();
    assert_eq!(deadlines.len(), 1, "{deadlines:?}");
}

/// Guards against hosts that a node which starts later does not find: only a node that knew no
/// other one registered itself again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registry_entries_that_the_store_lost_are_written_again() {
    let mut mesh = Mesh::new(&["calendar"]);
    let empty = mesh.store.memory.backup();
    mesh.start().await;
    mesh.start().await;
    mesh.start().await;
    let hosts = ["host-1", "host-2", "host-3"];
    let is_registered = |host: &&str| {
        let key = ObjectKey::new("mesh-hosts", host);
        mesh.store.value(&key).is_some()
    };
    until("all hosts are registered", || {
        hosts.iter().all(is_registered)
    })
    .await;
    mesh.store.memory.restore(&empty);
    let all = holds_soon(|| hosts.iter().all(is_registered)).await;
    let found: Vec<_> = hosts.iter().filter(|h| is_registered(h)).collect();
    assert!(all, "found only {found:?}");
}

/// Guards against a verdict on a request that crashes servers which is in no store any more: a
/// node that starts later would run the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verdicts_that_the_store_lost_are_written_again() {
    let mut mesh = Mesh::new(&["calendar"]);
    let empty = mesh.store.memory.backup();
    let record = CrashRecord {
        subject: Subject::content(b"", b"POST", b"/crash", b""),
        evidence: CrashEvidence {
            convicted: true,
            ..CrashEvidence::default()
        },
        age_ms: 0,
    };
    let mut verdicts = Verdicts::default();
    assert!(verdicts.add(&[record], wall_clock()));
    let key = ObjectKey::new("mesh-verdicts", "requests");
    mesh.store.put(&key, &verdicts).await;
    mesh.start().await;
    tokio::time::sleep(QUIET_TIME).await;
    mesh.store.memory.restore(&empty);
    until("the verdict is stored", || mesh.store.value(&key).is_some()).await;
}

/// Guards against a ticket without a result, because the node that wrote it takes it for stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn results_of_tickets_that_the_store_lost_are_written_again() {
    let mut mesh = Mesh::new(&["calendar"]);
    let accepted = Accepted {
        ticket: TicketNumber(5),
        version: ConfigVersion(1),
        at: wall_clock(),
    };
    mesh.ticket = Some(accepted);
    let document = Ticket {
        ticket: accepted.ticket,
        ..Ticket::default()
    };
    let attempt = Attempt {
        head: Revision::ABSENT,
        at: accepted.at,
    };
    let record = Record::new(document, ConfigVersion(0), attempt).with_progress(accepted);
    let key = result::key(accepted.ticket);
    mesh.store.put(&key, &record.expect("progress")).await;
    let without_result = mesh.store.memory.backup();
    mesh.start().await;
    let has_result = || {
        let object = mesh.store.memory.peek(&key).expect("a record");
        let record = Record::decode(&object).expect("a record");
        record.result.is_some()
    };
    until("the ticket has a result", has_result).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    mesh.store.memory.restore(&without_result);
    until("it has a result again", has_result).await;
}

/// Guards against the end of a rollout whose order the store has lost that passes for the end of
/// a ticket: the holder looked for its record every two seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_order_is_no_ticket() {
    let mut hosts = ["host-1", "host-2"];
    hosts.sort_by_key(|host| score(&[b"rollout", host.as_bytes()]));
    let [first, holder] = hosts;
    let mut mesh = Mesh::new(&["calendar"]);
    let empty = mesh.store.memory.backup();
    let ended = state("calendar", Phase::Completed);
    mesh.store.put(&key("calendar"), &ended).await;
    let reported = Some(Progress::Completed);
    mesh.orders.put("calendar", "v2", reported).await;
    mesh.start_host(first).await;
    until("the first node knows the state", || {
        !mesh.nodes[0].view().load().rollouts.is_empty()
    })
    .await;
    mesh.store.memory.restore(&empty);
    mesh.start_host(holder).await;
    until("the state is stored", || {
        mesh.store.value(&key("calendar")).is_some()
    })
    .await;
    tokio::time::sleep(QUIET_TIME).await;
    let duties = mesh.nodes[1].view().load().duties.clone();
    assert!(duties.contains(&"rollout".to_owned()), "{duties:?}");
    let kinds: BTreeSet<_> = mesh.store.kinds_read.lock().iter().cloned().collect();
    insta::assert_debug_snapshot!(kinds);
}

/// Sends a state as a holder of the duty, and returns the states that the node sends back.
async fn answers_to_holder(mesh: &Mesh, stored: RolloutState) -> Vec<RolloutState> {
    let opened = NodeEndpoint::open(&mesh.authority);
    let holder = Holder {
        tenure: Tenure(wall_clock().after(Duration::from_secs(60)).0),
        address: opened.endpoint.local_address().expect("an address"),
    };
    answers_to(opened, mesh, stored, Some(holder)).await
}

/// Sends a state, and returns the states that the node sends back.
async fn answers_to(
    opened: NodeEndpoint,
    mesh: &Mesh,
    stored: RolloutState,
    holder: Option<Holder>,
) -> Vec<RolloutState> {
    let NodeEndpoint {
        endpoint,
        mut inbound,
    } = opened;
    let head = StreamHead::Rollouts {
        states: vec![stored],
        holder,
    };
    let node = mesh.nodes[0].node_identity().nodes;
    let (mut tx, _rx) = endpoint.peers().open(node).await.expect("a stream");
    tx.head(&encode(&head).expect("a message"))
        .await
        .expect("sent");
    tx.finish();
    let receive = async {
        while let Some(mut incoming) = inbound.streams.recv().await {
            let bytes = incoming.receiver.head().await.expect("a message");
            if let Ok(StreamHead::Rollouts { states, .. }) = decode(&bytes) {
                return states;
            }
        }
        Vec::new()
    };
    let received = tokio::time::timeout(QUIET_TIME, receive).await;
    received.unwrap_or_default()
}

/// Guards against a new holder that continues from the older state of a restored store, although
/// nodes hold a newer one: only ended rollouts were sent back, so the share fell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_with_an_older_state_gets_the_newer_one() {
    let mesh = mesh_with_rollouts().await;
    let backup = mesh.store.memory.backup();
    mesh.store.memory.restore(&backup);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let known = mesh.nodes[0].view().load().rollouts[&name("maps")].clone();
    let mut older = state("maps", Phase::Ramping(Share(500)));
    older.epoch = Epoch(2);
    assert_eq!(answers_to_holder(&mesh, older).await, [known]);
}

/// Guards against a node that missed a pull-back, or a completion, and keeps its traffic where it
/// was: it sends its state to others, which told only the holder that there is a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_missed_the_end_of_a_rollout_learns_it() {
    let mesh = mesh_with_rollouts().await;
    for ended in &states()[..2] {
        let mut running = ended.clone();
        (running.phase, running.epoch) = (Phase::Ramping(Share(500)), Epoch(2));
        let opened = NodeEndpoint::open(&mesh.authority);
        let answers = answers_to(opened, &mesh, running, None).await;
        let known = mesh.nodes[0].view().load().rollouts[&ended.service].clone();
        assert_eq!(answers, [known]);
    }
}

/// Guards against a holder that reads an order before any node has told it the state, numbers it
/// anew, and reports no end: the end belongs to the number that others gave it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_was_read_before_its_state_gets_its_end() {
    let mut mesh = Mesh::new(&["calendar"]);
    let reported = Some(Progress::Running);
    mesh.orders.put("calendar", "v2", reported).await;
    mesh.start().await;
    until("the order is numbered", || {
        mesh.store.value(&key("calendar")).is_some()
    })
    .await;
    let opened = NodeEndpoint::open(&mesh.authority);
    let ended = state("calendar", Phase::Completed);
    answers_to(opened, &mesh, ended, None).await;
    let end = (name("calendar"), Progress::Completed);
    holds_soon(|| mesh.orders.reports.lock().contains(&end)).await;
    assert_eq!(*mesh.orders.reports.lock(), [end]);
}

/// Guards against an order with the number of another one, whose state a late write of the
/// previous holder has stored: the holder moved traffic to the version of the other order, and
/// reported its end as that of the newest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_number_a_late_write_has_taken_gets_the_next_one() {
    let mut mesh = Mesh::new(&["calendar"]);
    mesh.store.refuses_states.store(true, Ordering::SeqCst);
    mesh.orders.put("calendar", "v3", None).await;
    mesh.start().await;
    until("the order is numbered", || {
        let proposed = mesh.store.proposed.lock();
        proposed.iter().any(|(k, _)| *k == key("calendar"))
    })
    .await;
    let mut late = state("calendar", Phase::Warming);
    (late.ticket, late.epoch) = (TicketNumber(1), Epoch(1));
    mesh.store.put(&key("calendar"), &late).await;
    mesh.store.refuses_states.store(false, Ordering::SeqCst);
    let stored = || {
        let value = mesh.store.value(&key("calendar")).expect("a state");
        serde_json::from_slice::<RolloutState>(&value).expect("a state")
    };
    holds_soon(|| stored().ticket > late.ticket).await;
    let stored = stored();
    let found = (stored.ticket, stored.target);
    assert_eq!(found, (TicketNumber(2), vec![share("v3")]));
}

/// Guards against results of orders that were superseded and that nobody reads: they were never
/// confirmed, and with nine of them the next order did not start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn results_of_superseded_orders_hold_up_no_order() {
    let mut mesh = Mesh::new(&["calendar"]);
    let mut ended = state("calendar", Phase::Completed);
    ended.ticket = TicketNumber(20);
    ended.owed = (1..=9)
        .map(|number| TicketResult {
            ticket: TicketNumber(number),
            service: name("calendar"),
            outcome: Outcome::Superseded {
                at: ended.changed,
                by: TicketNumber(number + 1),
            },
            evidence: Evidence::default(),
        })
        .collect();
    mesh.store.put(&key("calendar"), &ended).await;
    mesh.orders.put("calendar", "v3", None).await;
    mesh.start().await;
    until("the next rollout is stored", || {
        let value = mesh.store.value(&key("calendar")).expect("a state");
        let stored = serde_json::from_slice::<RolloutState>(&value).expect("a state");
        stored.ticket == TicketNumber(21)
    })
    .await;
}

/// Guards against a holder that spends the platform's rate limit on comparing states while the
/// store fails: each service that was still to be compared repeated its read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn few_states_are_compared_at_a_time() {
    const STATES: usize = 64;
    const OUTAGE: Duration = Duration::from_secs(3);
    let mut mesh = Mesh::new(&["calendar"]);
    let services: Vec<_> = (0..STATES).map(|i| format!("service-{i}")).collect();
    for service in &services {
        let ended = state(service, Phase::Completed);
        mesh.store.put(&key(service), &ended).await;
        let reported = Some(Progress::Completed);
        mesh.orders.put(service, "v2", reported).await;
    }
    mesh.start().await;
    until("the node knows all states", || {
        mesh.nodes[0].view().load().rollouts.len() == STATES
    })
    .await;
    let backup = mesh.store.memory.backup();
    mesh.store.memory.restore(&backup);
    mesh.store.memory.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let states_read = || {
        let kinds = mesh.store.kinds_read.lock();
        kinds.iter().filter(|k| *k == "mesh-rollouts").count()
    };
    let before = states_read();
    tokio::time::sleep(OUTAGE).await;
    let reads = states_read() - before;
    assert!((16..=160).contains(&reads), "{reads} reads in {OUTAGE:?}");
    mesh.store.memory.set_faults(Faults::default());
    let before = states_read();
    until("all states are compared", || {
        states_read() >= before + STATES
    })
    .await;
}

/// Guards against an older order in the restored store that passes for a new one: traffic moved
/// back to the version before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_order_moves_no_traffic_back() {
    let services = ["calendar", "mail"];
    let mut mesh = Mesh::new(&services);
    let reported = [Progress::Completed, Progress::Running];
    for (service, reported) in services.iter().zip(reported) {
        let mut older = state(service, Phase::Completed);
        older.ticket = TicketNumber(3);
        older.target = vec![share("v1")];
        older.terms.from = vec![share("v0")];
        mesh.store.put(&key(service), &older).await;
        mesh.orders.put(service, "v1", Some(reported)).await;
    }
    let older = mesh.store.memory.backup();
    for service in services {
        let ended = state(service, Phase::Completed);
        mesh.store.put(&key(service), &ended).await;
        let reported = Some(Progress::Completed);
        mesh.orders.put(service, "v2", reported).await;
    }
    mesh.start().await;
    until("the node knows all states", || {
        mesh.nodes[0].view().load().rollouts.len() == services.len()
    })
    .await;
    mesh.store.memory.restore(&older);
    tokio::time::sleep(QUIET_TIME).await;
    for service in services {
        mesh.orders.put(service, "v2", None).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    let mut out = String::new();
    for service in services {
        let known = mesh.nodes[0].view().load().rollouts[&name(service)].clone();
        let value = mesh.store.value(&key(service)).expect("a state");
        let stored: RolloutState = serde_json::from_slice(&value).expect("a state");
        for (label, state) in [("known", known), ("stored", stored)] {
            let target = &state.target[0].version;
            let (ticket, phase) = (state.ticket, &state.phase);
            writeln!(
                out,
                "{service}, {label}: ticket {ticket} to {target}, {phase:?}"
            )
            .expect("a string");
        }
    }
    let reports = mesh.orders.reports.lock().clone();
    let reports = reports.iter().map(|report| format!("{report:?}"));
    let reports: BTreeSet<_> = reports.collect();
    writeln!(out, "reports: {reports:?}").expect("a string");
    insta::assert_snapshot!(out);
}

/// Guards against an order to return to an earlier version that is held for good because its
/// first holder reported it as running and ended before it stored the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_held_order_starts_after_a_while() {
    let (mesh, before) = mesh_with_running_order("v1").await;
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(stored_ticket(&mesh), before);
    until("the order has started", || stored_ticket(&mesh) > before).await;
}

/// Guards against an order that waits after each loss and each start in a later era, although
/// no older order can have its version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_to_a_new_version_starts_at_once_in_a_later_era() {
    let (mesh, before) = mesh_with_running_order("v3").await;
    tokio::time::sleep(QUIET_TIME).await;
    assert!(stored_ticket(&mesh) > before);
}

/// A node that has started in a later era, with a completed rollout to v2 and an order that was
/// reported as running; returns the ticket of the rollout.
async fn mesh_with_running_order(target: &str) -> (Mesh, TicketNumber) {
    let mut mesh = Mesh::new(&["calendar"]);
    let ended = state("calendar", Phase::Completed);
    mesh.store.put(&key("calendar"), &ended).await;
    let reported = Some(Progress::Running);
    mesh.orders.put("calendar", target, reported).await;
    let backup = mesh.store.memory.backup();
    mesh.store.memory.restore(&backup);
    mesh.start().await;
    (mesh, ended.ticket)
}

fn stored_ticket(mesh: &Mesh) -> TicketNumber {
    let value = mesh.store.value(&key("calendar")).expect("a state");
    let stored = serde_json::from_slice::<RolloutState>(&value);
    stored.expect("a state").ticket
}
