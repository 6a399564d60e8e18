//! Child processes of the soak.

use std::{
    fs::{self, File},
    path::Path,
    process::Stdio,
};

use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::process::{Child as Process, ChildStdout, Command};

use crate::records::MemoryUse;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: Process,
}

impl Child {
    /// Starts this program in another role and appends its output to the file `log`.
    pub fn start(arguments: &[&str], log: &Path) -> anyhow::Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        let errors = file.try_clone()?;
        Ok(Child { process: spawn(arguments, Stdio::from(file), Stdio::from(errors))? })
    }

    /// Starts this program in another role with a pipe as its standard output; standard error goes to `log`.
    pub fn start_piped(arguments: &[&str], log: &Path) -> anyhow::Result<(Self, ChildStdout)> {
        let file = File::options().create(true).append(true).open(log)?;
        let mut process = spawn(arguments, Stdio::piped(), Stdio::from(file))?;
        let output = process.stdout.take().context("standard output is not a pipe")?;
        Ok((Child { process }, output))
    }

    /// Sends a signal to the process, unless it has exited.
    pub fn signal(&self, signal: Signal) {
        let Some(id) = self.process.id().and_then(|id| i32::try_from(id).ok()) else { return };
        // The process may have exited meanwhile; its id is not reused before it is reaped.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) {
        // Fails if the process was reaped before.
        let _ = self.process.wait().await;
    }

    /// Returns a number that distinguishes the process from others of the run.
    pub fn number(&self) -> u32 {
        self.process.id().unwrap_or_default()
    }

    /// Returns the memory of the process; `None` if it has exited.
    pub fn memory(&self) -> Option<MemoryUse> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()?)).ok()?;
        let field = |name: &str| -> Option<u64> {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().trim_end_matches(" kB").parse().ok()
        };
        Some(MemoryUse { resident_kb: field("VmRSS:")?, peak_kb: field("VmHWM:")? })
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

fn spawn(arguments: &[&str], output: Stdio, errors: Stdio) -> anyhow::Result<Process> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(output).stderr(errors).kill_on_drop(true);
    command.spawn().with_context(|| format!("starting {arguments:?}"))
}
