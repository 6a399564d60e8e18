//! Threads of a role: a multi-threaded runtime for traffic and one thread for control tasks.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::JoinHandle,
};

use thiserror::Error;
use tokio::{runtime::Runtime, sync::oneshot};

/// An error while starting a role.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address could not be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The threads could not be started.
    #[error("cannot start threads: {0}")]
    Threads(io::Error),
}

/// Starts a runtime with `threads` worker threads named `name`.
pub fn traffic_runtime(name: &str, threads: usize) -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(StartError::Threads)
}

/// A thread that runs the control tasks of a role.
#[derive(Debug)]
pub struct ControlThread {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts a thread of the given name that runs `work` until it completes or is stopped.
    pub fn start<F>(name: &str, work: F) -> Result<Self, StartError>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(StartError::Threads)?;
        let (stop, stopped) = oneshot::channel();
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = work => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run);
        Ok(ControlThread { stop, thread: thread.map_err(StartError::Threads)? })
    }

    /// Stops the thread and waits for it to end.
    pub fn stop(self) {
        // NB: fails only if the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
