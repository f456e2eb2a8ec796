//! Diagnosis of a request's outcome from the logs of several daemons.

use super::Grid;
use chrono::DateTime;
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, fmt, time::Duration};

/// Maximum clock difference between machines, by which the time window is widened for log lines
/// of other daemons.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// How long before a request an event at its daemon or target can still affect it, such as a
/// target paused after failures or the loss of a conductor.
const LOOKBACK: Duration = Duration::from_secs(2);
/// Maximum number of lines about the targets of a request, and of lines about stage calls.
///
/// A burst of failures logs hundreds of these per second.
const MAX_CONTEXT_LINES: usize = 12;
/// Fields left out of the `fields` column: shown in other columns, or not specific to a request.
const HIDDEN_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// Messages about the state of a daemon, relevant if the daemon held the request.
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
/// Messages about a target, relevant if the request was sent to it.
const TARGET_MESSAGES: [&str; 3] = ["send failed", "target", "target died"];
/// Messages about what crashes targets, relevant if the request was refused for it, however long before.
const FEATURE_MESSAGES: [&str; 2] = ["feature quarantined", "feature released"];
/// Messages of the conducting daemon, relevant if the request spent time in stages.
const STAGE_MESSAGES: [&str; 3] = ["stage call", "stage queue", "this daemon conducts"];

/// Parsed log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name of the daemon that wrote the line, or of the file if the line has no prefix.
    pub source: CompactString,
    /// Time since the Unix epoch, by the clock of the daemon.
    #[serde(skip)]
    pub at: Duration,
    /// All fields of the line, including `timestamp`, `level` and `message`.
    pub fields: Map<String, Value>,
}

/// Cause of a request's outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Cause {
    /// The request was answered within its objective, or had none.
    Answered,
    /// The first event was late, mostly because of the stages.
    SlowStages {
        /// Time spent in stages, in milliseconds.
        stages_ms: u64,
        /// Time to the first event, in milliseconds.
        first_ms: u64,
    },
    /// The first event was late, mostly because of the target.
    SlowTarget {
        /// Target of the last send.
        target: CompactString,
        /// Number of sends, including retries.
        sends: u64,
        /// Time to the first event minus the time spent in stages, in milliseconds.
        target_ms: u64,
    },
    /// The stages refused or failed the request, in most cases because their queues were too long
    /// for its deadline.
    Queue {
        /// Reason as logged: `backlog`, `late` or `stages_failed`.
        reason: CompactString,
        /// Pool with the most waiting pieces per target; `None` if no log line shows a queue.
        pool: Option<CompactString>,
    },
    /// All targets of its pool had asked the daemon for a pause.
    Paused {
        /// Time after which the caller could retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A send failed, or a stream was interrupted, and the request could not be retried.
    #[serde(rename = "send")]
    SendFailed {
        /// Target of the last send.
        target: CompactString,
        /// Result of the last failed send, as logged.
        result: CompactString,
    },
    /// The request was refused because targets crash that execute requests with this part of its
    /// prompt, or with its payload if `part` is `None`.
    Crashing {
        /// Part of the prompt.
        part: Option<CompactString>,
    },
    /// The request was rejected before it was accepted.
    Rejected {
        /// Reason as logged.
        reason: CompactString,
    },
    /// The caller disconnected.
    #[serde(rename = "left")]
    CallerLeft,
    /// The logs do not contain the end of the request.
    Unknown,
    /// The request ended for a reason that has no variant of its own.
    Other {
        /// Reason as logged.
        reason: CompactString,
    },
}

/// Outcome of a request with the log lines that explain it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Diagnosis {
    /// Identifier of the request.
    pub request: CompactString,
    /// Cause of the outcome.
    pub cause: Cause,
    /// Lines of the request and other relevant lines, ordered by time.
    pub lines: Vec<Line>,
}

/// Parses the lines of a log.
///
/// The last word before a line's first brace is taken as the name of its daemon; `source` is used
/// where there is none. Lines that are not JSON objects with a valid timestamp are skipped.
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
    /// Diagnoses a request; returns `None` if no line belongs to it.
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

/// Time window, daemons and targets of a request.
#[derive(Debug)]
struct Scope<'a> {
    begin: Duration,
    end: Duration,
    sources: BTreeSet<&'a str>,
    targets: BTreeSet<&'a str>,
    /// Features that are the reason of a refusal.
    features: BTreeSet<&'a str>,
    has_stages: bool,
}

impl<'a> Scope<'a> {
    /// Computes the scope from the lines of a request; returns `None` if there are none.
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
            features: own
                .iter()
                .map(|line| line.text("feature"))
                .filter(|feature| !feature.is_empty())
                .collect(),
            has_stages: own
                .iter()
                .any(|line| line.number("stages_ms").unwrap_or_default() > 0),
        })
    }

    /// Returns whether a line that does not belong to the request may explain its outcome.
    fn is_relevant(&self, line: &Line) -> bool {
        let message = line.message();
        if FEATURE_MESSAGES.contains(&message) {
            return line.at <= self.end + MAX_CLOCK_SKEW
                && self.features.contains(line.text("feature"));
        }
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

/// Removes consecutive duplicates, and keeps only the last [`MAX_CONTEXT_LINES`] lines about targets
/// and about stage calls. Lines of the request itself are all kept.
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
        "paused" => Cause::Paused {
            retry_after_ms: end.number("retry_after_ms").unwrap_or_default(),
        },
        reason @ ("broken" | "timeout" | "full" | "cut_off" | "foreign" | "long_event"
        | "silent") => {
            let failed = own.iter().rfind(|line| line.message() == "send failed");
            Cause::SendFailed {
                target: end.text("target_id").into(),
                result: failed.map_or(reason, |line| line.text("result")).into(),
            }
        }
        "crashing" => {
            let refused = own.iter().rfind(|line| !line.text("feature").is_empty());
            let part = refused.map(|line| line.text("part"));
            Cause::Crashing {
                part: part.filter(|part| !part.is_empty()).map(Into::into),
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

/// Returns the pool with the most waiting pieces per target.
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
                "answered late: target {target} took {target_ms} ms, sends: {sends}"
            ),
            Self::Queue {
                reason,
                pool: Some(pool),
            } => {
                write!(f, "refused ({reason}): pool {pool} had the longest queue")
            }
            Self::Queue { reason, pool: None } => {
                write!(f, "refused ({reason}): the logs show no queue")
            }
            Self::Paused { retry_after_ms } => write!(
                f,
                "refused: all targets of its pool had asked for a pause; to be retried after {retry_after_ms} ms"
            ),
            Self::SendFailed { target, result } => {
                write!(f, "not answered: send to target {target} failed ({result})")
            }
            Self::Crashing { part: Some(part) } => {
                write!(f, "refused: prompts with the part {part} crash targets")
            }
            Self::Crashing { part: None } => f.write_str("refused: its payload crashes targets"),
            Self::Rejected { reason } => write!(f, "rejected on arrival: {reason}"),
            Self::CallerLeft => f.write_str("the caller disconnected"),
            Self::Unknown => f.write_str("the logs do not show how it ended"),
            Self::Other { reason } => write!(f, "refused ({reason})"),
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
