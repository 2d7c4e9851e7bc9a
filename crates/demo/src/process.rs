//! Child processes that end with their handle.

use anyhow::Context;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between looks at a process that should end.
const POLL: Duration = Duration::from_millis(10);

/// A running program with its log file.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// The folder of the built programs: that of the running one, or its parent for a test.
fn programs() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("a program stands in a folder")?;
    let folder = match folder.ends_with("deps") || folder.ends_with("examples") {
        true => folder
            .parent()
            .context("the folder of tests has a parent")?,
        false => folder,
    };
    Ok(folder.to_owned())
}

impl Process {
    /// Starts `program` with its settings file; its log goes beside that file.
    ///
    /// # Errors
    ///
    /// The program is not built or cannot be started.
    pub fn start(program: &str, settings: &Path) -> anyhow::Result<Self> {
        let path = programs()?.join(program);
        let log = settings.with_extension("log");
        let file = File::options().append(true).create(true).open(&log)?;
        let child = Command::new(&path)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .with_context(|| format!("could not start {}", path.display()))?;
        Ok(Self { child, log })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the program has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal by its name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status()?;
        anyhow::ensure!(status.success(), "could not send {name}");
        Ok(())
    }

    /// Waits until the process has ended, at most `wait`.
    ///
    /// # Errors
    ///
    /// It still runs.
    pub fn wait(&mut self, wait: Duration) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            anyhow::ensure!(
                start.elapsed() < wait,
                "the process still runs after {wait:?}"
            );
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
