//! Checks of the promises: replies to callers are compared with runs at backend servers and with bills.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pondwalk_ledger::Ledger;
use serde_json::json;

use crate::load::Exchange;

/// Result of checking a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promise {
    /// Name of the promise.
    pub name: &'static str,
    /// Number of checked cases.
    pub checked: u64,
    /// Cases that broke the promise.
    pub broken: Vec<String>,
}

/// Input of the checks.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Requests with their replies.
    pub exchanges: Vec<Exchange>,
    /// Runs at all backend servers: request id and version.
    pub runs: Vec<(String, String)>,
    /// Versions and services that each workspace may use.
    pub allowed: HashMap<String, BTreeSet<String>>,
    /// Bills in the store.
    pub ledger: Ledger,
    /// Runs on a withdrawn version that started after the withdrawal was in force everywhere.
    pub runs_after_withdrawal: Vec<String>,
    /// Runs on a draining server that started after the grace time.
    pub runs_after_draining: Vec<String>,
    /// Generations that each process reported, in order of time.
    pub generations: BTreeMap<String, Vec<u64>>,
    /// Time until each change was in force everywhere, in milliseconds.
    pub in_force_ms: Vec<u64>,
}

/// Maximum time until a change must be in force, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 2_000;

impl Evidence {
    /// Checks all ten promises.
    pub fn check(&self) -> Vec<Promise> {
        vec![
            self.allowed_versions(),
            self.withdrawn(),
            self.sessions(),
            self.billed_once(),
            self.own_answers(),
            self.refusals(),
            self.at_most_once(),
            self.draining(),
            self.no_cuts(),
            self.configuration(),
        ]
    }

    fn allowed_versions(&self) -> Promise {
        let versions: HashMap<&str, Vec<&str>> = self.runs_by_request();
        let broken = self.exchanges.iter().filter(|exchange| {
            let allowed = self.allowed.get(&exchange.workspace);
            let ran = versions.get(exchange.request.request.as_str());
            ran.into_iter().flatten().any(|v| !allowed.is_some_and(|a| a.contains(*v)))
        });
        promise("a request runs only on an allowed version", self.runs.len(), ids(broken))
    }

    fn withdrawn(&self) -> Promise {
        let name = "a withdrawn version receives no new work";
        promise(name, self.exchanges.len(), self.runs_after_withdrawal.clone())
    }

    fn sessions(&self) -> Promise {
        let mut last: HashMap<&str, &str> = HashMap::new();
        let mut checked = 0;
        let mut broken = Vec::new();
        for exchange in self.in_order() {
            let (Some((session, _)), Some(version)) =
                (&exchange.request.session, &exchange.reply.version)
            else {
                continue;
            };
            let before = last.insert(session, version);
            checked += usize::from(before.is_some());
            if before.is_some_and(|before| before != version) && !exchange.reply.restarted {
                broken.push(exchange.request.request.clone());
            }
        }
        promise("a session keeps its version", checked, broken)
    }

    fn billed_once(&self) -> Promise {
        let answered = self.exchanges.iter().filter(|exchange| exchange.reply.complete);
        let answered: BTreeSet<&String> =
            answered.map(|exchange| &exchange.request.request).collect();
        let billed: BTreeSet<&String> = self.ledger.bills.keys().collect();
        let wrongly_billed =
            answered.symmetric_difference(&billed).map(|id| (*id).clone()).collect();
        promise("each request is billed exactly once", answered.len(), wrongly_billed)
    }

    fn own_answers(&self) -> Promise {
        let chats =
            || self.exchanges.iter().filter(|a| a.reply.complete && a.request.service.is_none());
        let wrongly_answered = chats().filter(|exchange| {
            // The prompt starts with a unique marker, which the engine returns.
            let marker = exchange.request.prompt.split_whitespace().next().unwrap_or_default();
            !exchange.reply.text.contains(marker)
        });
        let name = "each caller gets the whole answer to its own request";
        promise(name, chats().count(), ids(wrongly_answered))
    }

    fn refusals(&self) -> Promise {
        let runs = self.runs_by_request();
        let refused = || self.exchanges.iter().filter(|a| a.reply.ran == Some(json!(false)));
        let false_refusals = refused().filter(|a| runs.contains_key(a.request.request.as_str()));
        promise("a refusal that says \"not run\" is true", refused().count(), ids(false_refusals))
    }

    fn at_most_once(&self) -> Promise {
        let runs = self.runs_by_request();
        let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
        for exchange in &self.exchanges {
            if let Some(key) = exchange.request.idempotency_key.as_deref() {
                let ran = runs.get(exchange.request.request.as_str()).map_or(0, Vec::len);
                *by_key.entry(key).or_default() += ran;
            }
        }
        let repeated = by_key.iter().filter(|(_, ran)| **ran > 1).map(|(key, _)| (*key).to_owned());
        let name = "a request that may not be repeated runs at most once";
        promise(name, by_key.len(), repeated.collect())
    }

    fn draining(&self) -> Promise {
        let name = "a leaving backend server receives no new work";
        promise(name, self.exchanges.len(), self.runs_after_draining.clone())
    }

    fn no_cuts(&self) -> Promise {
        let cut = self.exchanges.iter().filter(|exchange| {
            let opened = exchange.reply.status == 200 && !exchange.reply.complete;
            opened || exchange.reply.ran.as_ref().is_some_and(|ran| *ran != json!(false))
        });
        promise("a planned stop cuts no request in flight", self.exchanges.len(), ids(cut))
    }

    fn configuration(&self) -> Promise {
        let mut broken = Vec::new();
        let mut checked = 0;
        for (process, seen) in &self.generations {
            checked += seen.len();
            if seen.windows(2).any(|pair| pair[1] < pair[0]) {
                broken.push(format!("{process} reverted its generation: {seen:?}"));
            }
        }
        for ms in &self.in_force_ms {
            checked += 1;
            if *ms > IN_FORCE_LIMIT_MS {
                broken.push(format!("in force only after {ms} ms"));
            }
        }
        promise("a configuration is in force within seconds and never reverts", checked, broken)
    }

    fn runs_by_request(&self) -> HashMap<&str, Vec<&str>> {
        let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
        for (request, version) in &self.runs {
            runs.entry(request).or_default().push(version);
        }
        runs
    }

    fn in_order(&self) -> Vec<&Exchange> {
        let mut exchanges: Vec<&Exchange> = self.exchanges.iter().collect();
        exchanges.sort_by_key(|exchange| exchange.sent);
        exchanges
    }
}

fn ids<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> Vec<String> {
    exchanges.map(|exchange| exchange.request.request.clone()).collect()
}

fn promise(name: &'static str, checked: usize, broken: Vec<String>) -> Promise {
    Promise { name, checked: checked as u64, broken }
}
