//! Stage targets in a failure domain that was evacuated got calls and releases of results, and their
//! memory counted as that of the pool.

use policy::{
    id::{DomainId, PoolId, Time},
    relay::{
        plan::{BatchLimits, Limits, Plan, Pool},
        registry::{Target, TargetChange},
        scheduler::{
            CallId, Command, Handle, Item, Job, JobId, Reply, Scheduler, StageSpec, Stages,
        },
    },
};
use std::{collections::BTreeSet, time::Duration};

const NOW: Time = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);
const POOL: &str = "s-stage";

fn target(id: &str, domain: &str, started_unix_ms: u64) -> Target {
    Target {
        id: id.into(),
        pool: POOL.into(),
        address: "10.0.0.1:80".into(),
        domain: domain.into(),
        build: "v1".into(),
        slots: 1,
        is_ready: true,
        started_unix_ms,
    }
}

fn domains(names: &[&str]) -> BTreeSet<DomainId> {
    names.iter().map(|name| DomainId::from(*name)).collect()
}

/// A scheduler with one target in `d-a` and one in `d-b`.
fn scheduler() -> Scheduler {
    let limits = BatchLimits {
        max_pieces: 8,
        call_overhead: MS * 20,
        piece_time: MS,
        result_memory: 1_000_000,
        result_ttl: Duration::from_secs(4),
    };
    let callers = Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let pools = vec![Pool {
        name: PoolId::from(POOL),
        max_connections: 100,
        batch_limits: Some(limits),
        memory_tokens: None,
        cold_limits: None,
    }];
    let mut scheduler = Scheduler::new();
    scheduler.set_plan(&Plan::new(1, callers, Vec::new(), pools, Vec::new()));
    for target in [target("t-b", "d-b", 1), target("t-a", "d-a", 1)] {
        scheduler.apply_target_change(&TargetChange::Added(target));
    }
    scheduler
}

fn submit(scheduler: &mut Scheduler, now: Time, number: u64) -> Vec<Command> {
    let job = Job {
        id: JobId { origin: 0, number },
        request: format!("r-{number}").into(),
        identity: number,
        key: "k".into(),
        priority: 1,
        objective: now + MS * 300,
        deadline: now + Duration::from_secs(2),
        first_event_latency: MS * 50,
        preferred_domain: Some("d-b".into()),
        stages: Stages::new(
            vec![StageSpec {
                pool: POOL.into(),
                after: Vec::new(),
                bytes: 8_000,
                pieces: 2,
            }]
            .into(),
        )
        .expect("stages have an order"),
        workspace: None,
        is_resubmitted: false,
    };
    let mut out = Vec::new();
    scheduler.submit(now, job, &mut out);
    scheduler.dispatch_calls(now, &mut out);
    out
}

fn calls(commands: &[Command]) -> Vec<(CallId, &str, &[Item])> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::Call {
            call,
            target,
            items,
            ..
        } => Some((*call, target.as_str(), items.as_slice())),
        _ => None,
    });
    calls.collect()
}

fn releases(commands: &[Command]) -> usize {
    let is_release = |command: &&Command| matches!(command, Command::Free { .. });
    commands.iter().filter(is_release).count()
}

/// Answers all pieces of a call.
fn answer(scheduler: &mut Scheduler, now: Time, call: CallId, pieces: usize) -> Vec<Command> {
    let handles = (0..pieces).map(|piece| Ok(Handle::from(format!("h-{call}-{piece}"))));
    let mut out = Vec::new();
    scheduler.reply(now, call, Reply::Items(handles.collect()), &mut out);
    scheduler.dispatch_calls(now, &mut out);
    out
}

#[test]
fn evacuated_targets_get_neither_calls_nor_releases() {
    let mut scheduler = scheduler();
    let commands = submit(&mut scheduler, NOW, 1);
    let sent = calls(&commands);
    assert_eq!(sent.len(), 1);
    let (call, first, items) = (sent[0].0, sent[0].1, sent[0].2.len());
    assert_eq!(first, "t-b");
    scheduler.set_evacuated(NOW + MS, domains(&["d-b"]));
    // The call that has begun goes on, and its results are used.
    let done = answer(&mut scheduler, NOW + MS * 30, call, items);
    let is_ready = |command: &Command| matches!(command, Command::Ready { .. });
    assert!(done.iter().any(is_ready), "{done:?}");
    let mut out = Vec::new();
    scheduler.release(JobId {
        origin: 0,
        number: 1,
    });
    scheduler.dispatch_calls(NOW + MS * 40, &mut out);
    assert_eq!(releases(&out), 0, "{out:?}");
    for number in 2..6 {
        let now = NOW + MS * 100 * number as u32;
        let commands = submit(&mut scheduler, now, number);
        let sent = calls(&commands);
        assert_eq!(sent.len(), 1, "{commands:?}");
        assert_eq!(sent[0].1, "t-a");
        answer(&mut scheduler, now + MS * 30, sent[0].0, sent[0].2.len());
    }
    let stats = scheduler.pool_stats(NOW);
    assert_eq!(stats[0].targets, 1);
    // At the end, results that have not expired are freed, and calls are made again.
    let now = NOW + MS * 1_000;
    scheduler.set_evacuated(now, domains(&[]));
    let commands = submit(&mut scheduler, now, 9);
    assert_eq!(releases(&commands), 1, "{commands:?}");
    assert_eq!(calls(&commands)[0].1, "t-b");
}

/// Guards against jobs that wait for a pool of which all targets are evacuated.
#[test]
fn jobs_without_targets_are_refused_at_once() {
    let mut scheduler = scheduler();
    for number in 1..4 {
        submit(&mut scheduler, NOW, number);
    }
    let mut out = Vec::new();
    scheduler.set_evacuated(NOW, domains(&["d-a", "d-b"]));
    scheduler.poll(NOW, &mut out);
    out.extend(submit(&mut scheduler, NOW, 4));
    let refused = out
        .iter()
        .filter(|command| matches!(command, Command::Refuse { .. }));
    assert_eq!(refused.count(), 2, "{out:?}");
}

/// A target that registers, or starts again, in an evacuated domain gets nothing before the end.
#[test]
fn new_targets_of_an_evacuated_domain_wait() {
    let mut scheduler = scheduler();
    scheduler.set_evacuated(NOW, domains(&["d-b"]));
    for target in [target("t-c", "d-b", 1), target("t-b", "d-b", 2)] {
        scheduler.apply_target_change(&TargetChange::Added(target));
    }
    assert_eq!(scheduler.pool_stats(NOW)[0].targets, 1);
    let gone = TargetChange::Gone(target("t-c", "d-b", 1));
    scheduler.apply_target_change(&gone);
    scheduler.set_evacuated(NOW, domains(&[]));
    assert_eq!(scheduler.pool_stats(NOW)[0].targets, 2);
}
