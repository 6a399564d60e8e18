//! Decisions of an entry that reaches backend servers directly.
//!
//! Pure like the rest of the crate: times are a [`std::time::Duration`] since the start of the
//! process, and nothing here reads a clock or sends a byte.
//!
//! # How one request's model, version and server are chosen
//!
//! 1. **May it be served?** [`Freshness`] tells how old the state is. A request with a key is
//!    refused once that is too old for keys; a refusal for good rests on a younger state.
//! 2. **Which versions?** While a version is brought in, [`RollOut`] gives the request's session to
//!    the old or the new version by hashing, so that all entries agree; a session that runs keeps
//!    its version ([`Sessions`]). The outcome is a [`VersionRule`].
//! 3. **Which model first?** Where the entry chooses, the smallest of the route. Its answer's head
//!    tells its own confidence before any byte is passed on.
//! 4. **Which server?** [`Fleet::place`] takes the server of the least cost, a time in
//!    milliseconds: what this entry has waiting there, what the server told of other entries'
//!    requests, how late its answers came, and what of the prompt must be read there, at the speed
//!    that [`EngineEstimates`] has learned; then the way to another data centre, failures of late, and a
//!    surcharge for all but the server that rendezvous hashing names for the prompt's shared part.
//!    Servers of an evacuated data centre get nothing; cold ones get what this entry's share of their
//!    bound lets it send ([`BoundSharing`]); those that name a rate limit get what permits are
//!    given for ([`PermitBuckets`]). The request gets a rank there, shortest first ([`queue_rank`]).
//! 5. **Pass it on, or ask a larger model?** [`Cascade::next_model`] compares what the answer at
//!    hand is worth with what each larger model's would be: the chance that it does, by all
//!    confidences told, less its price, the servers' time at the price of the moment, and what it
//!    loses by beginning or ending late. [`Fleet::forecast`] foresees that. Step 4 again for the
//!    model taken.
//! 6. **And if a server fails?** A further send is taken out of [`WindowBudget`], which all retries
//!    and larger models share.
//!
//! Beside the requests, [`Reporter`] decides who reports the usage of all entries ([`UsageTotals`]), and when.
//!
//! What the answer shows goes back into the estimates: [`Fleet::began`], [`Fleet::tells_load`],
//! [`Fleet::answered`], [`EngineEstimates::note_beginning`], [`Cascade::learn`], [`Cascade::note_strain`]
//! [`RollOut::note`] and [`EvidencePool`].

mod bound_sharing;
mod cascade;
mod clock_estimate;
mod engine;
mod evidence_pool;
mod fleet;
mod freshness;
mod hash;
mod permits;
mod quarantine;
mod queue_rank;
mod reporter;
mod roll_out;
mod sessions;
mod usage;
mod warm_up;
mod window_budget;

pub use bound_sharing::BoundSharing;
pub use cascade::{Cascade, ModelCost, RouteModelIndex};
pub use clock_estimate::ClockEstimate;
pub use engine::{EngineEstimates, QuantileEstimate, ServiceModelIndex};
pub use evidence_pool::{EvidencePool, Observation, Tally};
pub use fleet::{
    DataCentreRule, Fleet, Forecast, LoadError, NextAvailability, PermitRequest, Placeability,
    PlacementRequest, PromptPart, RateLimit, RateLimitError, RateLimitState, ReportedRateLimit,
    ScoringTerms, ServerIncarnation, ServerIndex, ServerInfo, ServerLoad, Ticket,
    UnavailableReason, UnreachableReason, VersionRule, backoff_jitter,
};
pub use freshness::Freshness;
pub use permits::{GranterRole, PermitBuckets};
pub use quarantine::{
    ContentHash, CorrelatedCrashes, CrashId, ProbeDecision, ProbeRequest, Quarantine,
    QuarantineStatus, ServerCrash, SuccessfulContents, crash_id, granter_order, server_hash,
};
pub use queue_rank::{QueueRank, RESUMED_RANK, queue_rank};
pub use reporter::{
    CallOutcome, DueWindows, FencingToken, Reporter, ReporterDelays, ReporterRecord, ReporterStep,
    UsageCounts, WindowId, WriteOutcome,
};
pub use roll_out::{Evidence, RollOut, RollOutStep, Stage};
pub use sessions::{SessionKey, Sessions, session_key};
pub use usage::{UsageMeter, UsagePublisher, UsageTotals};
pub use warm_up::{ColdReason, ColdServerBound, ColdServerPacing, WarmUp, max_cold_wait};
pub use window_budget::{WindowBudget, WindowLimits};
