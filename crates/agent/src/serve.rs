//! RPC server for entries.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use pondwalk_threads::lock;
use pondwalk_types::{Generation, RequestId, VersionId};
use pondwalk_wire::{
    Agent, AgentStatus, Configuration, FetchFrames, FrameBatch, HeldBill, Order, OrderKind,
    OrderRefusal, RatingReport, RunKey, StartReply, StartRequest, channel,
};
use tarpc::{context::Context, server::Channel};
use tokio::net::TcpListener;

use crate::{core::Core, execution};

/// Maximum wait of one call for frames.
const MAX_FETCH_WAIT: Duration = Duration::from_secs(30);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves their calls.
pub async fn serve(listener: TcpListener, core: Arc<Core>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            core.count("accept.failed");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(channel) = channel(stream) else {
            continue;
        };
        let calls = channel.execute(Server { core: core.clone() }.serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

#[derive(Clone)]
struct Server {
    core: Arc<Core>,
}

impl Agent for Server {
    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        let refusal = execution::admit(&self.core, request).err();
        if refusal.is_some() {
            self.core.count("runs.refused");
        }
        StartReply { refusal, snapshot: self.core.snapshot() }
    }

    async fn take(self, _: Context, request: FetchFrames) -> FrameBatch {
        let request = FetchFrames { wait: request.wait.min(MAX_FETCH_WAIT), ..request };
        let frames = self.core.outboxes.fetch(request).await;
        FrameBatch { snapshot: self.core.snapshot(), frames }
    }

    async fn cancel(self, _: Context, run: RunKey) {
        execution::cancel(&self.core, run);
    }

    async fn hold_bill(self, _: Context, bill: HeldBill) {
        lock(&self.core.bills).insert(bill.request.clone(), bill);
    }

    async fn release_bills(self, _: Context, requests: Vec<RequestId>) {
        let mut bills = lock(&self.core.bills);
        for request in requests {
            bills.remove(&request);
        }
    }

    async fn order(self, _: Context, order: Order) -> Result<Vec<VersionId>, OrderRefusal> {
        if let OrderKind::Unload(version) = &order.kind
            && lock(&self.core.runs).has_version(version)
        {
            return Err(OrderRefusal::Busy);
        }
        let result = self.core.orders.execute(&self.core.backend, order).await;
        self.core.outboxes.wake_all();
        result
    }

    async fn rate(self, _: Context, report: RatingReport) {
        let version = &report.version;
        let was_tripped = lock(&self.core.trials).is_tripped(version);
        lock(&self.core.trials).record_rating(self.core.now(), &report);
        if !was_tripped && lock(&self.core.trials).is_tripped(version) {
            spdlog::warn!("version tripped", kv: { version = version.as_str() });
            self.core.outboxes.wake_all();
        }
    }

    async fn status(self, _: Context) -> AgentStatus {
        let settings = &self.core.settings;
        AgentStatus {
            server: settings.server.clone(),
            data_centre: settings.data_centre.clone(),
            versions: self.core.orders.hosted(),
            slots: settings.slots,
            snapshot: self.core.snapshot(),
        }
    }

    async fn configure(self, _: Context, configuration: Configuration) -> Generation {
        self.core.configure(configuration)
    }

    async fn configuration(self, _: Context) -> Option<Configuration> {
        self.core.configuration().map(|current| Configuration::clone(&current))
    }
}
