//! The operator takes an order back while the node that controls rollouts is down.

use crate::Verdict;
use crate::mesh::{Behaviour, Clients, Mesh, Record, statuses};
use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// `DurationS` of the orders.
const ORDER_S: u64 = 16;
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

pub fn run(root: &Path, record: &Arc<Record>, is_troubled: bool) -> io::Result<Verdict> {
    let mut mesh = Mesh::start(root, Arc::clone(record))?;
    mesh.start_machines(&Behaviour::default())?;
    // All nodes have met all servers before the next version starts.
    sleep(Duration::from_secs(6));
    let clients_at: Vec<_> = mesh
        .machines
        .iter()
        .map(|m| m.outbound())
        .enumerate()
        .collect();
    // The new version starts beside the old one, a server in each zone.
    for zone in 0..4 {
        let machine = mesh.add(zone, "calendar", "v2")?;
        let bad = Behaviour {
            fails_one_in: 2,
            ..Behaviour::default()
        };
        mesh.start_server(machine, bad)?;
    }
    mesh.until_ready(Duration::from_secs(10))?;
    let clients = Clients::start(
        record,
        clients_at,
        &[("GET", "/read/")],
        40,
        Duration::from_secs(60),
    );
    sleep(Duration::from_secs(6));
    let before = record
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|r| r.version == "v2")
        .count();
    record.note(&format!("runs of v2 before any order: {before}"));
    let holder = mesh
        .rollout_holder()
        .ok_or_else(|| io::Error::other("no holder"))?;
    record.note(&format!("{} controls rollouts", mesh.machines[holder].name));
    if is_troubled {
        mesh.kill(holder);
    }
    sleep(Duration::from_millis(150));
    let order = |version: &str| {
        format!(
            r#"{{"Service": "calendar", "TargetVersion": "{version}", "DurationS": {ORDER_S}}}"#
        )
    };
    mesh.write("rollouts", "calendar", &order("v2"), false)?;
    let ordered = record.now();
    sleep(Duration::from_millis(450));
    mesh.write("rollouts", "calendar", &order("v1"), true)?;
    if is_troubled {
        sleep(Duration::from_millis(2_900));
        mesh.start_again(holder)?;
    }
    let deadline = ordered + Duration::from_secs(ORDER_S);
    while record.now() < deadline {
        sleep(Duration::from_millis(500));
    }
    record.note(&format!(
        "rollouts/calendar: {}",
        mesh.read("/objects/rollouts/calendar")
    ));
    let sent = clients.finish();
    record.note(&format!("answers: {}", statuses(&sent)));
    // Requests that began at the machine that was killed don't count.
    let origin: HashMap<_, _> = sent
        .iter()
        .map(|s| (s.id.clone(), (s.machine, s.at)))
        .collect();
    let runs = record.runs.lock().unwrap().clone();
    let counted = runs.iter().filter(|run| {
        let from = origin.get(&run.id);
        run.service == "calendar"
            && (ordered..deadline).contains(&run.at)
            && from.is_some_and(|(machine, _)| !is_troubled || *machine != holder)
    });
    let counted: Vec<_> = counted.collect();
    let bad: Vec<_> = counted.iter().filter(|run| run.version == "v2").collect();
    let allowed = EXPOSE_SHARE * counted.len() as f64 + EXPOSE_SLACK;
    record.note(&format!(
        "EXPOSURE, share: v2 got {} of {} requests between its order and its deadline, {allowed:.0} are allowed",
        bad.len(),
        counted.len()
    ));
    let fiftieth = bad
        .iter()
        .filter(|run| run.status == 500)
        .nth(49)
        .map(|run| run.at);
    let late = fiftieth.map_or(0, |at| {
        let sent_at = |id: &str| origin.get(id).map_or(Duration::ZERO, |(_, at)| *at);
        let from = at + Duration::from_millis(5_000);
        bad.iter().filter(|run| sent_at(&run.id) > from).count()
    });
    record.note(&format!(
        "EXPOSURE, roll-back: 50th bad answer at {fiftieth:?}, requests sent over 5 s later: {late}"
    ));
    Ok(match bad.len() as f64 > allowed || late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
