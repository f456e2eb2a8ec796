//! After one slow call, the scheduler refused every job whose stages would take too long at that speed,
//! so that no call was made any more that would have shown otherwise.

use policy::{
    id::{PoolId, Time},
    relay::{
        plan::{BatchLimits, Limits, Plan, Pool},
        registry::{Target, TargetChange},
        scheduler::{CallId, Command, Job, JobId, Reply, Scheduler, StageSpec, Stages},
    },
};
use rstest::rstest;
use std::time::Duration;

const STAGES: usize = 6;
const MS: Duration = Duration::from_millis(1);
/// Time that the first calls take; the limits say 110 ms.
const SLOW_CALL: Duration = Duration::from_millis(700);
const CALL: Duration = Duration::from_millis(110);
/// Time from a request until its caller gives up.
const PATIENCE: Duration = Duration::from_secs(2);
/// `recover-s` of the sites.
const RECOVERY: Duration = Duration::from_secs(12);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(500);

/// Scheduler of one pool whose targets take a call after the other.
struct Fleet {
    scheduler: Scheduler,
    /// Calls in progress, with their ends and numbers of pieces.
    calls: Vec<(Time, CallId, usize)>,
    call_time: Duration,
    served: usize,
    handles: usize,
}

impl Fleet {
    fn new() -> Self {
        let pool = PoolId::from("s-stage");
        let limits = BatchLimits {
            max_pieces: 8,
            call_overhead: MS * 100,
            piece_time: MS * 10,
            result_memory: 18_000_000,
            result_ttl: Duration::from_secs(4),
        };
        let callers = Limits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        let pools = vec![Pool {
            name: pool.clone(),
            max_connections: 360,
            batch_limits: Some(limits),
            memory_tokens: None,
            cold_limits: None,
        }];
        let mut scheduler = Scheduler::new();
        scheduler.set_plan(&Plan::new(1, callers, Vec::new(), pools, Vec::new()));
        for number in 0..3 {
            scheduler.apply_target_change(&TargetChange::Added(Target {
                id: format!("t-{number}").into(),
                pool: pool.clone(),
                address: format!("10.0.0.{number}:80").into(),
                domain: "d".into(),
                build: "v1".into(),
                slots: 1,
                is_ready: true,
                started_unix_ms: 1,
            }));
        }
        Self {
            scheduler,
            calls: Vec::new(),
            call_time: CALL,
            served: 0,
            handles: 0,
        }
    }

    fn job(now: Time, number: u64) -> Job {
        let stages = (0..STAGES).map(|stage| StageSpec {
            pool: "s-stage".into(),
            after: stage.checked_sub(1).map(Into::into).into_iter().collect(),
            bytes: 8_000,
            pieces: 1,
        });
        Job {
            id: JobId { origin: 0, number },
            request: format!("r-{number}").into(),
            identity: number,
            key: "k".into(),
            priority: 1,
            objective: now + MS * 500,
            deadline: now + PATIENCE,
            first_event_latency: MS * 50,
            preferred_domain: None,
            stages: Stages::new(stages.collect()).expect("stages have an order"),
            workspace: None,
            is_resubmitted: false,
        }
    }

    fn execute(&mut self, now: Time, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Call { call, items, .. } => {
                    self.calls.push((now + self.call_time, call, items.len()));
                }
                Command::Ready { .. } => self.served += 1,
                Command::Refuse { .. } | Command::Free { .. } => {}
            }
        }
    }

    /// Submits a job every [`INTERVAL`] from `from` to `to`, and returns how many were submitted and how
    /// many became ready.
    fn run(&mut self, from: Time, to: Time) -> (usize, usize) {
        let before = self.served;
        let mut submitted = 0;
        let mut now = from;
        while now < to {
            let mut out = Vec::new();
            if now
                .saturating_sub(from)
                .as_millis()
                .is_multiple_of(INTERVAL.as_millis())
            {
                submitted += 1;
                let number = now.as_millis() as u64;
                self.scheduler.submit(now, Self::job(now, number), &mut out);
            }
            let ended = self.calls.extract_if(.., |(end, ..)| *end <= now);
            let ended: Vec<_> = ended.collect();
            for (_, call, pieces) in ended {
                let items = (0..pieces).map(|_| {
                    self.handles += 1;
                    Ok(format!("10.0.0.1:80/{}", self.handles).into())
                });
                let reply = Reply::Items(items.collect());
                self.scheduler.reply(now, call, reply, &mut out);
            }
            // Nothing polls a scheduler without jobs.
            if self.scheduler.unfinished_jobs() > 0 {
                self.scheduler.poll(now, &mut out);
            }
            self.scheduler.dispatch_calls(now, &mut out);
            self.execute(now, out);
            now += MS * 25;
        }
        (submitted, self.served - before)
    }
}

#[rstest]
#[case::first_call(Duration::from_secs(1))]
#[case::many_calls(Duration::from_secs(20))]
fn requests_are_served_again_after_slow_calls(#[case] slow_time: Duration) {
    let mut fleet = Fleet::new();
    fleet.call_time = SLOW_CALL;
    fleet.run(Time::ZERO, slow_time);
    fleet.call_time = CALL;
    fleet.run(slow_time, slow_time + RECOVERY);
    let end = slow_time + RECOVERY * 2;
    let (submitted, served) = fleet.run(slow_time + RECOVERY, end);
    assert!(served * 10 >= submitted * 9, "{served} of {submitted}");
}
