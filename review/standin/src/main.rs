//! `review-standin CASE RECORD`: plays a case, and exits with 1 if the rule was broken.

mod late_beats;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let (case, record) = (args[1].clone(), args[2].clone());
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "late-beats" => late_beats::play(trouble, Path::new(&record)),
        _ => panic!("no such case"),
    });
    match result {
        Ok(0) => println!("the rule held"),
        Ok(broken) => {
            println!("the rule was broken {broken} times");
            exit(1);
        }
        Err(_) => exit(2),
    }
}
