//! Which configuration the store holds, and what of it is in force.

use std::{fmt::Write, time::Duration};

use pondwalk_store::Position;

use crate::catalog::{CatalogVersion, Defect, Defects};

/// The configuration in the store, compared with the one in force.
#[derive(Debug, Default)]
pub struct ConfigurationStatus {
    /// Where the configuration in force was written.
    in_force: Option<Position>,
    /// Where the newest configuration was written.
    written: Option<Position>,
    /// Version of the newest configuration, if it can be read.
    written_version: Option<CatalogVersion>,
    /// Since when the newest configuration has not been in force, if it is not.
    rejected_since: Option<Duration>,
    /// Defects of the configuration in force, each with the time since which it has had them.
    defects: Vec<(Defect, Duration)>,
    /// Number of these defects, with those that are not listed.
    defect_count: usize,
}

impl ConfigurationStatus {
    /// Where the configuration in force was written, if there is one.
    pub fn in_force(&self) -> Option<Position> {
        self.in_force
    }

    /// Whether the newest configuration is not in force.
    pub fn is_rejected(&self) -> bool {
        self.rejected_since.is_some()
    }

    /// Records that a configuration is in force; returns the defects that the one before lacked.
    pub fn record_in_force(
        &mut self,
        position: Position,
        version: CatalogVersion,
        defects: &Defects,
        now: Duration,
    ) -> Vec<Defect> {
        self.in_force = Some(position);
        self.written = Some(position);
        self.written_version = (!defects.lacks_version).then_some(version);
        self.rejected_since = None;
        self.defect_count = defects.count;
        let previous = std::mem::take(&mut self.defects);
        let known_since = |defect: &Defect| {
            previous.iter().find(|(known, _)| known == defect).map(|(_, since)| *since)
        };
        let new = defects.list.iter().filter(|defect| known_since(defect).is_none());
        let new = new.cloned().collect();
        let dated =
            defects.list.iter().map(|defect| (defect.clone(), known_since(defect).unwrap_or(now)));
        self.defects = dated.collect();
        new
    }

    /// Records that a configuration can't be put in force; returns whether it is another one than
    /// before.
    pub fn record_rejected(
        &mut self,
        position: Position,
        version: Option<CatalogVersion>,
        now: Duration,
    ) -> bool {
        self.written_version = version;
        self.rejected_since.get_or_insert(now);
        self.written.replace(position) != Some(position)
    }

    /// Writes gauges in text form, one per line; `in_force` is the version in force.
    pub fn write_metrics(
        &self,
        in_force: Option<CatalogVersion>,
        now: Duration,
        text: &mut String,
    ) {
        let age_ms = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let revision = |position: Position| position.revision;
        let gauges = [
            ("version", in_force),
            ("version_written", self.written_version),
            ("revision", self.in_force.map(revision)),
            ("revision_written", self.written.map(revision)),
            ("unreadable", Some(u64::from(self.is_rejected()))),
            ("unreadable_age_ms", self.rejected_since.map(age_ms)),
            ("defects", Some(self.defect_count as u64)),
        ];
        // Writing to a string can't fail.
        for (name, value) in gauges {
            if let Some(value) = value {
                let _ = writeln!(text, "pondwalk_configuration_{name} {value}");
            }
        }
        for (Defect { element, field, value, effect }, since) in &self.defects {
            let _ = writeln!(
                text,
                "pondwalk_configuration_defect_age_ms{{element=\"{}\",field=\"{}\",value=\"{}\",\
                 effect=\"{}\"}} {}",
                escape_label(element),
                escape_label(field),
                escape_label(value),
                effect.name(),
                age_ms(*since)
            );
        }
    }
}

/// Escapes the value of a label.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
