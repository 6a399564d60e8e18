//! `pondwalk ledger`: lists and totals the bills, each request once.

use pondwalk_ledger::{Ledger, read_ledger};
use serde_json::{Value, json};

use super::{block_on, store};
use crate::{exit::Exit, options::LedgerOptions};

/// Totals the bills by workspace and version.
pub fn run(options: &LedgerOptions) -> anyhow::Result<Exit> {
    let ledger = block_on(async { Ok(read_ledger(&store(options.store)).await?) })?;
    if options.json {
        println!("{}", to_json(&ledger, options.list));
    } else {
        print(&ledger, options.list);
    }
    Ok(if ledger.unreadable == 0 { Exit::Success } else { Exit::CheckFailed })
}

fn print(ledger: &Ledger, list: bool) {
    if list {
        for bill in ledger.bills.values() {
            println!("{:<34} {:<16} {:>12.6}", bill.request, bill.workspace, bill.cost());
        }
    }
    println!("{:<16} {:<16} {:>8} {:>12}", "workspace", "version", "runs", "cost");
    for ((workspace, version), (runs, cost)) in ledger.totals() {
        println!("{workspace:<16} {version:<16} {runs:>8} {cost:>12.6}");
    }
    println!(
        "{} requests billed, {} bills written more than once and counted once, {} unreadable",
        ledger.bills.len(),
        ledger.repeats,
        ledger.unreadable
    );
}

fn to_json(ledger: &Ledger, list: bool) -> Value {
    let totals: Vec<Value> = ledger
        .totals()
        .into_iter()
        .map(|((workspace, version), (runs, cost))| {
            json!({ "workspace": workspace, "version": version, "runs": runs, "cost": cost })
        })
        .collect();
    let mut body = json!({
        "requests": ledger.bills.len(),
        "repeats": ledger.repeats,
        "unreadable": ledger.unreadable,
        "totals": totals,
    });
    if list {
        body["bills"] = json!(ledger.bills.values().collect::<Vec<_>>());
    }
    body
}
