//! Plays the scripts of this review: the project's programs on loopback, with stand-ins for
//! clients, servers and the operator.
//!
//! `review-rig CASE FOLDER` writes `record.txt` to the folder. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod contradicted;
mod http;
mod late_heartbeat;
mod mesh;
mod unordered;
mod withdrawn;

use mesh::{CHILDREN, Record};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;
use std::{env, thread};

/// What a case found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = env::var("TROUBLE")
        .is_ok_and(|value| value == "0")
        .eq(&false);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        for pid in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -KILL {pid}"))
                .status();
        }
        std::process::exit(2);
    });
    let root = PathBuf::from(".");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("no record: {err}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "withdrawn" => withdrawn::run(&root, &record, is_troubled),
        "contradicted" => contradicted::run(&root, &record, is_troubled),
        "late-heartbeat" => late_heartbeat::run(&root, &record, is_troubled),
        "unordered" => unordered::run(&root, &record, is_troubled),
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.note(&format!("the case could not run: {err}"));
            ExitCode::from(2)
        }
    }
}
