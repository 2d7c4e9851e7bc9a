//! Settings of `knapweed-report`: sources of histories, and objectives.

use crate::Objective;
use crate::objective::parse_service;
use knapweed_settings::{Errors, Key, Schema, Settings};
use knapweed_world::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const REPORT: &str = "report";
const OBJECTIVES: &str = "objectives";

const NODES: Key<Vec<SocketAddr>> = Key::addresses(REPORT, "nodes")
    .default("")
    .doc("Operator ports of the nodes to ask.");
const FILES: Key<Option<String>> = Key::text(REPORT, "files")
    .doc("Saved histories to add, separated by commas; relative to the working folder.")
    .optional();
const TIMEOUT: Key<Duration> = Key::milliseconds(REPORT, "timeout_ms", 100, 60_000)
    .default("5000")
    .doc("Longest wait for the history of a node.");
const BUDGET_DAYS: Key<u64> = Key::integer(REPORT, "budget_days", 1, 366)
    .default("30")
    .unit("days")
    .doc("Period that the budgets are for.");

const SERVICES: Key<Option<String>> = Key::text(OBJECTIVES, "services")
    .doc("Service, availability in percent, latency bound in ms and share within it in percent; several are separated by commas.")
    .optional();
const DEFAULT: Key<Option<String>> = Key::text(OBJECTIVES, "default")
    .doc("Objective of all other services, without a name; when absent they are only counted.")
    .optional();

/// Schema of the settings file, for loading and for the generated settings page.
pub fn schema() -> Schema {
    let report = [NODES.spec, FILES.spec, TIMEOUT.spec, BUDGET_DAYS.spec];
    let objectives = [SERVICES.spec, DEFAULT.spec];
    Schema::new()
        .section(REPORT, "Where the histories come from.", &report)
        .section(OBJECTIVES, "What the services promise.", &objectives)
}

/// Validated settings of a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// Operator addresses of the nodes to query.
    pub nodes: Vec<SocketAddr>,
    /// Files with saved histories.
    pub files: Vec<PathBuf>,
    /// Timeout of the query of one node.
    pub timeout: Duration,
    /// Period of the error budgets.
    pub budget: Duration,
    /// Objectives by name of the service.
    pub objectives: BTreeMap<Name, Objective>,
    /// Objective of all other services; `None` when they are only counted.
    pub default_objective: Option<Objective>,
}

/// Lookup of objectives.
impl Options {
    /// Objective of `service`, or else the default objective.
    pub fn objective(&self, service: &Name) -> Option<Objective> {
        let own = self.objectives.get(service).copied();
        own.or(self.default_objective)
    }
}

/// Seconds in a day.
const DAY_S: u64 = 24 * 60 * 60;

/// Loads and validates a settings file.
///
/// # Errors
///
/// Fails when the file cannot be read, and reports the invalid settings with
/// their lines.
pub fn load(file: &Path) -> Result<Options, Errors> {
    let settings = schema().load(file)?;
    let default_objective = match settings.get(&DEFAULT) {
        Some(text) => Some(
            text.parse()
                .map_err(|e: crate::objective::Error| settings.reject(&DEFAULT, e.to_string()))?,
        ),
        None => None,
    };
    let options = Options {
        nodes: settings.get(&NODES),
        files: files(&settings),
        timeout: settings.get(&TIMEOUT),
        budget: Duration::from_secs(settings.get(&BUDGET_DAYS) * DAY_S),
        objectives: objectives(&settings)?,
        default_objective,
    };
    Ok(options)
}

fn files(settings: &Settings) -> Vec<PathBuf> {
    let text = settings.get(&FILES).unwrap_or_default();
    let files = text.split(',').map(str::trim).filter(|f| !f.is_empty());
    files.map(PathBuf::from).collect()
}

fn objectives(settings: &Settings) -> Result<BTreeMap<Name, Objective>, Errors> {
    let text = settings.get(&SERVICES).unwrap_or_default();
    let mut objectives = BTreeMap::new();
    for item in text.split(',').filter(|i| !i.trim().is_empty()) {
        let (service, objective) =
            parse_service(item).map_err(|e| settings.reject(&SERVICES, e.to_string()))?;
        if objectives.insert(service.clone(), objective).is_some() {
            return Err(settings.reject(&SERVICES, format!("{service} has two objectives")));
        }
    }
    Ok(objectives)
}
