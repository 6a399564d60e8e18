//! Records panics, so that they appear in the event log and in the metrics.
//!
//! The runtime catches a panic in a task and ends only that task. Without a record, an entry that
//! has stopped doing a part of its work looks like a healthy one.

use std::{
    panic::{self, PanicHookInfo},
    sync::{Mutex, Once, PoisonError},
};

/// Maximum number of panics recorded between two reads; the rest is only counted.
const MAX_RECORDED: usize = 16;
/// Maximum length of a recorded message in characters.
const MAX_MESSAGE_CHARS: usize = 200;

static RECORDED: Mutex<Recorded> = Mutex::new(Recorded { panics: Vec::new(), count: 0 });
static HOOK: Once = Once::new();

/// A recorded panic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PanicRecord {
    /// Source file, line and column.
    pub place: String,
    /// Message of the panic.
    pub message: String,
}

/// Panics since the last read.
#[derive(Debug, Default)]
pub struct Recorded {
    /// The first of them.
    pub panics: Vec<PanicRecord>,
    /// Number of all of them.
    pub count: usize,
}

/// Records all later panics of the process, which are reported on standard error as before.
pub fn install_hook() {
    HOOK.call_once(|| {
        let report = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            record(info);
            report(info);
        }));
    });
}

/// Removes and returns the panics recorded since the last call.
pub fn take_recorded() -> Recorded {
    std::mem::take(&mut *RECORDED.lock().unwrap_or_else(PoisonError::into_inner))
}

fn record(info: &PanicHookInfo<'_>) {
    // The lock may be held by a panic that happened while the record was read.
    let Ok(mut recorded) = RECORDED.try_lock() else { return };
    recorded.count += 1;
    if recorded.panics.len() < MAX_RECORDED {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let message = info.payload_as_str().unwrap_or_default();
        let message = message.chars().take(MAX_MESSAGE_CHARS).collect();
        recorded.panics.push(PanicRecord { place, message });
    }
}
