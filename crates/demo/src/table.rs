//! Summary table of a day: requests, answers, cost and quality by task and version.

use std::{collections::BTreeMap, fmt};

use pondwalk_ledger::Ledger;
use pondwalk_standin::rating::parse_quality;

use crate::load::Exchange;

#[derive(Debug, Clone, Default, PartialEq)]
struct Row {
    requests: u64,
    complete: u64,
    on_time: u64,
    refused: u64,
    cost: f64,
    quality_sum: f64,
    rated: u64,
}

/// Rows by task and version; requests without an answer are counted under the version `-`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    rows: BTreeMap<(String, String), Row>,
}

impl Table {
    /// Aggregates exchanges and their bills.
    pub fn new(exchanges: &[Exchange], ledger: &Ledger) -> Self {
        let mut table = Table::default();
        for exchange in exchanges {
            let version = exchange.reply.version.clone().unwrap_or_else(|| "-".to_owned());
            let row = table.rows.entry((exchange.request.task.clone(), version)).or_default();
            let reply = &exchange.reply;
            row.requests += 1;
            row.complete += u64::from(reply.complete);
            row.on_time += u64::from(reply.complete && reply.latency <= exchange.request.deadline);
            row.refused += u64::from(!reply.complete);
            row.cost += ledger.bills.get(&exchange.request.request).map_or(0.0, |bill| bill.cost());
            if let Some(quality) = parse_quality(&reply.text).filter(|_| reply.complete) {
                row.quality_sum += quality;
                row.rated += 1;
            }
        }
        table
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<15} {:<12} {:>8} {:>8} {:>8} {:>8} {:>10} {:>8}",
            "task", "version", "requests", "whole", "on time", "refused", "cost", "quality"
        )?;
        for ((task, version), row) in &self.rows {
            let quality = match row.rated {
                0 => "-".to_owned(),
                rated => format!("{:.3}", row.quality_sum / rated as f64),
            };
            writeln!(
                f,
                "{task:<15} {version:<12} {:>8} {:>8} {:>8} {:>8} {:>10.3} {quality:>8}",
                row.requests, row.complete, row.on_time, row.refused, row.cost
            )?;
        }
        Ok(())
    }
}
