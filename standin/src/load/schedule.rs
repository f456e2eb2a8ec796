//! Seeded open-loop schedules.

use compact_str::{CompactString, format_compact};
use policy::id::{PipelineId, RequestId, WorkspaceId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Bytes of the prefix that requests of one template share.
const PREFIX: usize = 1536;

/// Templates of each workspace.
const TEMPLATES: u32 = 4;

/// Shape parameter of the Pareto distribution of sizes.
const PARETO_SHAPE: f64 = 1.5;

/// Seed of the texts of all templates, the same for each schedule.
const TEXT_SEED: u64 = 7;

/// One request that is to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the begin of the schedule.
    pub at: Duration,
    /// Name of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Pipeline that the request runs through.
    pub pipeline: PipelineId,
    /// Text that the engine reads.
    pub prompt: String,
    /// Tokens that the engine generates; 0 if no engine runs.
    pub tokens: u32,
    /// Whether the last stage is an engine's, so that its text is streamed.
    pub streamed: bool,
    /// Time that the caller gives.
    pub deadline: Duration,
    /// Number of the failure domain that the caller is near to.
    pub domain: usize,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Class {
    /// Pipeline of the requests.
    pub pipeline: PipelineId,
    /// Share of all arrivals, relative to the other classes.
    pub share: f64,
    /// Fewest and most tokens that an engine generates; 0 if no engine runs.
    pub tokens: (u32, u32),
    /// Time that the caller gives.
    pub deadline: Duration,
    /// Whether the last stage is an engine's, so that its text is streamed.
    pub streamed: bool,
}

/// What is offered in which time.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Length of the schedule.
    pub span: Duration,
    /// Arrivals in a second.
    pub rate: f64,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Workspaces with their part of the arrivals.
    pub workspaces: Vec<(WorkspaceId, f64)>,
    /// Begin, end and factor of times with another rate.
    pub bursts: Vec<(Duration, Duration, f64)>,
    /// Begin, end, workspace and rate of arrivals that come on top.
    pub floods: Vec<(Duration, Duration, WorkspaceId, f64)>,
}

impl Schedule {
    /// Draws all arrivals, in order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = self.regular(&mut rng);
        for (begin, end, workspace, rate) in &self.floods {
            let mut at = *begin;
            while let Some(next) = after(at, *rate, &mut rng).filter(|next| next < end) {
                at = next;
                arrivals.push(self.arrival(at, workspace, &mut rng));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.request = format_compact!("load-{}-{number}", self.seed);
            let tail = format!(" tokens={} request={}", arrival.tokens, arrival.request);
            arrival.prompt.push_str(&tail);
        }
        arrivals
    }

    fn regular(&self, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let Some(next) = after(at, self.rate_at(at), rng) else {
                return arrivals;
            };
            at = next;
            if at >= self.span {
                return arrivals;
            }
            let workspace = pick(&self.workspaces, rng);
            arrivals.push(self.arrival(at, &workspace, rng));
        }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let burst = self
            .bursts
            .iter()
            .find(|(begin, end, _)| *begin <= at && at < *end);
        self.rate * burst.map_or(1.0, |(_, _, factor)| *factor)
    }

    fn arrival(&self, at: Duration, workspace: &WorkspaceId, rng: &mut ChaCha8Rng) -> Arrival {
        let shares: Vec<_> = self
            .classes
            .iter()
            .map(|class| (class, class.share))
            .collect();
        let class = pick(&shares, rng);
        let tokens = size(class.tokens, rng);
        Arrival {
            at,
            request: RequestId::default(),
            workspace: workspace.clone(),
            pipeline: class.pipeline.clone(),
            prompt: prompt(workspace, &class.pipeline, rng),
            tokens,
            streamed: class.streamed,
            deadline: class.deadline,
            domain: rng.random_range(0..3),
        }
    }
}

/// Returns the time of the next arrival of a Poisson process.
fn after(at: Duration, rate: f64, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let uniform: f64 = rng.random();
    let gap = -(1.0 - uniform).ln() / rate;
    let gap = Duration::try_from_secs_f64(gap).ok()?;
    at.checked_add(gap)
}

fn pick<T: Clone>(shares: &[(T, f64)], rng: &mut ChaCha8Rng) -> T {
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut point = rng.random_range(0.0..total);
    for (item, share) in shares {
        point -= share;
        if point < 0.0 {
            return item.clone();
        }
    }
    let last = shares.last().map(|(item, _)| item.clone());
    last.unwrap_or_else(|| unreachable!("a schedule has classes and workspaces"))
}

/// Draws a size from a Pareto distribution that is cut off at both ends.
fn size((least, most): (u32, u32), rng: &mut ChaCha8Rng) -> u32 {
    let uniform: f64 = rng.random();
    let size = f64::from(least) * (1.0 - uniform).powf(-1.0 / PARETO_SHAPE);
    (size.round() as u32).clamp(least, most)
}

/// Returns a prompt with a prefix that others of the same template share.
fn prompt(workspace: &WorkspaceId, pipeline: &PipelineId, rng: &mut ChaCha8Rng) -> String {
    let template = rng.random_range(0..TEMPLATES);
    let seed = format_compact!("{workspace}/{pipeline}/{template}");
    let mut text = words(&seed, PREFIX);
    let tail = size((32, 512), rng) as usize;
    let number: u64 = rng.random();
    text.push_str(&words(&format_compact!("{number}"), tail));
    text
}

fn words(name: &CompactString, length: usize) -> String {
    let seed = name.bytes().fold(TEXT_SEED, |seed, byte| {
        seed.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut text = String::with_capacity(length + 8);
    while text.len() < length {
        let word = format!("{:07x} ", rng.next_u32() >> 4);
        text.push_str(&word);
    }
    text.truncate(length);
    text
}
