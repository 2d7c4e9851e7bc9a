//! The settings page of the operators' documentation is generated from the schemas
//! of the programs.

use knapweed_settings::Schema;
use std::path::Path;

/// Environment variable that makes the test write the page instead of comparing it.
const UPDATE: &str = "UPDATE_DOCS";

const INTRODUCTION: &str = "# Settings\n\n\
This page is made from the schemas of the programs. After a change of a schema, run\n\
`UPDATE_DOCS=1 cargo nextest run -p knapweed-daemon --test settings_page` and commit it.\n\n\
Every program takes its settings file with `--settings FILE`, and checks it and exits\n\
with `--check`. A bad file is told with file, line and key, and gives exit code 2. In\n\
the column `default`, `(required)` marks keys that must be set and `(none)` keys that\n\
may be absent. Paths are relative to the folder of the settings file unless a key\n\
says otherwise. `knapweedctl` has no settings file.\n";

/// A program with a section in the page.
struct Program {
    name: &'static str,
    example: &'static str,
    schema: Schema,
}

fn programs() -> [Program; 5] {
    [
        Program {
            name: "knapweed-node",
            example: "etc/knapweed-node.ini",
            schema: knapweed_daemon::settings::schema(),
        },
        Program {
            name: "knapweed-report",
            example: "etc/report.ini",
            schema: knapweed_report::settings::schema(),
        },
        Program {
            name: "knapweed-load",
            example: "etc/load.ini",
            schema: knapweed_load::settings::schema(),
        },
        Program {
            name: "knapweed-fake-platform",
            example: "etc/fake-platform.ini",
            schema: knapweed_platform::stand_in::settings::schema(),
        },
        Program {
            name: "knapweed-fake-backend",
            example: "etc/fake-backend.ini",
            schema: knapweed_fake_backend::settings::schema(),
        },
    ]
}

fn page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for program in programs() {
        let Program {
            name,
            example,
            schema,
        } = program;
        let tables = schema.to_markdown();
        page += &format!(
            "\n## {name}\n\nExample: `{example}`.\n\n{}\n",
            tables.trim()
        );
    }
    page
}

/// Guards against a page that is out of date with the schemas.
#[test]
fn the_page_fits_the_schemas() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&file, page()).expect("the page is written");
    }
    let written = std::fs::read_to_string(&file).expect("the page");
    assert_eq!(written, page());
}
