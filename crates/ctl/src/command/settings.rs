//! The command `settings`, which checks settings files.

use crate::args::Settings;
use crate::error::{Error, Exit};
use knapweed_settings::{Errors, section_names};
use std::path::Path;

/// A program with a settings file.
struct Program {
    name: &'static str,
    /// A section by which the program's settings files are recognized. Files of the
    /// node have the section of the fake platform too, so the node is tried first.
    section: &'static str,
    check: fn(&Path) -> Result<(), Errors>,
}

const PROGRAMS: [Program; 5] = [
    Program {
        name: "knapweed-node",
        section: "node",
        check: |file| knapweed_daemon::settings::load(file).map(drop),
    },
    Program {
        name: "knapweed-fake-backend",
        section: "backend",
        check: |file| knapweed_fake_backend::settings::load(file).map(drop),
    },
    Program {
        name: "knapweed-load",
        section: "load",
        check: |file| knapweed_load::settings::load(file).map(drop),
    },
    Program {
        name: "knapweed-report",
        section: "report",
        check: |file| knapweed_report::settings::load(file).map(drop),
    },
    Program {
        name: "knapweed-fake-platform",
        section: "platform",
        check: |file| knapweed_platform::stand_in::settings::load(file).map(drop),
    },
];

/// Checks a settings file and prints its errors with file, line and key.
pub(crate) fn run(command: Settings) -> Result<Exit, Error> {
    let Settings::Check { file } = command;
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("{}: cannot read the file: {err}", file.display());
            return Ok(Exit::Usage);
        }
    };
    let Some(program) = program_of(&text) else {
        let sections = PROGRAMS.map(|program| format!("[{}]", program.section));
        eprintln!(
            "{}: cannot tell which program the file is for: it has none of the sections {}",
            file.display(),
            sections.join(", ")
        );
        return Ok(Exit::Usage);
    };
    match (program.check)(&file) {
        Ok(()) => {
            println!(
                "{}: the settings of {} are valid",
                file.display(),
                program.name
            );
            Ok(Exit::Done)
        }
        Err(errors) => {
            eprintln!("{errors}");
            Ok(Exit::Usage)
        }
    }
}

/// Finds the program that a settings file is for.
fn program_of(text: &str) -> Option<&'static Program> {
    let sections = section_names(text);
    let mut programs = PROGRAMS.iter();
    programs.find(|program| sections.contains(&program.section))
}
