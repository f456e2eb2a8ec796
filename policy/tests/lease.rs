//! Tests of the lease of a region: golden sessions, and a simulation with pauses, delays and lost
//! replies.

use policy::{
    chart::Chart,
    id::Time,
    lease::{CHART, Command, Event, Lease, Reply, Row, Settings, State, Step},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde::Deserialize;
use std::{collections::BTreeMap, fmt::Write, fs, path::PathBuf, time::Duration};

const LEASE_DURATION: Duration = Duration::from_secs(8);
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

fn lease(holder: &str) -> Lease {
    Lease::new(Settings {
        holder: holder.into(),
        duration: LEASE_DURATION,
        order_timeout: ORDER_TIMEOUT,
    })
}

/// Input line of a golden session.
#[derive(Deserialize)]
struct Line {
    at: u64,
    #[serde(flatten)]
    event: Event,
}

/// Replays the input lines of a golden file and returns the whole file with current outputs.
fn replay(text: &str) -> String {
    let mut lease = lease("a-1");
    let mut out = String::new();
    for line in text.lines().filter(|line| line.starts_with("{\"at\"")) {
        let script: Line = serde_json::from_str(line).expect("an input line is an event");
        let now = Duration::from_millis(script.at);
        let mut commands = Vec::new();
        lease.on(now, script.event, &mut commands);
        writeln!(out, "{line}").unwrap();
        for command in &commands {
            writeln!(out, "  {}", serde_json::to_string(command).unwrap()).unwrap();
        }
        let (fenced, unfenced) = (lease.permit(now, true), lease.permit(now, false));
        let wake = lease.wake_at().map(|time| time.as_millis());
        writeln!(
            out,
            "  {} fenced={fenced:?} unfenced={unfenced:?} wake={wake:?}",
            lease.state()
        )
        .unwrap();
    }
    out
}

#[rstest]
#[case("first_holder")]
#[case("lost_replies")]
#[case("lapse_and_takeover")]
#[case("paused_holder")]
#[case("platform_out")]
#[case("given_back")]
fn session_matches_its_golden_file(#[case] name: &str) {
    let path =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/lease/{name}.txt"));
    let text = fs::read_to_string(&path).expect("the golden file is readable");
    let replayed = replay(&text);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &replayed).expect("the golden file is writable");
    }
    assert_eq!(replayed, text);
}

#[test]
fn chart_is_valid_and_ends_only_when_released() {
    let chart = Chart::<State, Step>::from_str(CHART).unwrap();
    assert!(chart.is_final(State::Released));
    assert_eq!(chart.next(State::Watching, Step::Renew), None);
}

/// Message in flight in the simulated network.
enum Message {
    /// Write that reaches the platform; `reply` is when its reply arrives, if it is not lost.
    Write {
        row: Row,
        version: u64,
        from: usize,
        operation: u64,
        reply: Option<Time>,
    },
    /// Read that reaches the platform; `reply` is as for a write.
    Read {
        from: usize,
        operation: u64,
        reply: Option<Time>,
    },
    Reply {
        to: usize,
        operation: u64,
        reply: Reply,
    },
}

/// Three planners that compete for one row over a network that delays, loses and reorders messages.
struct Simulation {
    rng: ChaCha8Rng,
    faults: bool,
    planners: Vec<Lease>,
    paused_until: Vec<Time>,
    /// Planner and time of the last permitted order for each fencing token.
    orders: BTreeMap<u64, (usize, Time)>,
    row: Option<Row>,
    version: u64,
    queue: BTreeMap<(Time, u64), Message>,
    sequence: u64,
}

const TICK: Duration = Duration::from_millis(50);
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: true,
            planners: ["a", "b", "c"].map(lease).into(),
            paused_until: vec![Time::ZERO; 3],
            orders: BTreeMap::new(),
            row: None,
            version: 0,
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn schedule(&mut self, at: Time, message: Message) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }

    fn delay(&mut self) -> Duration {
        let max_ms = match (self.faults, self.rng.random_range(0..10)) {
            (true, 0) => 12_000,
            (true, 1..4) => 3_000,
            _ => 100,
        };
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    /// Sends a read or write; its reply may be late or lost, and then the planner times out.
    fn send(&mut self, now: Time, from: usize, command: Command) {
        let arrival = now + self.delay();
        let reply_at = arrival + self.delay();
        let lost = self.faults && self.rng.random_range(0..5) == 0;
        let reply = (!lost && reply_at <= now + OPERATION_TIMEOUT).then_some(reply_at);
        let (operation, message) = match command {
            Command::Read { operation } => (
                operation,
                Message::Read {
                    from,
                    operation,
                    reply,
                },
            ),
            Command::Write {
                operation,
                version,
                row,
            } => (
                operation,
                Message::Write {
                    row,
                    version,
                    from,
                    operation,
                    reply,
                },
            ),
            Command::Gained { .. } | Command::Lost { .. } => return,
        };
        self.schedule(arrival, message);
        if reply.is_none() {
            let timeout = Message::Reply {
                to: from,
                operation,
                reply: Reply::Unavailable,
            };
            self.schedule(now + OPERATION_TIMEOUT, timeout);
        }
    }

    fn event(&mut self, now: Time, planner: usize, event: Event) {
        let mut commands = Vec::new();
        self.planners[planner].on(now, event, &mut commands);
        for command in commands {
            self.send(now, planner, command);
        }
    }

    fn deliver(&mut self, now: Time, message: Message) {
        match message {
            Message::Reply { to, .. } if now < self.paused_until[to] => {
                self.schedule(self.paused_until[to], message);
            }
            Message::Reply {
                to,
                operation,
                reply,
            } => self.event(now, to, Event::Reply { operation, reply }),
            Message::Read {
                from,
                operation,
                reply: Some(at),
            } => {
                let reply = self.row.clone().map_or(Reply::Absent, |row| Reply::Row {
                    row,
                    version: self.version,
                });
                self.schedule(
                    at,
                    Message::Reply {
                        to: from,
                        operation,
                        reply,
                    },
                );
            }
            Message::Read { .. } => {}
            Message::Write {
                row,
                version,
                from,
                operation,
                reply,
            } => {
                let written = version == self.version;
                if written {
                    self.version += 1;
                    self.row = Some(row);
                }
                let answer = if written {
                    Reply::Written {
                        version: self.version,
                    }
                } else {
                    Reply::Conflict
                };
                if let Some(at) = reply {
                    self.schedule(
                        at,
                        Message::Reply {
                            to: from,
                            operation,
                            reply: answer,
                        },
                    );
                }
            }
        }
    }

    /// Advances to `now`, then checks the invariants.
    fn tick(&mut self, now: Time) -> Result<(), TestCaseError> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let message = entry.remove();
            self.deliver(now, message);
        }
        for planner in 0..self.planners.len() {
            if self.faults && self.rng.random_range(0..400) == 0 {
                let pause = Duration::from_millis(self.rng.random_range(0..30_000));
                self.paused_until[planner] = now + pause;
            }
            if now >= self.paused_until[planner] {
                self.event(now, planner, Event::Wake);
            }
        }
        self.check(now)
    }

    /// Fails if two planners may send orders at once, if the fencing token falls or is shared, or if
    /// orders to targets that ignore tokens could overlap those of a former holder.
    fn check(&mut self, now: Time) -> Result<(), TestCaseError> {
        let permits: Vec<_> = self
            .planners
            .iter()
            .enumerate()
            .filter_map(|(planner, lease)| Some((planner, lease.permit(now, true)?)))
            .collect();
        prop_assert!(
            permits.len() <= 1,
            "several planners may send orders at {now:?}: {permits:?}"
        );
        let Some(&(planner, fence)) = permits.first() else {
            return Ok(());
        };
        let newest = self.orders.last_key_value().map_or(0, |(fence, _)| *fence);
        prop_assert!(
            fence >= newest,
            "fencing token fell from {newest} to {fence}"
        );
        if self.planners[planner].permit(now, false).is_some() {
            for (other, last) in self.orders.range(..fence).map(|(_, order)| order) {
                let has_ended = *other == planner || *last + LEASE_DURATION + ORDER_TIMEOUT <= now;
                prop_assert!(
                    has_ended,
                    "an order sent at {last:?} may still be in flight at {now:?}"
                );
            }
        }
        let (holder, last) = self.orders.entry(fence).or_insert((planner, now));
        prop_assert_eq!(
            *holder,
            planner,
            "two planners share fencing token {}",
            fence
        );
        *last = now;
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_planner_may_send_orders_and_orders_resume_after_faults(seed: u64) {
        let mut simulation = Simulation::new(seed);
        let mut now = Time::ZERO;
        while now < Duration::from_secs(240) {
            simulation.tick(now)?;
            now += TICK;
        }
        simulation.faults = false;
        let end = now + Duration::from_secs(30) + LEASE_DURATION * 4;
        while now < end {
            simulation.tick(now)?;
            now += TICK;
        }
        let held = simulation.planners.iter().any(|lease| lease.permit(now, false).is_some());
        prop_assert!(held, "no planner holds the lease after the faults ended");
    }
}
