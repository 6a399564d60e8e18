//! Load generator: draws requests from weighted tasks and workspaces and sends them at a constant rate.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::caller::{CallerReply, CallerRequest, call};

/// A kind of task in the load.
#[derive(Debug, Clone)]
pub struct TaskPlan {
    /// Its name.
    pub task: &'static str,
    /// Weight of its share of all requests.
    pub weight: f64,
    /// Deadline of its requests, counted from sending.
    pub deadline: Duration,
    /// Whether its requests may be repeated.
    pub repeatable: bool,
    /// Share of its requests that belong to sessions.
    pub in_session: f64,
    /// Share of its requests that are streamed.
    pub streaming: f64,
    /// Plain service that the task calls; `None` for a model.
    pub service: Option<&'static str>,
}

/// A workspace that sends requests.
#[derive(Debug, Clone)]
pub struct WorkspacePlan {
    /// Its name.
    pub workspace: String,
    /// Key of its callers.
    pub key: String,
    /// Weight of its share of all requests.
    pub weight: f64,
}

/// A request with its reply.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Workspace that sent the request.
    pub workspace: String,
    /// Request as sent.
    pub request: CallerRequest,
    /// Reply that the caller received.
    pub reply: CallerReply,
    /// Time at which the request was sent.
    pub sent: Instant,
}

/// Log of all finished requests; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ExchangeLog {
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl ExchangeLog {
    /// Adds an exchange.
    pub fn push(&self, exchange: Exchange) {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).push(exchange);
    }

    /// Returns all exchanges so far.
    pub fn all(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of exchanges so far.
    pub fn len(&self) -> usize {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A load at a constant rate.
pub struct Load {
    /// Kinds of task.
    pub tasks: Vec<TaskPlan>,
    /// Workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// Requests per second.
    pub rate: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A session that waits for its next turn.
#[derive(Debug, Clone)]
struct Conversation {
    name: String,
    pin: Option<String>,
}

type Conversations = Arc<Mutex<HashMap<String, Vec<Conversation>>>>;

impl Load {
    /// Sends the load to the entries round-robin for `length`, and waits for all answers.
    ///
    /// `entries` is called before each request, so that stopped entries are skipped.
    pub async fn run(
        &self,
        length: Duration,
        log: &ExchangeLog,
        entries: impl Fn() -> Vec<SocketAddr>,
    ) {
        let client = reqwest::Client::new();
        let mut rng = Pcg64Mcg::new(u128::from(self.seed));
        let conversations = Conversations::default();
        let started = Instant::now();
        let gap = Duration::from_secs_f64(1.0 / self.rate);
        let mut calls = tokio::task::JoinSet::new();
        let mut number = 0_u32;
        while started.elapsed() < length {
            tokio::time::sleep_until(started + gap * number).await;
            let addresses = entries();
            let workspace =
                weighted_choice(&mut rng, &self.workspaces, |workspace| workspace.weight).clone();
            let task = weighted_choice(&mut rng, &self.tasks, |task| task.weight).clone();
            let request = self.request(&mut rng, number, &workspace, &task, &conversations);
            for (turn, request) in with_misuse(number, request).into_iter().enumerate() {
                let entry = addresses[(number as usize + turn) % addresses.len()];
                let (client, log) = (client.clone(), log.clone());
                let (workspace, conversations) = (workspace.clone(), conversations.clone());
                calls.spawn(async move {
                    let sent = Instant::now();
                    let reply = call(&client, entry, &request).await;
                    return_conversation(&conversations, &workspace.workspace, &request, &reply);
                    log.push(Exchange { workspace: workspace.workspace, request, reply, sent });
                });
            }
            number += 1;
        }
        while calls.join_next().await.is_some() {}
    }

    fn request(
        &self,
        rng: &mut Pcg64Mcg,
        number: u32,
        workspace: &WorkspacePlan,
        task: &TaskPlan,
        conversations: &Conversations,
    ) -> CallerRequest {
        let request = format!("{}-{number}", workspace.workspace);
        let in_session = task.service.is_none() && rng.random::<f64>() < task.in_session;
        let session = in_session.then(|| take_conversation(number, workspace, conversations));
        CallerRequest {
            prompt: format!("<ref:{request}> {} please", task.task),
            key: workspace.key.clone(),
            task: task.task.to_owned(),
            session,
            deadline: task.deadline,
            repeatable: task.repeatable,
            idempotency_key: (!task.repeatable).then(|| format!("key-{request}")),
            streaming: rng.random::<f64>() < task.streaming,
            model: String::new(),
            service: task.service.map(|service| (service.to_owned(), "/v1/quote".to_owned())),
            request,
        }
    }
}

/// Turns some requests into caller errors: an order that is sent twice, or a model that is not allowed.
fn with_misuse(number: u32, request: CallerRequest) -> Vec<CallerRequest> {
    const FORBIDDEN_EVERY: u32 = 40;
    const TWICE_EVERY: u32 = 7;
    if number.is_multiple_of(FORBIDDEN_EVERY) && request.service.is_none() {
        let model = "huge/1".to_owned();
        return vec![CallerRequest { model, session: None, ..request }];
    }
    if number.is_multiple_of(TWICE_EVERY) && request.idempotency_key.is_some() {
        let again = CallerRequest {
            request: format!("{}-again", request.request),
            session: None,
            ..request.clone()
        };
        return vec![request, again];
    }
    vec![request]
}

/// Takes a waiting conversation, or starts a new one; returns its name and pin.
fn take_conversation(
    number: u32,
    workspace: &WorkspacePlan,
    conversations: &Conversations,
) -> (String, Option<String>) {
    let mut conversations = conversations.lock().unwrap_or_else(PoisonError::into_inner);
    let waiting = conversations.entry(workspace.workspace.clone()).or_default();
    let next = waiting.pop().unwrap_or_else(|| Conversation {
        name: format!("{}-s{number}", workspace.workspace),
        pin: None,
    });
    (next.name, next.pin)
}

/// Returns a conversation to the waiting ones, unless this turn was its last.
fn return_conversation(
    conversations: &Conversations,
    workspace: &str,
    request: &CallerRequest,
    reply: &CallerReply,
) {
    const MEAN_TURNS: u32 = 8;
    let Some((name, pin)) = &request.session else {
        return;
    };
    let pin = reply.pin.clone().or_else(|| pin.clone());
    let mut conversations = conversations.lock().unwrap_or_else(PoisonError::into_inner);
    let waiting = conversations.entry(workspace.to_owned()).or_default();
    // One turn in eight ends a conversation, which keeps the mean length near that of the users.
    let ends = request.request.bytes().map(u32::from).sum::<u32>() % MEAN_TURNS == 0;
    if !ends {
        waiting.insert(0, Conversation { name: name.clone(), pin });
    }
}

fn weighted_choice<'a, T>(rng: &mut Pcg64Mcg, items: &'a [T], weight: impl Fn(&T) -> f64) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut left = rng.random::<f64>() * total;
    for item in items {
        left -= weight(item);
        if left <= 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}
