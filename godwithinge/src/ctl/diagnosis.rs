//! What became of a request, told from the logs of several daemons.

use super::Grid;
use chrono::DateTime;
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, fmt, time::Duration};

/// Time by which the clocks of machines may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1); // lines of other daemons are looked for this much around
/// Time before a request in which what its daemon lost or took in still bears on it.
const LOOKBACK: Duration = Duration::from_secs(2); // a target's pause after failures, or a lost conductor
/// Most lines about the targets of a request, and most about failed calls of stages.
const MAX_CONTEXT_LINES: usize = 12; // in a burst there are hundreds a second
/// Fields that the columns of a story show, or that say nothing of a request.
const HIDDEN_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// Messages about the daemon that held the request.
const DAEMON_MESSAGES: [&str; 9] = [
    "configuration in force",
    "conductor lost; orders placed anew",
    "leaving",
    "log lines dropped",
    "peer lost",
    "settings read anew",
    "started",
    "store lost",
    "store regained",
];
/// Messages about a target.
const TARGET_MESSAGES: [&str; 3] = ["send failed", "target", "target died"];
/// Messages of the daemon that conducts.
const STAGE_MESSAGES: [&str; 3] = ["stage call", "stage queue", "this daemon conducts"];

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Daemon or file that the line comes from.
    pub source: CompactString,
    /// Time since 1970 by the clock of the daemon.
    #[serde(skip)]
    pub at: Duration,
    /// Fields as they were written.
    pub fields: Map<String, Value>,
}

/// Why a request ended as it did.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Cause {
    /// It was answered in time.
    Answered,
    /// The stages took most of the time to its late first event.
    SlowStages {
        /// Time of the stages in milliseconds.
        stages_ms: u64,
        /// Time to the first event in milliseconds.
        first_ms: u64,
    },
    /// The target took most of the time to its late first event.
    SlowTarget {
        /// The target of the last send.
        target: CompactString,
        /// Sends that were needed.
        sends: u64,
        /// Time to the first event, without the stages, in milliseconds.
        target_ms: u64,
    },
    /// The queues of its stages were too long for its deadline.
    Queue {
        /// Why it was refused.
        reason: CompactString,
        /// Pool with the most pieces waiting for each target, if a line shows it.
        pool: Option<CompactString>,
    },
    /// A send failed after which the request could not be sent again.
    #[serde(rename = "send")]
    SendFailed {
        /// The target of the last send.
        target: CompactString,
        /// How that send failed.
        result: CompactString,
    },
    /// It was turned away before it was taken.
    Rejected {
        /// Why.
        reason: CompactString,
    },
    /// Its caller left.
    #[serde(rename = "left")]
    CallerLeft,
    /// No line says how it ended.
    Unknown,
    /// Another reason.
    Other {
        /// The reason as it was logged.
        reason: CompactString,
    },
}

/// All that the logs say of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Diagnosis {
    /// Identifier of the request.
    pub request: CompactString,
    /// Why it ended as it did.
    pub cause: Cause,
    /// Its own lines, and those around it that bear on it, in order.
    pub lines: Vec<Line>,
}

/// Reads the lines of a log; text before a line's first brace names its daemon.
///
/// Lines that are not JSON with a time are left out.
pub fn parse(source: &str, log: &str) -> Vec<Line> {
    log.lines()
        .filter_map(|line| parse_line(source, line))
        .collect()
}

fn parse_line(source: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let at = DateTime::parse_from_rfc3339(fields.get("timestamp")?.as_str()?).ok()?;
    let prefix = line[..start].split_whitespace().next_back();
    Some(Line {
        source: prefix.unwrap_or(source).into(),
        at: Duration::from_micros(at.timestamp_micros().try_into().ok()?),
        fields,
    })
}

impl Line {
    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    fn message(&self) -> &str {
        self.text("message")
    }
}

impl Diagnosis {
    /// Tells what became of a request; `None` if no line names it.
    pub fn new(request: &str, all: &[Line]) -> Option<Self> {
        let own: Vec<&Line> = all
            .iter()
            .filter(|line| line.text("request") == request)
            .collect();
        let scope = Scope::new(&own)?;
        let around = all.iter().filter(|line| scope.is_relevant(line));
        let mut lines: Vec<&Line> = own.iter().copied().chain(around).collect();
        lines.sort_by_key(|line| line.at);
        trim_context(&mut lines, request);
        let lines: Vec<Line> = lines.into_iter().cloned().collect();
        Some(Self {
            request: request.into(),
            cause: classify(&own, &lines),
            lines,
        })
    }
}

/// Time and places of a request.
#[derive(Debug)]
struct Scope<'a> {
    begin: Duration,
    end: Duration,
    sources: BTreeSet<&'a str>,
    targets: BTreeSet<&'a str>,
    has_stages: bool,
}

impl<'a> Scope<'a> {
    /// Returns `None` if there are no lines.
    fn new(own: &[&'a Line]) -> Option<Self> {
        let end = own.iter().map(|line| line.at).max()?;
        let begins = own.iter().map(|line| {
            let taken = line.number("total_ms").or(line.number("taken_ms"));
            let taken = Duration::from_millis(taken.unwrap_or_default());
            line.at.saturating_sub(taken)
        });
        let targets = own.iter().map(|line| line.text("target_id"));
        Some(Self {
            begin: begins.min()?,
            end,
            sources: own.iter().map(|line| line.source.as_str()).collect(),
            targets: targets.filter(|target| !target.is_empty()).collect(),
            has_stages: own
                .iter()
                .any(|line| line.number("stages_ms").unwrap_or_default() > 0),
        })
    }

    /// Returns whether a line that does not name the request may explain it.
    fn is_relevant(&self, line: &Line) -> bool {
        let message = line.message();
        let is_stage_event = self.has_stages && STAGE_MESSAGES.contains(&message);
        let before = if is_stage_event {
            MAX_CLOCK_SKEW
        } else {
            LOOKBACK
        };
        if line.at + before < self.begin || line.at > self.end + MAX_CLOCK_SKEW {
            return false;
        }
        let is_daemon_event =
            DAEMON_MESSAGES.contains(&message) && self.sources.contains(line.source.as_str());
        let is_target_event = TARGET_MESSAGES.contains(&message)
            && !line.text("target_id").is_empty()
            && self.targets.contains(line.text("target_id"));
        is_daemon_event || is_target_event || is_stage_event
    }
}

/// Removes doubles, and lines about targets and calls beyond the last ones.
fn trim_context(lines: &mut Vec<&Line>, request: &str) {
    lines.dedup();
    let (mut target_lines, mut call_lines) = (0, 0);
    lines.reverse();
    lines.retain(|line| {
        let count = match line.message() {
            _ if line.text("request") == request => return true,
            "stage call" => &mut call_lines,
            message if TARGET_MESSAGES.contains(&message) => &mut target_lines,
            _ => return true,
        };
        *count += 1;
        *count <= MAX_CONTEXT_LINES
    });
    lines.reverse();
}

fn classify(own: &[&Line], lines: &[Line]) -> Cause {
    let rejected = own.iter().find(|line| line.message() == "request rejected");
    if let Some(line) = rejected {
        let reason = line.text("reason").into();
        return Cause::Rejected { reason };
    }
    let ended = own.iter().rfind(|line| line.message() == "request ended");
    let Some(end) = ended else {
        return Cause::Unknown;
    };
    match end.text("reason") {
        "answered" => classify_answered(end),
        "caller_left" => Cause::CallerLeft,
        reason @ ("backlog" | "late" | "stages_failed") => Cause::Queue {
            reason: reason.into(),
            pool: longest_queue(lines),
        },
        reason @ ("broken" | "timeout" | "full") => {
            let failed = own.iter().rfind(|line| line.message() == "send failed");
            Cause::SendFailed {
                target: end.text("target_id").into(),
                result: failed.map_or(reason, |line| line.text("result")).into(),
            }
        }
        reason => Cause::Other {
            reason: reason.into(),
        },
    }
}

fn classify_answered(end: &Line) -> Cause {
    let first_ms = end.number("first_ms").unwrap_or_default();
    let stages_ms = end.number("stages_ms").unwrap_or_default();
    let target_ms = first_ms.saturating_sub(stages_ms);
    match end.number("objective_ms") {
        Some(objective) if first_ms > objective && stages_ms > target_ms => Cause::SlowStages {
            stages_ms,
            first_ms,
        },
        Some(objective) if first_ms > objective => Cause::SlowTarget {
            target: end.text("target_id").into(),
            sends: end.number("sends").unwrap_or_default(),
            target_ms,
        },
        _ => Cause::Answered,
    }
}

/// Returns the pool with the most waiting pieces for each of its targets.
fn longest_queue(lines: &[Line]) -> Option<CompactString> {
    let queues = lines.iter().filter(|line| line.message() == "stage queue");
    let loads = queues.map(|line| {
        let waiting = line.number("waiting").unwrap_or_default() as f64;
        let targets = line.number("targets").unwrap_or_default().max(1) as f64;
        (waiting / targets, line.text("pool"))
    });
    let longest = loads.max_by(|(load, _), (other, _)| load.total_cmp(other));
    longest
        .filter(|(load, _)| *load > 0.0)
        .map(|(_, pool)| pool.into())
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered => f.write_str("answered in time"),
            Self::SlowStages {
                stages_ms,
                first_ms,
            } => write!(
                f,
                "answered late: stages took {stages_ms} ms of {first_ms} ms"
            ),
            Self::SlowTarget {
                target,
                sends,
                target_ms,
            } => write!(
                f,
                "answered late: target {target} took {target_ms} ms, send {sends}"
            ),
            Self::Queue {
                reason,
                pool: Some(pool),
            } => {
                write!(f, "refused as {reason}: pool {pool} had the longest queue")
            }
            Self::Queue { reason, pool: None } => {
                write!(f, "refused as {reason}: no line shows a queue")
            }
            Self::SendFailed { target, result } => {
                write!(f, "not answered: send to target {target} ended as {result}")
            }
            Self::Rejected { reason } => write!(f, "turned away at once as {reason}"),
            Self::CallerLeft => f.write_str("the caller left"),
            Self::Unknown => f.write_str("no line says how it ended"),
            Self::Other { reason } => write!(f, "refused as {reason}"),
        }
    }
}

impl fmt::Display for Diagnosis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}: {}", self.request, self.cause)?;
        let mut grid = Grid::new(&["time", "daemon", "message", "fields"]);
        for line in &self.lines {
            let shown = line
                .fields
                .iter()
                .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
            let shown: Vec<String> = shown
                .map(|(name, value)| match value {
                    Value::String(text) => format!("{name}={text}"),
                    value => format!("{name}={value}"),
                })
                .collect();
            let time = line.text("timestamp");
            let time = time.split_once('T').map_or(time, |(_, clock)| clock);
            let mark = if line.text("request") == self.request {
                "*"
            } else {
                ""
            };
            grid.push([
                time.to_compact_string(),
                line.source.clone(),
                format_compact!("{mark}{}", line.message()),
                shown.join(" ").to_compact_string(),
            ]);
        }
        grid.fmt(f)
    }
}
