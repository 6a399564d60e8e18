//! What a request would lead to if it were sent now: what each model would cost it, as the
//! decision weighs them.

use std::collections::HashMap;

use pondwalk_decide::direct::{
    EngineEstimates, ModelCost, PlacementRequest, RouteModelIndex, VersionRule,
};
use pondwalk_types::ServerId;

use crate::{catalog::ServiceId, core::Core, request::Job, state::State};

/// Tokens read that count as much as one made in an answer's size; from the users' rules.
const OUTPUT_TOKEN_SIZE: f64 = 10.0;
/// Tokens read that take as much of a server's time as one made; from the users' figures of their
/// engines (0.27 ms of each step for one more request, 0.053 ms for a token read).
const READ_TOKENS_PER_OUTPUT_TOKEN: f64 = 5.0;
/// Time that a typical answer of the largest model takes for each token of its size, as a part of
/// the time to read one: half of a prompt's size is held already or made, not read.
const TYPICAL_READ_FRACTION: f64 = 0.5;

/// What asking each of the route's models would cost a job that has used this part of its
/// objective, servers in `avoid` left out; nothing if no server could take it.
pub fn model_terms(core: &Core, job: &Job, avoid: &[ServerId], used: f64) -> Vec<ModelCost> {
    let prices = job.prices();
    let objective_ms = job.route.objective.as_secs_f64().max(0.001) * 1_000.0;
    let allowed_ms = (job.deadline - job.arrived).as_secs_f64().max(0.001) * 1_000.0;
    let mut state = core.state.borrow_mut();
    let State { fleets, engines, .. } = &mut *state;
    let engine = engine_for(engines, job);
    let Some(fleet) = fleets.get(&job.service.name) else { return Vec::new() };
    let mut terms = Vec::with_capacity(prices.len());
    for (position, price) in prices.into_iter().enumerate() {
        let number = position as RouteModelIndex;
        let ask = placement_request(engine, job, number, avoid, VersionRule::Any);
        // NB: without a server for one model there is none for any.
        let Some(forecast) = fleet.forecast(&ask, core.clock.now()) else { return Vec::new() };
        let begins = used + forecast.first_byte_ms / objective_ms;
        let generation_ms = f64::from(job.prompt.tokens_out) * engine.token_ms(ask.model);
        let ends = (begins * objective_ms + generation_ms) / allowed_ms;
        let load = relative_load(engine, job, forecast.prefill_ms, ask.prefill_ms_per_token);
        terms.push(ModelCost {
            model: ask.model,
            price,
            server_time: load,
            first_byte_ratio: begins,
            end_ratio: ends,
        });
    }
    terms
}

/// Servers' time that an answer takes, by its size, as a multiple of a typical one's of the route's
/// largest model.
fn relative_load(engine: &EngineEstimates, job: &Job, read_ms: f64, read_ms_per_token: f64) -> f64 {
    let (tokens_in, tokens_out) =
        (f64::from(job.prompt.tokens_in), f64::from(job.prompt.tokens_out));
    let size = (tokens_in + OUTPUT_TOKEN_SIZE * tokens_out).max(1.0);
    let output_ms = READ_TOKENS_PER_OUTPUT_TOKEN * tokens_out * read_ms_per_token;
    let last = job.route.models.len().saturating_sub(1) as RouteModelIndex;
    let largest = engine.prefill_ms_per_token(job.service_model(last));
    (read_ms + output_ms) / size / (TYPICAL_READ_FRACTION * largest)
}

/// What a job asks of a server with the model at a position of its route's list.
pub fn placement_request<'a>(
    engine: &EngineEstimates,
    job: &'a Job,
    number: RouteModelIndex,
    avoid: &'a [ServerId],
    versions: VersionRule<'a>,
) -> PlacementRequest<'a> {
    let model = job.service_model(number);
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

/// What is known of the engines of a job's service.
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
