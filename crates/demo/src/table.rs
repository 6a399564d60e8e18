//! The day's table: per task and version requests, answers, cost and quality.

use std::{collections::BTreeMap, fmt};

use pondwalk_ledger::Ledger;
use pondwalk_standin::rating::parse_quality;

use crate::load::Asked;

#[derive(Debug, Clone, Default, PartialEq)]
struct Row {
    requests: u64,
    whole: u64,
    on_time: u64,
    refused: u64,
    cost: f64,
    quality_sum: f64,
    rated: u64,
}

/// Rows by task and version; requests without an answer stand under `-`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    rows: BTreeMap<(String, String), Row>,
}

impl Table {
    /// Counts what was asked.
    pub fn new(asked: &[Asked], ledger: &Ledger) -> Self {
        let mut table = Table::default();
        for asked in asked {
            let version = asked.reply.version.clone().unwrap_or_else(|| "-".to_owned());
            let row = table.rows.entry((asked.request.task.clone(), version)).or_default();
            let reply = &asked.reply;
            row.requests += 1;
            row.whole += u64::from(reply.whole);
            row.on_time += u64::from(reply.whole && reply.latency <= asked.request.deadline);
            row.refused += u64::from(!reply.whole);
            row.cost += ledger.bills.get(&asked.request.request).map_or(0.0, |bill| bill.cost());
            if let Some(quality) = parse_quality(&reply.text).filter(|_| reply.whole) {
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
                row.requests, row.whole, row.on_time, row.refused, row.cost
            )?;
        }
        Ok(())
    }
}
