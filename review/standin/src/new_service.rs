//! UNASKED: the server beside a node ends and its address goes to a server of another
//! service; the settings file says so, and the node gets SIGHUP.

use review_standin::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1500);

pub fn play(trouble: bool, path: &Path) -> usize {
    let (folder, record, runs) = (Folder::new(), Record::default(), Arc::new(Mutex::new(Vec::new())));
    let (_store, store) = start_store(&folder.0);
    configure(store);
    let list = [("calendar", "labasa-a"), ("calendar", "labasa-b"), ("switching", "labasa-a")];
    let mut machines = machines(&folder.0, store, &list);
    let start = |n: usize, id: &str, service: &str, machines: &[Machine]| {
        let m = &machines[n];
        Server::start(id, service, &m.zone, m.at(m.ports.app), &runs, &record)
    };
    let mut servers: Vec<_> = (0..3)
        .map(|n| start(n, &format!("i-7f3a91c{n}"), list[n].0, &machines))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let beat = |n: usize, server: &Arc<Server>| {
        let (server, stop) = (Arc::clone(server), Arc::clone(&stop));
        let control = machines[n].at(machines[n].ports.control);
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && !server.ended.load(Ordering::SeqCst) {
                server.send_beat(control, Duration::ZERO);
                thread::sleep(BEAT);
            }
        })
    };
    let mut threads: Vec<_> = (0..3).map(|n| beat(n, &servers[n])).collect();
    until("the nodes are ready", || machines.iter().all(Machine::is_ready));
    let mut n = 0;
    until("requests are served", || {
        n += 1;
        let answer = machines[0].request(&record, "GET", "/check/start", &format!("start{n}"));
        answer.is_ok_and(|a| a.status == 200)
    });
    thread::sleep(Duration::from_secs(3));
    record.add(format!("server {} ends", servers[0].id));
    servers[0].ended.store(true, Ordering::SeqCst);
    // `ReuseAfterS` is 2.
    thread::sleep(Duration::from_millis(2500));
    let service = if trouble { "surveys" } else { "calendar" };
    servers[0] = start(0, "i-02b5d7e9", service, &machines);
    record.add(format!("server i-02b5d7e9 of {service} starts at {}", servers[0].address));
    threads.push(beat(0, &servers[0]));
    machines[0].service = service.to_owned();
    machines[0].write_settings();
    machines[0].node.as_ref().unwrap().signal("-HUP");
    record.add(format!("the settings of {} have the service {service}; SIGHUP", machines[0].name));
    thread::sleep(Duration::from_secs(8));
    let from = record.ms();
    for n in 0..30 {
        let _ = machines[0].request(&record, "GET", &format!("/check/{n}"), &format!("after{n:02}"));
        thread::sleep(Duration::from_millis(50));
    }
    let _ = machines[1].request(&record, "GET", "/index/1", "index");
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let runs = runs.lock().unwrap();
    let after: Vec<_> = runs
        .iter()
        .filter(|r| r.ms >= from && r.id.starts_with("after"))
        .collect();
    assert!(after.len() >= 10, "the requests have run");
    let wrong = after.iter().filter(|r| r.caller != service).count();
    record.add(format!(
        "{wrong} of {} requests ran with another X-Caller-Service than {service}",
        after.len()
    ));
    record.write(path);
    wrong
}
