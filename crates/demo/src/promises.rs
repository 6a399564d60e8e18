//! The promises, checked by what callers got against what backend servers ran and what was billed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pondwalk_ledger::Ledger;
use serde_json::json;

use crate::load::Asked;

/// One promise with what was tried and what broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promise {
    /// What must hold.
    pub name: &'static str,
    /// How often it was tried.
    pub checked: u64,
    /// Cases in which it broke.
    pub broken: Vec<String>,
}

/// What the checks are made from.
#[derive(Debug, Default)]
pub struct Evidence {
    /// What was asked and what came back.
    pub asked: Vec<Asked>,
    /// Runs at all backend servers: request and version.
    pub runs: Vec<(String, String)>,
    /// Versions each workspace may use.
    pub allowed: HashMap<String, BTreeSet<String>>,
    /// The bills.
    pub ledger: Ledger,
    /// Runs that started on a withdrawn version once it was out of force everywhere.
    pub runs_after_withdrawal: Vec<String>,
    /// Runs that started on a leaving server after the grace time.
    pub runs_after_leaving: Vec<String>,
    /// Generations that each process showed, in order of time.
    pub generations: BTreeMap<String, Vec<u64>>,
    /// Time until the changes were in force everywhere, in milliseconds.
    pub in_force_ms: Vec<u64>,
}

/// Longest time for a change to be in force, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 2_000;

impl Evidence {
    /// Checks all ten promises.
    pub fn check(&self) -> Vec<Promise> {
        vec![
            self.allowed_only(),
            self.withdrawn(),
            self.sessions(),
            self.billed_once(),
            self.own_answers(),
            self.true_refusals(),
            self.at_most_once(),
            self.leaving(),
            self.no_cuts(),
            self.configuration(),
        ]
    }

    fn allowed_only(&self) -> Promise {
        let versions: HashMap<&str, Vec<&str>> = self.runs_by_request();
        let broken = self.asked.iter().filter(|asked| {
            let allowed = self.allowed.get(&asked.workspace);
            let ran = versions.get(asked.request.request.as_str());
            ran.into_iter().flatten().any(|v| !allowed.is_some_and(|a| a.contains(*v)))
        });
        promise("a request runs only on an allowed version", self.runs.len(), ids(broken))
    }

    fn withdrawn(&self) -> Promise {
        let name = "a withdrawn version receives no new work";
        promise(name, self.asked.len(), self.runs_after_withdrawal.clone())
    }

    fn sessions(&self) -> Promise {
        let mut last: HashMap<&str, &str> = HashMap::new();
        let mut checked = 0;
        let mut broken = Vec::new();
        for asked in self.in_order() {
            let (Some((session, _)), Some(version)) =
                (&asked.request.session, &asked.reply.version)
            else {
                continue;
            };
            let before = last.insert(session, version);
            checked += usize::from(before.is_some());
            if before.is_some_and(|before| before != version) && !asked.reply.restarted {
                broken.push(asked.request.request.clone());
            }
        }
        promise("a session keeps its version", checked, broken)
    }

    fn billed_once(&self) -> Promise {
        let answered = self.asked.iter().filter(|asked| asked.reply.whole);
        let answered: BTreeSet<&String> = answered.map(|asked| &asked.request.request).collect();
        let billed: BTreeSet<&String> = self.ledger.bills.keys().collect();
        let wrong = answered.symmetric_difference(&billed).map(|id| (*id).clone()).collect();
        promise("each request is billed exactly once", answered.len(), wrong)
    }

    fn own_answers(&self) -> Promise {
        let chats = || self.asked.iter().filter(|a| a.reply.whole && a.request.service.is_none());
        let crossed = chats().filter(|asked| {
            // NB: the prompt carries a mark of its own, which the engine gives back.
            let mark = asked.request.prompt.split_whitespace().next().unwrap_or_default();
            !asked.reply.text.contains(mark)
        });
        let name = "each caller gets the whole answer to its own request";
        promise(name, chats().count(), ids(crossed))
    }

    fn true_refusals(&self) -> Promise {
        let runs = self.runs_by_request();
        let refused = || self.asked.iter().filter(|a| a.reply.ran == Some(json!(false)));
        let lies = refused().filter(|a| runs.contains_key(a.request.request.as_str()));
        promise("a refusal that says \"not run\" is true", refused().count(), ids(lies))
    }

    fn at_most_once(&self) -> Promise {
        let runs = self.runs_by_request();
        let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
        for asked in &self.asked {
            if let Some(key) = asked.request.idempotency_key.as_deref() {
                let ran = runs.get(asked.request.request.as_str()).map_or(0, Vec::len);
                *by_key.entry(key).or_default() += ran;
            }
        }
        let twice = by_key.iter().filter(|(_, ran)| **ran > 1).map(|(key, _)| (*key).to_owned());
        let name = "a request that may not be repeated runs at most once";
        promise(name, by_key.len(), twice.collect())
    }

    fn leaving(&self) -> Promise {
        let name = "a leaving backend server receives no new work";
        promise(name, self.asked.len(), self.runs_after_leaving.clone())
    }

    fn no_cuts(&self) -> Promise {
        let cut = self.asked.iter().filter(|asked| {
            let opened = asked.reply.status == 200 && !asked.reply.whole;
            opened || asked.reply.ran.as_ref().is_some_and(|ran| *ran != json!(false))
        });
        promise("a planned stop cuts no request in flight", self.asked.len(), ids(cut))
    }

    fn configuration(&self) -> Promise {
        let mut broken = Vec::new();
        let mut checked = 0;
        for (process, seen) in &self.generations {
            checked += seen.len();
            if seen.windows(2).any(|pair| pair[1] < pair[0]) {
                broken.push(format!("{process} went back: {seen:?}"));
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

    fn in_order(&self) -> Vec<&Asked> {
        let mut asked: Vec<&Asked> = self.asked.iter().collect();
        asked.sort_by_key(|asked| asked.sent);
        asked
    }
}

fn ids<'a>(asked: impl Iterator<Item = &'a Asked>) -> Vec<String> {
    asked.map(|asked| asked.request.request.clone()).collect()
}

fn promise(name: &'static str, checked: usize, broken: Vec<String>) -> Promise {
    Promise { name, checked: checked as u64, broken }
}
