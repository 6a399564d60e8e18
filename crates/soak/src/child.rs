//! Processes that the soak starts, and ends by their ids.

use std::{fs::File, path::Path, process::Stdio};

use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::process::{Child as Process, ChildStdout, Command};

/// One process; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: Process,
}

impl Child {
    /// Starts this program in another role. What it writes goes to the file `log`.
    pub fn start(arguments: &[&str], log: &Path) -> anyhow::Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        let errors = file.try_clone()?;
        Ok(Child { process: spawn(arguments, Stdio::from(file), Stdio::from(errors))? })
    }

    /// The same with standard output as a pipe.
    pub fn start_piped(arguments: &[&str], log: &Path) -> anyhow::Result<(Self, ChildStdout)> {
        let file = File::options().create(true).append(true).open(log)?;
        let mut process = spawn(arguments, Stdio::piped(), Stdio::from(file))?;
        let output = process.stdout.take().context("a pipe")?;
        Ok((Child { process }, output))
    }

    /// Sends it a signal, unless it has ended.
    pub fn signal(&self, signal: Signal) {
        let Some(id) = self.process.id().and_then(|id| i32::try_from(id).ok()) else { return };
        // NB: it may have ended meanwhile; its id is not given away before it was waited for.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self) {
        // NB: an error says that it was waited for before.
        let _ = self.process.wait().await;
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

fn spawn(arguments: &[&str], output: Stdio, errors: Stdio) -> anyhow::Result<Process> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(output).stderr(errors).kill_on_drop(true);
    command.spawn().with_context(|| format!("starting {arguments:?}"))
}
