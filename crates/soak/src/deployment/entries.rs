//! Entries and the faults injected into them.

use std::{
    cell::{Cell, RefCell},
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use anyhow::ensure;
use bytes::Bytes;
use hyper::Method;
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep, timeout};

use super::{
    Deployment, READY_POLL, START_TIMEOUT, addresses::Addresses, servers::data_centre_of,
    store::call,
};
use crate::{
    checks::{COLD_OVERSHOOT, COLD_TOLERANCE},
    child::Child,
    options::Plan,
    proxy::Proxy,
    records::{Span, TimeUs, now_us},
    retry_budget::{EXTRA, RATIO, WINDOW},
};

/// Signals of a stop, one after the other.
const STOP_SIGNALS: [Signal; 4] =
    [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP];
/// Number of signals that follow one another.
const SIGNALS_IN_SERIES: usize = 4;
/// Time between two of them.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(3);
/// Time until a started program has begun.
const PROGRAM_START_TIME: Duration = Duration::from_millis(25);
/// Time for a process to exit after SIGTERM; then it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a resumed or started entry may still be catching up, in microseconds.
const CATCH_UP_US: TimeUs = 1_000_000;

/// An entry process with its addresses.
pub struct EntrySlot {
    /// Process; `None` while an action controls it.
    pub child: RefCell<Option<Child>>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness probe.
    pub readiness_address: SocketAddr,
    /// Proxy through which the entry reaches the store, and its address.
    pub store_proxy: Rc<Proxy>,
    pub store_proxy_address: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Result of the last readiness probe.
    pub is_ready: Cell<bool>,
}

impl Deployment {
    /// Stops an entry gracefully, with further signals meanwhile, and starts it again; does nothing
    /// if it is not running.
    pub async fn stop(&self, entry: usize) -> anyhow::Result<()> {
        let Some(mut child) = self.entries[entry].child.take() else { return Ok(()) };
        let from_us = now_us();
        for signal in STOP_SIGNALS {
            child.signal(signal);
            sleep(SIGNAL_INTERVAL).await;
        }
        let ended_in_time = timeout(STOP_TIMEOUT, child.wait()).await.is_ok();
        let span = Span { from_us, to_us: now_us() };
        self.records.borrow_mut().stopped.entry(entry).or_default().push(span);
        self.restart(entry, child, span.to_us).await?;
        ensure!(ended_in_time, "entry {entry} did not exit within {STOP_TIMEOUT:?}");
        Ok(())
    }

    /// Sends several reload signals to an entry; does nothing if it is not running.
    pub async fn reload(&self, entry: usize) {
        for _ in 0..SIGNALS_IN_SERIES {
            if let Some(child) = &*self.entries[entry].child.borrow() {
                child.signal(Signal::SIGHUP);
            }
            sleep(SIGNAL_INTERVAL).await;
        }
    }

    /// Kills an entry, starts it again and sends it reload signals during the start; does nothing if
    /// it is not running.
    pub async fn signal_during_start(&self, entry: usize) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        let Some(mut child) = slot.child.take() else { return Ok(()) };
        let from_us = now_us();
        slot.is_ready.set(false);
        child.signal(Signal::SIGKILL);
        child.wait().await;
        self.start_entry(entry)?;
        // A signal that arrives before the program has begun ends it, whatever the program does.
        sleep(PROGRAM_START_TIME).await;
        self.reload(entry).await;
        self.wait_until_entry_is_ready(entry).await;
        self.record_disturbance(entry, from_us);
        Ok(())
    }

    /// Kills an entry and starts it again; does nothing if it is not running.
    pub async fn kill(&self, entry: usize) -> anyhow::Result<()> {
        let Some(child) = self.entries[entry].child.take() else { return Ok(()) };
        let from_us = now_us();
        self.restart(entry, child, from_us).await
    }

    /// Suspends an entry for `time`; does nothing if it is not running.
    pub async fn pause(&self, entry: usize, time: Duration) {
        let slot = &self.entries[entry];
        let Some(child) = slot.child.take() else { return };
        let from_us = now_us();
        child.signal(Signal::SIGSTOP);
        sleep(time).await;
        child.signal(Signal::SIGCONT);
        *slot.child.borrow_mut() = Some(child);
        self.record_disturbance(entry, from_us);
    }

    async fn restart(&self, entry: usize, mut child: Child, from_us: TimeUs) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        slot.is_ready.set(false);
        child.signal(Signal::SIGKILL);
        child.wait().await;
        self.start_entry(entry)?;
        self.wait_until_entry_is_ready(entry).await;
        self.record_disturbance(entry, from_us);
        Ok(())
    }

    async fn wait_until_entry_is_ready(&self, entry: usize) {
        let limit = Instant::now() + START_TIMEOUT;
        while !self.entries[entry].is_ready.get() && Instant::now() < limit {
            sleep(READY_POLL).await;
        }
    }

    fn record_disturbance(&self, entry: usize, from_us: TimeUs) {
        let span = Span { from_us, to_us: now_us() + CATCH_UP_US };
        self.records.borrow_mut().disturbed.entry(entry).or_default().push(span);
    }

    pub(super) fn start_entry(&self, entry: usize) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        let settings = slot.settings.to_string_lossy();
        let store = slot.store_proxy_address.to_string();
        let log = self.folder.join(format!("entry-{entry}.log"));
        *slot.child.borrow_mut() = Some(Child::start(&["entry", &settings, &store], &log)?);
        Ok(())
    }

    /// Records whether the process of an entry has ended by itself, and its memory.
    fn observe_process(&self, entry: usize) {
        let slot = &self.entries[entry];
        let mut child = slot.child.borrow_mut();
        let Some(child) = child.as_mut() else { return };
        let mut records = self.records.borrow_mut();
        if child.has_exited() {
            records.ended_by_themselves.insert(entry);
            return;
        }
        if let (true, Some(memory)) = (slot.is_ready.get(), child.memory()) {
            records.memory.entry((entry, child.number())).or_default().push(memory);
        }
    }

    /// Probes the readiness of an entry periodically, as a load balancer does.
    pub(super) async fn poll_readiness(self: Rc<Self>, entry: usize) {
        let slot = &self.entries[entry];
        let path = pondwalk_platform::dialect().readiness_path;
        loop {
            self.observe_process(entry);
            let answer = call(slot.readiness_address, Method::GET, path, Bytes::new()).await;
            slot.is_ready.set(answer.is_ok());
            sleep(READY_POLL).await;
        }
    }
}

/// Allocates the addresses of all entries and writes their settings.
pub async fn prepare_entries(
    plan: &Plan,
    addresses: &Addresses,
    store: SocketAddr,
) -> anyhow::Result<Vec<EntrySlot>> {
    let mut peers = Vec::new();
    for _ in 0..plan.size.entries {
        peers.push(addresses.allocate().await?);
    }
    let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
    let mut slots = Vec::new();
    for (entry, peers) in peers.into_iter().enumerate() {
        let (caller_address, readiness_address) =
            (addresses.allocate().await?, addresses.allocate().await?);
        let store_proxy_address = addresses.allocate().await?;
        let store_proxy = Proxy::start(store_proxy_address, store).await?;
        let settings = plan.folder.join(format!("entry-{entry}.ini"));
        let text = format!(
            "[direct]\nname = e{entry}\ndata_centre = {}\ncallers = {caller_address}\n\
             readiness = {readiness_address}\npeers = {peers}\nkey_bound_ms = 5000\ngrace_s = 6\n\
             session_ttl_s = 5\n[membership]\nseeds = {}\npropagation_ms = 2000\n\
             evacuation_ms = 2000\n[warm_up]\novershoot = {COLD_OVERSHOOT}\n\
             tolerance = {COLD_TOLERANCE}\nheartbeat_ms = 1200\n[retries]\nratio = {RATIO}\nextra = {EXTRA}\nwindow_s = {}\n\
             [roll_out]\nexposure = 0.08\n\
             [store]\naddress = {store}\ntimeout_ms = 1500\nwatch_wait_ms = 1500\n",
            data_centre_of(entry),
            seeds.join(","),
            WINDOW.as_secs(),
        );
        fs::write(&settings, text)?;
        let (child, is_ready) = (RefCell::default(), Cell::new(false));
        slots.push(EntrySlot {
            child,
            caller_address,
            readiness_address,
            store_proxy,
            store_proxy_address,
            settings,
            is_ready,
        });
    }
    Ok(slots)
}
