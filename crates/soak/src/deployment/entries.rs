//! Entries, and what is done to them.

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
    Deployment, READY_LOOK, START_LIMIT, addresses::Addresses, servers::data_centre_of, store::call,
};
use crate::{
    checks::{COLD_OVERSHOOT, COLD_TOLERANCE},
    child::Child,
    options::Plan,
    records::{Span, TimeUs, now_us},
};

/// Time for a process to end after it was told to; then it is killed.
const GRACE: Duration = Duration::from_secs(8);
/// Time for which an entry that was paused or started may still be catching up.
const CATCHING_UP: TimeUs = 1_000_000;

/// One entry.
pub struct EntrySlot {
    /// Its process, while it runs and nothing is done to it.
    pub child: RefCell<Option<Child>>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub readiness: SocketAddr,
    /// Its settings.
    pub settings: PathBuf,
    /// Whether it said so when last asked.
    pub is_ready: Cell<bool>,
}

impl Deployment {
    /// Stops an entry as planned and starts it again; nothing if it is not running.
    pub async fn stop(&self, entry: usize) -> anyhow::Result<()> {
        let Some(mut child) = self.entries[entry].child.take() else { return Ok(()) };
        child.signal(Signal::SIGTERM);
        let ended_in_time = timeout(GRACE, child.ended()).await.is_ok();
        self.restart(entry, child, now_us()).await?;
        ensure!(ended_in_time, "entry {entry} did not end within {GRACE:?}");
        Ok(())
    }

    /// Kills an entry and starts it again; nothing if it is not running.
    pub async fn kill(&self, entry: usize) -> anyhow::Result<()> {
        let Some(child) = self.entries[entry].child.take() else { return Ok(()) };
        let from_us = now_us();
        self.restart(entry, child, from_us).await
    }

    /// Lets an entry stand still for a while; nothing if it is not running.
    pub async fn pause(&self, entry: usize, time: Duration) {
        let slot = &self.entries[entry];
        let Some(child) = slot.child.take() else { return };
        let from_us = now_us();
        child.signal(Signal::SIGSTOP);
        sleep(time).await;
        child.signal(Signal::SIGCONT);
        *slot.child.borrow_mut() = Some(child);
        self.note_disturbed(entry, from_us);
    }

    async fn restart(&self, entry: usize, mut child: Child, from_us: TimeUs) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        slot.is_ready.set(false);
        child.signal(Signal::SIGKILL);
        child.ended().await;
        self.start_entry(entry)?;
        let limit = Instant::now() + START_LIMIT;
        while !slot.is_ready.get() && Instant::now() < limit {
            sleep(READY_LOOK).await;
        }
        self.note_disturbed(entry, from_us);
        Ok(())
    }

    fn note_disturbed(&self, entry: usize, from_us: TimeUs) {
        let span = Span { from_us, to_us: now_us() + CATCHING_UP };
        self.records.borrow_mut().disturbed.entry(entry).or_default().push(span);
    }

    pub(super) fn start_entry(&self, entry: usize) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        let settings = slot.settings.to_string_lossy();
        let log = self.folder.join(format!("entry-{entry}.log"));
        *slot.child.borrow_mut() = Some(Child::start(&["entry", &settings], &log)?);
        Ok(())
    }

    /// Asks an entry again and again whether callers should come, as the balancer does.
    pub(super) async fn look_after(self: Rc<Self>, entry: usize) {
        let slot = &self.entries[entry];
        let path = pondwalk_platform::dialect().readiness_path;
        loop {
            let answer = call(slot.readiness, Method::GET, path, Bytes::new()).await;
            slot.is_ready.set(answer.is_ok());
            sleep(READY_LOOK).await;
        }
    }
}

/// Gives each entry its addresses and its settings.
pub async fn place_entries(
    plan: &Plan,
    addresses: &Addresses,
    store: SocketAddr,
) -> anyhow::Result<Vec<EntrySlot>> {
    let mut peers = Vec::new();
    for _ in 0..plan.size.entries {
        peers.push(addresses.free().await?);
    }
    let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
    let mut slots = Vec::new();
    for (entry, peers) in peers.into_iter().enumerate() {
        let (callers, readiness) = (addresses.free().await?, addresses.free().await?);
        let settings = plan.folder.join(format!("entry-{entry}.ini"));
        let text = format!(
            "[direct]\nname = e{entry}\ndata_centre = {}\ncallers = {callers}\n\
             readiness = {readiness}\npeers = {peers}\nkey_bound_ms = 5000\ngrace_s = 6\n\
             session_ttl_s = 5\n[membership]\nseeds = {}\npropagation_ms = 2000\n\
             evacuation_ms = 2000\n[warm_up]\novershoot = {COLD_OVERSHOOT}\n\
             tolerance = {COLD_TOLERANCE}\nheartbeat_ms = 1200\n[retries]\nratio = 0.9\nextra = 54\nwindow_s = 10\n\
             [roll_out]\nexposure = 0.08\n\
             [store]\naddress = {store}\ntimeout_ms = 1500\nwatch_wait_ms = 1500\n",
            data_centre_of(entry),
            seeds.join(","),
        );
        fs::write(&settings, text)?;
        let (child, is_ready) = (RefCell::default(), Cell::new(false));
        slots.push(EntrySlot { child, callers, readiness, settings, is_ready });
    }
    Ok(slots)
}
