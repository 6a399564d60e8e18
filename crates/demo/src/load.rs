//! A day's tasks of each user, in small: who asks what, how often.

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

/// One kind of task in a day.
#[derive(Debug, Clone)]
pub struct TaskPlan {
    /// Its name.
    pub task: &'static str,
    /// Its share of all requests, relative to the others.
    pub weight: f64,
    /// Time allowed.
    pub deadline: Duration,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Share of its requests that belong to sessions.
    pub in_session: f64,
    /// Share of its requests that want tokens as they come.
    pub streaming: f64,
    /// The plain service it calls, if it calls one.
    pub service: Option<&'static str>,
}

/// A workspace that asks.
#[derive(Debug, Clone)]
pub struct WorkspacePlan {
    /// Its name.
    pub workspace: String,
    /// Its callers' key.
    pub key: String,
    /// Its share of all requests, relative to the others.
    pub weight: f64,
}

/// What came of one request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Who asked.
    pub workspace: String,
    /// What was asked.
    pub request: CallerRequest,
    /// What came back.
    pub reply: CallerReply,
    /// When it was sent.
    pub sent: Instant,
}

/// All that was asked so far; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Asks {
    asked: Arc<Mutex<Vec<Asked>>>,
}

impl Asks {
    /// Adds one.
    pub fn push(&self, asked: Asked) {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).push(asked);
    }

    /// All so far.
    pub fn all(&self) -> Vec<Asked> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many so far.
    pub fn len(&self) -> usize {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Whether nothing was asked yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Sends requests at a steady rate for a while, and waits for their answers.
pub struct Load {
    /// Kinds of task.
    pub tasks: Vec<TaskPlan>,
    /// Workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// Requests a second.
    pub rate: f64,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// A conversation under way.
#[derive(Debug, Clone)]
struct Conversation {
    name: String,
    pin: Option<String>,
}

type Conversations = Arc<Mutex<HashMap<String, Vec<Conversation>>>>;

impl Load {
    /// Runs the load against the entries in turn.
    ///
    /// `entries` is asked for addresses before each request, so that stopped entries drop out.
    pub async fn run(&self, length: Duration, asks: &Asks, entries: impl Fn() -> Vec<SocketAddr>) {
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
            let workspace = pick(&mut rng, &self.workspaces, |workspace| workspace.weight).clone();
            let task = pick(&mut rng, &self.tasks, |task| task.weight).clone();
            let request = self.request(&mut rng, number, &workspace, &task, &conversations);
            for (turn, request) in with_mistakes(number, request).into_iter().enumerate() {
                let entry = addresses[(number as usize + turn) % addresses.len()];
                let (client, asks) = (client.clone(), asks.clone());
                let (workspace, conversations) = (workspace.clone(), conversations.clone());
                calls.spawn(async move {
                    let sent = Instant::now();
                    let reply = call(&client, entry, &request).await;
                    give_back(&conversations, &workspace.workspace, &request, &reply);
                    asks.push(Asked { workspace: workspace.workspace, request, reply, sent });
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
        let session = in_session.then(|| conversation(number, workspace, conversations));
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

/// Now and then a caller sends the same order twice, or asks for what it may not have.
fn with_mistakes(number: u32, request: CallerRequest) -> Vec<CallerRequest> {
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

/// Takes up a conversation that waits for its next turn, or starts one.
fn conversation(
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

/// Lets a conversation wait for its next turn.
fn give_back(
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
    // NB: one turn in eight ends a conversation, which keeps its mean length near the users'.
    let ends = request.request.bytes().map(u32::from).sum::<u32>() % MEAN_TURNS == 0;
    if !ends {
        waiting.insert(0, Conversation { name: name.clone(), pin });
    }
}

fn pick<'a, T>(rng: &mut Pcg64Mcg, items: &'a [T], weight: impl Fn(&T) -> f64) -> &'a T {
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
