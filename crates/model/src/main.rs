//! `knapweed-model`: compares the policy of the product with baseline policies.

use anyhow::Context;
use clap::Parser;
use knapweed_model::{Pattern, Policy, plot, result, run};
use std::path::PathBuf;

/// Simulates load patterns on a modelled mesh and compares scheduling policies.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Name of the only pattern to run; by default all of them.
    #[arg(long)]
    pattern: Option<String>,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the plots, one SVG file for each pattern.
    #[arg(long)]
    plots: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let is_wanted = |p: &Pattern| args.pattern.as_ref().is_none_or(|name| name == p.name());
    let patterns: Vec<_> = Pattern::ALL.into_iter().filter(is_wanted).collect();
    if patterns.is_empty() {
        let names = Pattern::ALL.map(Pattern::name).join(", ");
        anyhow::bail!("unknown pattern; expected one of: {names}");
    }
    for pattern in patterns {
        let rows = Policy::ALL.map(|p| (p.name(), run(pattern, p, args.seed)));
        println!("{}", result::table(pattern.name(), &rows));
        if let Some(dir) = &args.plots {
            let path = dir.join(format!("{}.svg", pattern.name().replace(' ', "-")));
            let svg = plot::draw(pattern.name(), &rows)?;
            std::fs::write(&path, svg)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
    }
    Ok(())
}
