//! Renders a schema as Markdown tables.

use crate::key::{Kind, Presence, Spec};
use crate::schema::Schema;
use std::fmt::Write;

/// Renders one table per section.
pub(crate) fn render(schema: &Schema) -> String {
    let mut out = String::new();
    for section in schema.sections() {
        if !out.is_empty() {
            out.push('\n');
        }
        push_line(&mut out, &format!("### `[{}]`\n", section.name));
        push_line(&mut out, &format!("{}\n", section.doc));
        push_line(
            &mut out,
            "| key | type | unit | default | range | meaning |",
        );
        push_line(&mut out, "|---|---|---|---|---|---|");
        for spec in schema.keys_of(section.name) {
            push_line(&mut out, &row(spec));
        }
    }
    out
}

fn push_line(out: &mut String, line: &str) {
    writeln!(out, "{line}").expect("writing to a string cannot fail");
}

fn row(spec: &Spec) -> String {
    let default = match spec.presence {
        Presence::Required => "(required)".to_owned(),
        Presence::Optional => "(none)".to_owned(),
        Presence::Default("") => "(empty)".to_owned(),
        Presence::Default(text) => format!("`{text}`"),
    };
    let unit = match spec.kind {
        Kind::Milliseconds { .. } => "ms",
        _ => spec.unit,
    };
    let cells = [
        format!("`{}`", spec.key),
        type_name(spec.kind).to_owned(),
        unit.to_owned(),
        default,
        range(spec.kind),
        spec.doc.to_owned(),
    ];
    let cells = cells.map(|c| c.replace('|', "\\|"));
    format!("| {} |", cells.join(" | "))
}

fn type_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Text => "text",
        Kind::Name => "name",
        Kind::Choice(_) => "word",
        Kind::Integer { .. } => "integer",
        Kind::Boolean => "boolean",
        Kind::Address => "address",
        Kind::Addresses => "addresses",
        Kind::Milliseconds { .. } => "duration",
        Kind::Path { must_exist: true } => "existing file",
        Kind::Path { must_exist: false } => "path",
    }
}

fn range(kind: Kind) -> String {
    match kind {
        Kind::Integer { min, max } | Kind::Milliseconds { min, max } => format!("{min} to {max}"),
        Kind::Choice(words) => words.join(", "),
        Kind::Boolean => "true, false".to_owned(),
        _ => String::new(),
    }
}
