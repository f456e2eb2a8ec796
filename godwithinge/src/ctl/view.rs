//! Results of operator commands, printable as text or JSON.

use super::{Diagnosis, Grid};
use crate::planner::PlannedOrder;
use compact_str::{CompactString, ToCompactString, format_compact};
use policy::{
    decision::Decision,
    id::{HostId, Revision},
    member::Member,
    table::{
        Table,
        edit::{Change, LogEntry},
        row::{Column, Key},
    },
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{fmt, net::SocketAddr};
use strum::IntoEnumIterator;

/// Result of an operator command.
///
/// `Display` gives the text form, [`to_json`](Self::to_json) the JSON form.
#[derive(Clone, Debug, PartialEq)]
pub enum View {
    /// Current table.
    Table(Table),
    /// Summary of a valid sheet.
    Checked {
        /// Revision that the sheet is based on.
        revision: Revision,
        /// Number of rows in the sheet.
        rows: usize,
    },
    /// Cells that differ between a sheet and its base revision.
    Changes(Vec<Change>),
    /// Change log entry of an accepted edit.
    Accepted(LogEntry),
    /// Change log entries, oldest first.
    Log(Vec<LogEntry>),
    /// Status of an entry.
    Status(EntryStatus),
    /// Confirmation that an entry is draining.
    Draining {
        /// Address of the entry.
        entry: SocketAddr,
    },
    /// Routing decisions about a request.
    Decisions(Vec<Decision>),
    /// Outcome of a request with the log lines that explain it.
    Diagnosis(Diagnosis),
    /// Orders that a dry run of the planner would give.
    Plan(Vec<PlannedOrder>),
}

/// Status of an entry, as served on `/v1/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Host that the entry runs on.
    pub host: HostId,
    /// Random number that the daemon generates at each start.
    pub incarnation: u64,
    /// Shutdown phase of the daemon, such as `serving` or `draining`.
    pub phase: CompactString,
    /// Whether the entry accepts requests.
    pub ready: bool,
    /// Revision of the active table; `None` before the first one is loaded.
    pub revision: Option<Revision>,
    /// Requests without a final outcome.
    pub in_flight: usize,
    /// Number of claim settlements that are not stored yet.
    pub unsettled: i64,
    /// Daemons known to the entry; empty in responses of versions without this field.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Hosts with an open link to the entry.
    #[serde(default)]
    pub linked: Vec<HostId>,
    /// Targets on the host list.
    #[serde(default)]
    pub targets: Vec<policy::host::Host>,
}

impl View {
    /// Returns the view as JSON.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be serialized.
    pub fn to_json(&self) -> serde_json::Result<Value> {
        match self {
            Self::Table(table) => serde_json::to_value(table),
            Self::Checked { revision, rows } => Ok(json!({"revision": revision, "rows": rows})),
            Self::Changes(changes) => serde_json::to_value(changes),
            Self::Accepted(entry) => serde_json::to_value(entry),
            Self::Log(log) => serde_json::to_value(log),
            Self::Status(status) => serde_json::to_value(status),
            Self::Draining { entry } => Ok(json!({"draining": entry})),
            Self::Decisions(decisions) => serde_json::to_value(decisions),
            Self::Diagnosis(diagnosis) => serde_json::to_value(diagnosis),
            Self::Plan(plan) => serde_json::to_value(plan),
        }
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(table) => write!(f, "revision {}\n{}", table.revision, table_grid(table)),
            Self::Checked { revision, rows } => {
                writeln!(f, "{rows} valid rows, based on revision {revision}")
            }
            Self::Changes(changes) if changes.is_empty() => writeln!(f, "no differences"),
            Self::Changes(changes) => change_grid(changes).fmt(f),
            Self::Accepted(entry) => {
                let (revision, edit) = (entry.revision, &entry.edit);
                writeln!(f, "accepted as revision {revision}, edit {edit}")?;
                change_grid(&entry.changes).fmt(f)
            }
            Self::Log(log) => log_grid(log).fmt(f),
            Self::Status(status) => status.fmt(f),
            Self::Draining { entry } => writeln!(f, "entry at {entry} is draining"),
            Self::Decisions(decisions) => decision_grid(decisions).fmt(f),
            Self::Diagnosis(diagnosis) => diagnosis.fmt(f),
            Self::Plan(plan) => plan_grid(plan).fmt(f),
        }
    }
}

impl fmt::Display for EntryStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut properties = Grid::default();
        let mut add = |name: &str, value: CompactString| properties.push([name.into(), value]);
        add("host", self.host.clone());
        add("phase", self.phase.clone());
        add("ready", if self.ready { "yes" } else { "no" }.into());
        let revision = self.revision.map(|revision| revision.to_compact_string());
        add("revision", revision.unwrap_or_else(|| "none".into()));
        add("in flight", self.in_flight.to_compact_string());
        add("unsettled", self.unsettled.to_compact_string());
        add("targets", self.targets.len().to_compact_string());
        writeln!(f, "{properties}")?;
        let header = ["member", "presence", "domain", "revision", "load", "linked"];
        let mut members = Grid::new(&header);
        for member in &self.members {
            let linked = self.linked.contains(&member.host);
            members.push([
                member.host.clone(),
                member.presence.to_compact_string(),
                member.profile.domain.clone(),
                member.heartbeat.revision.to_compact_string(),
                format_compact!("{:.2}", member.heartbeat.load),
                if linked { "yes" } else { "" }.into(),
            ]);
        }
        members.fmt(f)
    }
}

fn table_grid(table: &Table) -> Grid {
    let mut header = vec!["kind"];
    header.extend(Column::iter().map(<&'static str>::from));
    let mut grid = Grid::new(&header);
    for key in table.keys() {
        let cell = |column| cell(table, &key, column);
        let cells = Column::iter().map(cell);
        grid.push(std::iter::once(key.kind.to_compact_string()).chain(cells));
    }
    grid
}

fn cell(table: &Table, key: &Key, column: Column) -> CompactString {
    match column {
        Column::Name => key.name.clone(),
        column => table.cell(key, column),
    }
}

fn change_grid(changes: &[Change]) -> Grid {
    let mut grid = Grid::new(&["row", "column", "before", "after"]);
    for change in changes {
        grid.push([
            change.row.to_compact_string(),
            change.column.to_compact_string(),
            or_dash(&change.before),
            or_dash(&change.after),
        ]);
    }
    grid
}

fn log_grid(log: &[LogEntry]) -> Grid {
    let header = [
        "revision", "at ms", "who", "edit", "row", "column", "before", "after",
    ];
    let mut grid = Grid::new(&header);
    for entry in log {
        for change in &entry.changes {
            grid.push([
                entry.revision.to_compact_string(),
                entry.at_ms.to_compact_string(),
                entry.who.clone(),
                entry.edit.clone(),
                change.row.to_compact_string(),
                change.column.to_compact_string(),
                or_dash(&change.before),
                or_dash(&change.after),
            ]);
        }
    }
    grid
}

fn decision_grid(decisions: &[Decision]) -> Grid {
    let mut grid = Grid::new(&[
        "stage",
        "pool",
        "choice",
        "target",
        "revision",
        "candidates",
    ]);
    for decision in decisions {
        let score = |c: &policy::decision::Candidate| format!("{}={:.3}", c.target, c.score);
        let candidates: Vec<_> = decision.candidates.iter().map(score).collect();
        grid.push([
            decision.stage.to_compact_string(),
            decision.pool.clone(),
            decision.choice.to_compact_string(),
            decision.target.clone().unwrap_or_default(),
            decision.revision.to_compact_string(),
            candidates.join(" ").into(),
        ]);
    }
    grid
}

fn plan_grid(plan: &[PlannedOrder]) -> Grid {
    let mut grid = Grid::new(&["after", "target", "order"]);
    for planned in plan {
        let order = serde_json::to_string(&planned.order).unwrap_or_default();
        grid.push([
            format_compact!("{}s", planned.after.as_secs()),
            planned.order.target.clone(),
            order.into(),
        ]);
    }
    grid
}

/// Formats a blank cell as a dash.
fn or_dash(text: &CompactString) -> CompactString {
    if text.is_empty() {
        "-".into()
    } else {
        text.clone()
    }
}
