//! A node is killed and started again while servers of a version that was not ordered run.

use crate::Verdict;
use crate::mesh::{Behaviour, Clients, Mesh, Record, statuses};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Time for which the node is down.
const DOWN: Duration = Duration::from_millis(3_500);

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
    // Servers of the next version start beside the old ones; nobody has ordered it yet.
    for zone in 0..4 {
        let machine = mesh.add(zone, "calendar", "v2")?;
        mesh.start_server(machine, Behaviour::default())?;
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
    let runs_of_v2 = || {
        record
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.version == "v2")
            .count()
    };
    record.note(&format!("runs of v2 so far: {}", runs_of_v2()));
    if is_troubled {
        let node = 1;
        mesh.kill(node);
        sleep(DOWN);
        mesh.start_again(node)?;
    }
    sleep(Duration::from_secs(20));
    let sent = clients.finish();
    record.note(&format!("answers: {}", statuses(&sent)));
    let count = runs_of_v2();
    record.note(&format!(
        "ROUTE: requests run by v2, to which nothing that was ever written sends any: {count}"
    ));
    Ok(match count > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
