//! A heartbeat arrives late at a node that was started again after it had acknowledged that
//! the server has left.

use crate::Verdict;
use crate::mesh::{Behaviour, Clients, Mesh, Record, statuses};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const DRAIN: Duration = Duration::from_millis(2_500);
const STABLE: Duration = Duration::from_millis(4_000);
/// From the acknowledgement to the arrival of the heartbeat.
const LATE_BY: Duration = Duration::from_millis(11_000);
/// From the acknowledgement to the end of the server.
const SERVES_FOR: Duration = Duration::from_millis(15_000);

pub fn run(root: &Path, record: &Arc<Record>, is_troubled: bool) -> io::Result<Verdict> {
    let mut mesh = Mesh::start(root, Arc::clone(record))?;
    mesh.start_machines(&Behaviour::default())?;
    let clients_at: Vec<_> = mesh
        .machines
        .iter()
        .map(|m| m.outbound())
        .enumerate()
        .collect();
    // Longer than StableWindowMs.
    sleep(Duration::from_secs(6));
    let limit = Duration::from_secs(60);
    let clients = Clients::start(record, clients_at, &[("GET", "/read/")], 40, limit);
    sleep(Duration::from_secs(3));
    let leaving = 0;
    let name = mesh.machines[leaving].name.clone();
    let sequence = mesh.machines[leaving]
        .sequence
        .load(std::sync::atomic::Ordering::Relaxed);
    if mesh.leave(leaving)? != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    let left = record.now();
    let mut in_touch = left;
    if is_troubled {
        sleep(Duration::from_millis(100));
        mesh.kill(leaving);
        sleep(Duration::from_millis(300));
        mesh.start_again(leaving)?;
        in_touch = record.now() + STABLE;
    }
    sleep((left + LATE_BY).saturating_sub(record.now()));
    // Sent before the DELETE, after the last one that arrived in time.
    mesh.late_heartbeat(leaving, sequence + 1)?;
    sleep((left + SERVES_FOR).saturating_sub(record.now()));
    mesh.stop_server(leaving);
    record.note(&format!("the server of {name} ends"));
    let sent = clients.finish();
    record.note(&format!("answers: {}", statuses(&sent)));
    let from = in_touch.max(left + DRAIN);
    let runs = record.runs.lock().unwrap().clone();
    let late = runs
        .iter()
        .filter(|run| run.machine == name && run.at > from);
    let late = late.count();
    record.note(&format!(
        "DRAIN: requests at the server later than DrainMs after the acknowledgement: {late}"
    ));
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
