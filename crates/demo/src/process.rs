//! Child processes that are killed when their handle is dropped.

use anyhow::Context;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process with its log file; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Returns the folder of the built programs: that of the running one, or its parent if the running
/// one is a test or an example.
fn programs() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own
        .parent()
        .context("the path of the program has no parent")?;
    let folder = match folder.ends_with("deps") || folder.ends_with("examples") {
        true => folder
            .parent()
            .context("the folder of the tests has no parent")?,
        false => folder,
    };
    Ok(folder.to_owned())
}

impl Process {
    /// Starts `program` with a settings file. Its output is appended to a file of the same name with
    /// the extension `log`.
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

    /// Process id at the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Output of the program so far; empty if the log file cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal by its name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent, for example since the process has exited.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status()?;
        anyhow::ensure!(status.success(), "could not send {name}");
        Ok(())
    }

    /// Waits until the process has exited, for at most `wait`.
    ///
    /// # Errors
    ///
    /// The process still runs after `wait`.
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
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
