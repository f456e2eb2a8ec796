//! Time of one routing decision and of one queue operation.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::{
    host::{Host, Report, State},
    id::{AttemptId, Key, PoolId, Time, WorkspaceId},
    pool::Pool,
    queue::{Item, Queue},
    router::{CallResult, Requirements, Router},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{hint::black_box, time::Duration};

const TARGETS: [usize; 3] = [10, 100, 600];
const WORKSPACES: usize = 5_100;
const DOMAINS: usize = 6;

/// Blocks of a prompt of 2,048 tokens.
const BLOCKS: usize = 128;

/// Targets of a pool that one entry works with.
const SUBSET: usize = 16;

fn host(at: usize) -> Host {
    Host {
        host: format!("host-{at}").into(),
        target: format!("engine-{at}").into(),
        pool: "drafting".into(),
        address: "127.0.0.1:1".into(),
        domain: format!("domain-{}", at % DOMAINS).into(),
        region: "amman".into(),
        state: State::Live,
    }
}

fn router(targets: usize, subset: usize) -> Router {
    let pool = Pool::new("drafting").with_engine("m", 64);
    let hosts: Vec<_> = (0..targets).map(host).collect();
    let mut router = Router::new("domain-0".into(), &[pool]).with_subset("entry-0", subset);
    router.set_hosts(Time::ZERO, &hosts);
    for (at, host) in hosts.iter().enumerate() {
        let report = Report {
            running: at as u32 % 5,
            width: 16,
            tokens_per_second: 30.0,
            prefill_per_second: 4_000.0,
            models: vec!["m".into()],
            ..Report::default()
        };
        router.record_report(Time::ZERO, &host.target, &report);
    }
    router
}

fn prefix(workspace: usize) -> [u64; BLOCKS] {
    std::array::from_fn(|at| (workspace * BLOCKS + at) as u64)
}

fn requirements<'a>(
    pool: &'a PoolId,
    workspace: &'a WorkspaceId,
    prefix: &'a [u64],
) -> Requirements<'a> {
    Requirements {
        pool,
        workspace,
        prefix,
        tokens: 32,
        excluded: &[],
        exclusive: false,
    }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        incarnation: 1,
        sequence,
    }
}

/// Fills the prefix index, and ends the calls or leaves the targets `full`.
fn load(router: &mut Router, pool: &PoolId, workspaces: &[WorkspaceId], full: bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (at, workspace) in workspaces.iter().enumerate() {
        let prefix = prefix(at);
        let requirements = requirements(pool, workspace, &prefix);
        let Ok(pick) = router.choose(Time::ZERO, &requirements, &mut rng) else {
            break;
        };
        router.record_start(Time::ZERO, attempt(at as u64), &pick.target, &requirements);
        if !full {
            router.record_end(Time::ZERO, attempt(at as u64), CallResult::Cancelled);
        }
    }
}

/// Measures one choice, with room at the targets and without.
fn decide(criterion: &mut Criterion) {
    let pool = PoolId::from("drafting");
    let workspaces: Vec<WorkspaceId> = (0..WORKSPACES).map(|at| format!("w{at}").into()).collect();
    let mut group = criterion.benchmark_group("decision");
    for targets in TARGETS {
        let all = targets;
        for (name, subset, full) in [
            ("subset", SUBSET, false),
            ("all", all, false),
            ("full_subset", SUBSET, true),
            ("full", all, true),
        ] {
            let mut router = router(targets, subset);
            load(&mut router, &pool, &workspaces, full);
            let mut rng = ChaCha8Rng::seed_from_u64(6);
            let mut at = 0;
            group.bench_function(BenchmarkId::new(name, targets), |bencher| {
                bencher.iter(|| {
                    at = (at + 1) % WORKSPACES;
                    let prefix = prefix(at);
                    let requirements = requirements(&pool, &workspaces[at], &prefix);
                    black_box(router.choose(Time::ZERO, black_box(&requirements), &mut rng)).is_ok()
                });
            });
        }
    }
    group.finish();
}

/// Measures what a call costs beside its choice: start, first part and end.
fn account(criterion: &mut Criterion) {
    let pool = PoolId::from("drafting");
    let workspace = WorkspaceId::from("w");
    let mut group = criterion.benchmark_group("account");
    for targets in TARGETS {
        let mut router = router(targets, SUBSET);
        let mut sequence = 0;
        let target = router.subset(&pool).next().unwrap().clone();
        let prefix = prefix(0);
        let requirements = requirements(&pool, &workspace, &prefix);
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                let now = Duration::from_micros(sequence * 50);
                let attempt = attempt(sequence);
                router.record_start(now, attempt, &target, &requirements);
                router.record_progress(now, attempt, 1);
                router.record_end(now, attempt, CallResult::Succeeded);
            });
        });
    }
    group.finish();
}

/// Measures one item through a queue in which every workspace has one waiting.
fn queue(criterion: &mut Criterion) {
    let item = |at: usize| Item {
        key: Key::new(format!("w{}", at % WORKSPACES), "fit", format!("r{at}")),
        priority: 0,
        share: 1.0,
        deadline: Duration::from_millis(at as u64),
        cost: 0.5,
    };
    let mut queue = Queue::new(WORKSPACES + 1);
    for at in 0..WORKSPACES {
        queue.push(item(at)).unwrap();
    }
    let mut at = WORKSPACES;
    criterion.bench_function("queue/push_pop", |bencher| {
        bencher.iter_batched(
            || {
                at += 1;
                item(at)
            },
            |item| {
                queue.push(item).unwrap();
                black_box(queue.pop())
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, decide, account, queue);
criterion_main!(benches);
