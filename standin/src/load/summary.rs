//! Repeats of one plan and their spread.

use super::measure::Measure;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All repeats of one plan under one rule.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Deployment that the fakes had the shape of.
    pub deployment: CompactString,
    /// Name of the case.
    pub scenario: CompactString,
    /// Rule of the entries.
    pub rule: CompactString,
    /// Offered share of what the fleet can carry.
    pub load: f64,
    /// Requests in a second that were offered, all classes together.
    pub rate: f64,
    /// Seed of the first repeat; each further one adds 1.
    pub seed: u64,
    /// Measures of each repeat.
    pub runs: Vec<Measure>,
    /// Spread of the main measures.
    pub spread: BTreeMap<CompactString, Spread>,
}

/// Spread of one measure over the repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Spread {
    /// Lowest value.
    pub min: f64,
    /// Median value.
    pub median: f64,
    /// Highest value.
    pub max: f64,
}

/// Reads one measure.
type Column = (&'static str, fn(&Measure) -> f64);

/// Main measures, in the order of the table's columns.
const COLUMNS: [Column; 12] = [
    ("attainment", |measure| measure.attainment),
    ("carriable", |measure| measure.carriable),
    ("carriable_blind", |measure| measure.carriable_blind),
    ("fairness", |measure| measure.fairness),
    ("engine_cost", |measure| measure.engine_cost),
    ("extra_calls", |measure| measure.extra_calls),
    ("latency_p95_ms", |measure| measure.latency_ms.p95),
    ("first_token_p95_ms", |measure| measure.first_token_ms.p95),
    ("gap_p95_ms", |measure| measure.gap_ms.p95),
    ("refusal_p50_ms", |measure| measure.refusal_ms.p50),
    ("refusal_p99_ms", |measure| measure.refusal_ms.p99),
    ("duplicates", |measure| measure.duplicates as f64),
];

impl Report {
    /// Computes the spread of the main measures.
    #[must_use]
    pub fn with_spread(mut self) -> Self {
        let spread = |read: fn(&Measure) -> f64| Spread::new(self.runs.iter().map(read).collect());
        self.spread = COLUMNS
            .iter()
            .map(|(name, read)| ((*name).into(), spread(*read)))
            .collect();
        self
    }

    /// Returns the head of a table of reports, in Markdown.
    pub fn table_head() -> String {
        let mut head = String::from("| case | rule |");
        let mut line = String::from("|---|---|");
        for (name, _) in COLUMNS {
            head.push_str(&format_compact!(" {name} |"));
            line.push_str("---|");
        }
        format!("{head}\n{line}")
    }

    /// Returns the row of the report in a table: median (lowest to highest).
    pub fn table_row(&self) -> String {
        let mut row = format!("| {} {} | {} |", self.deployment, self.scenario, self.rule);
        for (name, _) in COLUMNS {
            let spread = self.spread.get(name).copied().unwrap_or_default();
            let Spread { min, median, max } = spread;
            let digits = if max > 10.0 { 0 } else { 4 };
            let cell = format!(" {median:.digits$} ({min:.digits$} to {max:.digits$}) |");
            row.push_str(&cell);
        }
        row
    }
}

impl Spread {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            min: at(0),
            median: f64::midpoint(at(last / 2), at(last.div_ceil(2))),
            max: at(last),
        }
    }
}
