//! Decisions of an entry that reaches backend servers directly.
//!
//! Pure like the rest of the crate: times are a [`std::time::Duration`] since the start of the
//! process, and nothing here reads a clock or performs I/O.
//!
//! # How the model, version and server of a request are chosen
//!
//! 1. **Admission.** [`Freshness`] gives the age of the local state. Requests with a key are
//!    refused once the state is too old for keys; permanent refusals require a younger state.
//!    Under load, [`FairShares`] limits the workspaces that ask for more than their share of a
//!    service, and [`Admission`] refuses requests whose answers would begin too late.
//! 2. **Versions.** During a roll-out, [`RollOut`] assigns the request's session to the old or the
//!    new version by hashing, so that all entries agree; a running session keeps its version
//!    ([`Sessions`]). The result is a [`VersionRule`].
//! 3. **First model.** If the entry chooses the model, it starts with the smallest of the route.
//!    The head of the answer carries the model's confidence before any byte is passed on.
//! 4. **Server.** [`Fleet::place`] takes the server of the lowest cost, a time in milliseconds: the
//!    requests of this entry queued there, the requests of other entries that the server reported,
//!    how late its answers began, and the uncached part of the prompt at the prefill speed that
//!    [`EngineEstimates`] has learned; then the distance to another data centre, recent failures,
//!    and a surcharge for all servers except the one that rendezvous hashing names for the prompt's
//!    shared part. Servers of an evacuated data centre get nothing; cold servers get this entry's
//!    share of their bound ([`BoundSharing`]); servers that report a rate limit get the requests
//!    that have a permit ([`PermitBuckets`]). The request gets a rank in the server's queue,
//!    shortest first ([`queue_rank()`]).
//! 5. **Pass the answer on, or ask a larger model.** [`Cascade::next_model`] compares the value of
//!    the current answer with that of each larger model's: the probability that it suffices, given
//!    all confidences so far, less its price, the server time at its current price, and the loss by
//!    a late beginning or end. [`Fleet::forecast`] predicts those times. Step 4 follows for the
//!    model chosen.
//! 6. **Failures of servers.** Each further send is taken from [`WindowBudget`], which all retries
//!    and larger models share.
//!
//! Independently of the requests, [`Reporter`] decides when and by which entry the usage of all
//! entries ([`UsageTotals`]) is reported.
//!
//! Outcomes update the estimates: [`Fleet::on_answer_started`], [`Fleet::on_load_reported`],
//! [`Fleet::record_outcome`], [`EngineEstimates::record_first_byte`], [`Cascade::learn`],
//! [`Cascade::record_strain`], [`RollOut::record_answer`] and [`EvidencePool`].

mod admission;
mod bound_sharing;
mod cascade;
mod clock_estimate;
mod congestion;
mod decayed_rate;
mod engine;
mod evidence_pool;
mod fair_shares;
mod fleet;
mod freshness;
mod hash;
mod load_summary;
mod load_view;
mod permits;
mod quarantine;
mod queue_rank;
mod reporter;
mod roll_out;
mod sessions;
mod stream_pace;
mod usage;
mod warm_up;
mod window_budget;

pub use admission::{
    Admission, AdmissionRequest, Decision, FLOOR_INTERVAL, MIN_RETRY_AFTER, RefusalReason,
    ServiceState, WaitTicket, retry_after,
};
pub use bound_sharing::BoundSharing;
pub use cascade::{Cascade, ModelCost, RouteModelIndex};
pub use clock_estimate::ClockEstimate;
pub use congestion::Congestion;
pub use engine::{EngineEstimates, QuantileEstimate, ServiceModelIndex};
pub use evidence_pool::{EvidencePool, Observation, Slowness, Tally};
pub use fair_shares::{FairShares, capacity_ms_per_s};
pub use fleet::{
    DataCentreRule, ExpectedWait, Fleet, Forecast, LoadError, LoanRequest, NextAvailability,
    PermitRequest, Placeability, PlacementRequest, Places, PromptPart, RateLimit, RateLimitError,
    RateLimitState, ReportedRateLimit, ScoringTerms, ServerIncarnation, ServerIndex, ServerInfo,
    ServerLoad, Ticket, UnavailableReason, UnreachableReason, VersionRule, backoff_jitter,
};
pub use freshness::{Freshness, StoredConfiguration};
pub use load_summary::{
    Demand, HALF_WINDOWS, LoadKey, LoadSummary, LoadSummaryError, ServerWork, ServiceWork,
    name_key, server_key,
};
pub use load_view::{
    EXPIRY_INTERVALS, LoadOrigin, LoadRole, LoadView, MAX_DEMANDS, MAX_SERVERS, MAX_SERVICES,
};
pub use permits::{GranterRole, PermitBuckets};
pub use quarantine::{
    CorrelatedCrashes, CrashAfterRun, CrashId, CrashedRequest, EndedRun, FeatureHash, InFlight,
    ProbeDecision, ProbeRequest, Quarantine, QuarantineCheck, QuarantineStatus, RunExtent,
    ServerCrash, SuccessfulFeatures, crash_id, granter_order, is_after_run, is_part, is_part_of,
    part_feature, part_id, server_hash,
};
pub use queue_rank::{QueueRank, RESUMED_RANK, queue_rank};
pub use reporter::{
    CallOutcome, DueWindows, FencingToken, Reporter, ReporterDelays, ReporterRecord, ReporterStep,
    UsageCounts, WindowId, WriteOutcome,
};
pub use roll_out::{Evidence, RollOut, RollOutStep, Stage};
pub use sessions::{SessionKey, Sessions, session_key};
pub use stream_pace::{
    SAMPLE_INTERVAL, StreamDecision, StreamForecast, StreamPace, StreamRest,
    decide as decide_stream,
};
pub use usage::{UsageMeter, UsagePublisher, UsageTotals};
pub use warm_up::{ColdReason, ColdServerBound, ColdServerPacing, WarmUp, max_cold_wait};
pub use window_budget::{WindowBudget, WindowLimits};
