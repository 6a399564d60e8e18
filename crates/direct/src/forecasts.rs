//! Forecasts the cost of sending a request now with each model, as input of the model choice.

use std::collections::HashMap;

use pondwalk_decide::direct::{
    EngineEstimates, ModelCost, PlacementRequest, RouteModelIndex, VersionRule,
};
use pondwalk_types::ServerId;

use crate::{catalog::ServiceId, core::Core, request::Job, state::State};

/// Prompt tokens that count as one output token in the size of an answer, by the users' rules.
const OUTPUT_TOKEN_SIZE: f64 = 10.0;
/// Prompt tokens that take as much server time as one output token; derived from the users' engine
/// figures (0.27 ms of each step for one more request, 0.053 ms per prompt token).
const PREFILL_TOKENS_PER_OUTPUT_TOKEN: f64 = 5.0;
/// Server time per token of size of a typical answer by the largest model, as a fraction of its
/// time to prefill one token: half of a prompt's size is cached or consists of output tokens.
const TYPICAL_PREFILL_FRACTION: f64 = 0.5;

/// Cost of each of the route's models for a job that has used the fraction `used` of its
/// objective, excluding the servers in `avoid`; empty if no server is available.
pub fn model_costs(core: &Core, job: &Job, avoid: &[ServerId], used: f64) -> Vec<ModelCost> {
    let prices = job.prices();
    let objective_ms = job.route.objective.as_secs_f64().max(0.001) * 1_000.0;
    let allowed_ms = (job.deadline - job.arrived).as_secs_f64().max(0.001) * 1_000.0;
    let mut state = core.state.borrow_mut();
    let State { fleets, engines, .. } = &mut *state;
    let engine = engine_for(engines, job);
    let Some(fleet) = fleets.get(&job.service.name) else { return Vec::new() };
    let mut costs = Vec::with_capacity(prices.len());
    for (position, price) in prices.into_iter().enumerate() {
        let index = position as RouteModelIndex;
        let request = placement_request(engine, job, index, avoid, VersionRule::Any);
        // If one model has no server, none has.
        let Some(forecast) = fleet.forecast(&request, core.clock.now()) else { return Vec::new() };
        let to_first_byte = used + forecast.first_byte_ms / objective_ms;
        let generation_ms = f64::from(job.prompt.tokens_out) * engine.token_ms(request.model);
        let to_end = (to_first_byte * objective_ms + generation_ms) / allowed_ms;
        let load = relative_load(engine, job, forecast.prefill_ms, request.prefill_ms_per_token);
        costs.push(ModelCost {
            model: request.model,
            price,
            server_time: load,
            first_byte_ratio: to_first_byte,
            end_ratio: to_end,
        });
    }
    costs
}

/// Server time per size of an answer, relative to a typical answer of the route's largest model.
fn relative_load(
    engine: &EngineEstimates,
    job: &Job,
    prefill_ms: f64,
    prefill_ms_per_token: f64,
) -> f64 {
    let (tokens_in, tokens_out) =
        (f64::from(job.prompt.tokens_in), f64::from(job.prompt.tokens_out));
    let size = (tokens_in + OUTPUT_TOKEN_SIZE * tokens_out).max(1.0);
    let output_ms = PREFILL_TOKENS_PER_OUTPUT_TOKEN * tokens_out * prefill_ms_per_token;
    let last = job.route.models.len().saturating_sub(1) as RouteModelIndex;
    let largest = engine.prefill_ms_per_token(job.service_model(last));
    (prefill_ms + output_ms) / size / (TYPICAL_PREFILL_FRACTION * largest)
}

/// Placement request of a job for the model at position `index` of its route.
pub fn placement_request<'a>(
    engine: &EngineEstimates,
    job: &'a Job,
    index: RouteModelIndex,
    avoid: &'a [ServerId],
    versions: VersionRule<'a>,
) -> PlacementRequest<'a> {
    let model = job.service_model(index);
    PlacementRequest {
        parts: &job.prompt.parts,
        model,
        prefill_ms_per_token: engine.prefill_ms_per_token(model),
        base_ms: engine.base_ms(),
        excluded_servers: avoid,
        versions,
        data_centres: job.allowed_data_centres(),
    }
}

/// Engine estimates of a job's service, created on first use.
pub fn engine_for<'a>(
    engines: &'a mut HashMap<ServiceId, EngineEstimates>,
    job: &Job,
) -> &'a mut EngineEstimates {
    let models = job.service.engine.as_ref().map_or(0, |engine| engine.models.len());
    let service = job.service.name.clone();
    engines
        .entry(service)
        .or_insert_with(|| EngineEstimates::new(models.min(usize::from(u8::MAX)) as u8))
}
