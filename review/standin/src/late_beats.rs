//! DRAIN: a server deregisters, its node is killed and starts again, and two heartbeats that
//! were sent before the deregistration arrive late.

use review_standin::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1500);
const DRAIN_MS: u64 = 2500;
const STABLE_WINDOW_MS: u64 = 4000;

pub fn play(trouble: bool, path: &Path) -> usize {
    let (folder, record, runs) = (
        Folder::new(),
        Record::default(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let (_store, store) = start_store(&folder.0);
    configure(store);
    let list = [
        ("calendar", "labasa-a"),
        ("calendar", "labasa-b"),
        ("switching", "labasa-a"),
    ];
    let mut machines = machines(&folder.0, store, &list);
    let servers: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(n, m)| {
            let id = format!("i-7f3a91c{n}");
            Server::start(&id, &m.service, &m.zone, m.at(m.ports.app), &runs, &record)
        })
        .collect();
    let controls: Vec<_> = machines.iter().map(|m| m.at(m.ports.control)).collect();
    // The servers beside machines 2 and 3 send heartbeats in time.
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for n in 1..servers.len() {
        let (server, control, stop) = (Arc::clone(&servers[n]), controls[n], Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                server.send_beat(control, Duration::ZERO);
                thread::sleep(BEAT);
            }
        }));
    }
    until("the nodes are ready", || {
        machines.iter().all(Machine::is_ready)
    });
    until("the first heartbeat is acknowledged", || {
        servers[0].send_beat(controls[0], Duration::ZERO)
    });
    thread::sleep(BEAT);
    servers[0].send_beat(controls[0], Duration::ZERO);
    let mut n = 0;
    until("requests are served", || {
        n += 1;
        let answer = machines[2].request(&record, "GET", "/read/start", &format!("start{n}"));
        answer.is_ok_and(|a| a.status == 200)
    });
    // Clients on machines 2 and 3, 15 requests a second each, for 24 s at most.
    for n in 1..machines.len() {
        let to = (
            machines[n].name.clone(),
            machines[n].at(machines[n].ports.outbound),
        );
        let (record, stop) = (record.clone(), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            for i in 0..360 {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("c{n}x{i:04}");
                record.add(format!("client at {} sends {id}", to.0));
                let headers = [
                    ("Host", HOST),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "2500"),
                ];
                let path = format!("/read/{i}");
                let answer = call(
                    to.1,
                    "GET",
                    &path,
                    &headers,
                    "",
                    Duration::from_millis(2500),
                );
                let status = answer.map_or("no answer".to_owned(), |a| a.status.to_string());
                record.add(format!("client at {} gets {status} for {id}", to.0));
                thread::sleep(Duration::from_millis(65));
            }
        }));
    }
    // The server that will leave has sent heartbeats in time so far, and goes on.
    for _ in 0..4 {
        servers[0].send_beat(controls[0], Duration::ZERO);
        thread::sleep(BEAT);
    }
    let before = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|r| r.server == servers[0].id)
        .count();
    assert!(before > 10, "the leaving server had got requests: {before}");
    // Two heartbeats in a row, sent before the server leaves, arrive 3.5 s late.
    for pause in [BEAT, Duration::from_millis(200)] {
        let (server, control) = (Arc::clone(&servers[0]), controls[0]);
        record.add(format!(
            "server {} sends a heartbeat, which will be late",
            server.id
        ));
        threads.push(thread::spawn(move || {
            server.send_beat(control, Duration::from_millis(3500));
        }));
        thread::sleep(pause);
    }
    // The server leaves without a state `draining`, as some do, and goes on serving.
    servers[0].leaving.store(true, Ordering::SeqCst);
    let delete = format!("/instances/{}", servers[0].id);
    let answer = call(
        controls[0],
        "DELETE",
        &delete,
        &[],
        "",
        Duration::from_secs(1),
    );
    let acknowledged = record.ms();
    record.add(format!(
        "DELETE of {} is answered {}",
        servers[0].id,
        answer.unwrap().status
    ));
    thread::sleep(Duration::from_millis(100));
    let mut restarted = acknowledged;
    if trouble {
        record.add(format!("SIGKILL of the node of {}", machines[0].name));
        machines[0].node = None;
        thread::sleep(Duration::from_millis(400));
        machines[0].start_node();
        restarted = record.ms();
        record.add(format!("the node of {} starts again", machines[0].name));
    }
    thread::sleep(Duration::from_secs(11));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    servers[0].ended.store(true, Ordering::SeqCst);
    record.add(format!("server {} ends", servers[0].id));
    // All machines are in touch again `StableWindowMs` after the start of the node.
    let from = (acknowledged + DRAIN_MS).max(restarted + STABLE_WINDOW_MS);
    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.server == servers[0].id && r.ms > from)
        .count();
    record.add(format!(
        "acknowledged at {acknowledged} ms; {late} requests reached {} later than {from} ms",
        servers[0].id
    ));
    record.write(path);
    late
}
