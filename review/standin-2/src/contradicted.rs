//! Versions turn bad shortly before their rollouts complete.

use crate::Verdict;
use crate::mesh::{Behaviour, Clients, Mesh, Record, SERVICES, statuses};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// `DurationS` of the orders.
const ORDER: Duration = Duration::from_secs(16);
/// Services that get a new version, and when it turns bad after its order.
const MOVED: [(usize, u64); 2] = [(0, 14_360), (2, 14_460)];
const FIRST: &[(&str, &str)] = &[("GET", "/read/"), ("POST", "/order/"), ("POST", "/survey/")];
const ADDED: [&[(&str, &str)]; 3] = [
    &[("GET", "/more-0/")],
    &[("GET", "/more-1/")],
    &[("GET", "/more-2/")],
];

pub fn run(root: &Path, record: &Arc<Record>, is_troubled: bool) -> io::Result<Verdict> {
    let mut mesh = Mesh::start(root, Arc::clone(record))?;
    mesh.start_machines(&Behaviour::default())?;
    let old = mesh.machines.len();
    let clients_at: Vec<_> = mesh
        .machines
        .iter()
        .map(|m| m.outbound())
        .enumerate()
        .collect();
    let clients = Clients::start(record, clients_at, FIRST, 90, Duration::from_secs(60));
    sleep(Duration::from_secs(5));
    let ordered = record.now();
    let mut bad_from = Vec::new();
    for (number, _) in MOVED {
        let service = SERVICES[number];
        let spec = format!(
            r#"{{"Service": "{service}", "TargetVersion": "v2", "DurationS": {}}}"#,
            ORDER.as_secs()
        );
        mesh.write("rollouts", service, &spec, false)?;
        bad_from.push(Arc::new(AtomicU64::new(u64::MAX)));
    }
    for zone in 0..4 {
        for (index, (number, _)) in MOVED.into_iter().enumerate() {
            let machine = mesh.add(zone, SERVICES[number], "v2")?;
            let behaviour = Behaviour {
                fails_one_in: 2,
                fails_from_ms: Arc::clone(&bad_from[index]),
                ..Behaviour::default()
            };
            mesh.start_server(machine, behaviour)?;
        }
    }
    if is_troubled {
        for (from, (_, after)) in bad_from.iter().zip(MOVED) {
            from.store(ordered.as_millis() as u64 + after, Ordering::Relaxed);
        }
    }
    // The platform stops the old servers when it reads `completed`.
    let mut completed = [false; 3];
    while record.now() < ordered + ORDER + Duration::from_secs(3) {
        for (number, _) in MOVED {
            let service = SERVICES[number];
            let object = mesh.read(&format!("/objects/rollouts/{service}"));
            if object.contains("\"State\":\"completed\"") && !completed[number] {
                completed[number] = true;
                record.note(&format!(
                    "{service} is reported completed; its old servers stop"
                ));
                for index in (0..old).filter(|i| i % 3 == number) {
                    mesh.stop_server(index);
                    mesh.signal(index, "TERM");
                }
            }
        }
        sleep(Duration::from_millis(50));
    }
    for (number, _) in MOVED {
        let service = SERVICES[number];
        record.note(&mesh.read(&format!("/objects/rollouts/{service}")));
    }
    let sent = clients.finish();
    record.note(&format!("answers until then: {}", statuses(&sent)));
    // Only clients on machines that stay go on.
    let stays = |i: &usize| *i >= old || !completed[i % 3];
    let staying: Vec<_> = (0..mesh.machines.len()).filter(stays).collect();
    let staying: Vec<_> = staying
        .into_iter()
        .map(|i| (i, mesh.machines[i].outbound()))
        .collect();
    sleep(Duration::from_secs(2));
    let further = [
        ("/more-0/", SERVICES[0]),
        ("/more-1/", SERVICES[1]),
        ("/more-2/", SERVICES[2]),
    ];
    mesh.write_config(9, &further)?;
    // Longer than ConfigApplyMs and StableWindowMs.
    sleep(Duration::from_secs(5));
    let limit = Duration::from_secs(10);
    let first = Clients::start(record, staying.clone(), FIRST, 30, limit);
    let added: Vec<_> = ADDED
        .into_iter()
        .map(|requests| Clients::start(record, staying.clone(), requests, 10, limit))
        .collect();
    sleep(Duration::from_secs(10));
    let first = first.finish();
    let share = |sent: &[crate::mesh::Sent]| {
        sent.iter().filter(|s| s.status == 200).count() as f64 / sent.len().max(1) as f64
    };
    let of_first = share(&first);
    record.note(&format!(
        "first routes: {} served {of_first:.2}",
        statuses(&first)
    ));
    let mut is_broken = false;
    for (clients, service) in added.into_iter().zip(SERVICES) {
        let sent = clients.finish();
        let of_added = share(&sent);
        is_broken |= sent.len() >= 20 && of_added < of_first / 4.0;
        record.note(&format!(
            "CONFIG: the added route to {service}: {} served {of_added:.2}",
            statuses(&sent)
        ));
    }
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
