//! Benchmarks of routing decisions, call recording and queue operations.

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

const TARGET_COUNTS: [usize; 3] = [10, 100, 600];
const WORKSPACE_COUNT: usize = 5_100;
const DOMAIN_COUNT: usize = 6;

/// Blocks of a prompt of 2,048 tokens.
const PROMPT_BLOCKS: usize = 128;

/// Targets of a pool that one entry routes to.
const SUBSET_SIZE: usize = 16;

fn host(index: usize) -> Host {
    Host {
        host: format!("host-{index}").into(),
        target: format!("engine-{index}").into(),
        pool: "drafting".into(),
        address: "127.0.0.1:1".into(),
        domain: format!("domain-{}", index % DOMAIN_COUNT).into(),
        region: "amman".into(),
        state: State::Live,
    }
}

fn router(targets: usize, subset: usize) -> Router {
    let pool = Pool::new("drafting").with_engine("m", 64);
    let hosts: Vec<_> = (0..targets).map(host).collect();
    let mut router = Router::new("domain-0".into(), &[pool]).with_subset("entry-0", subset);
    router.set_hosts(Time::ZERO, &hosts);
    for (index, host) in hosts.iter().enumerate() {
        let report = Report {
            running: index as u32 % 5,
            max_concurrency: 16,
            tokens_per_second: 30.0,
            prefill_per_second: 4_000.0,
            models: vec!["m".into()],
            ..Report::default()
        };
        router.record_report(Time::ZERO, &host.target, &report);
    }
    router
}

fn prefix(workspace: usize) -> [u64; PROMPT_BLOCKS] {
    std::array::from_fn(|index| (workspace * PROMPT_BLOCKS + index) as u64)
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

/// Fills the prefix index with one call per workspace. With `full`, the calls stay in flight until
/// no target can take another.
fn populate(router: &mut Router, pool: &PoolId, workspaces: &[WorkspaceId], full: bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (index, workspace) in workspaces.iter().enumerate() {
        let prefix = prefix(index);
        let requirements = requirements(pool, workspace, &prefix);
        let Ok(pick) = router.choose(Time::ZERO, &requirements, &mut rng) else {
            break;
        };
        router.record_start(
            Time::ZERO,
            attempt(index as u64),
            &pick.target,
            &requirements,
        );
        if !full {
            router.record_end(Time::ZERO, attempt(index as u64), CallResult::Cancelled);
        }
    }
}

/// Measures the selection of a target, with targets below and at capacity.
fn bench_choice(criterion: &mut Criterion) {
    let pool = PoolId::from("drafting");
    let workspaces: Vec<WorkspaceId> = (0..WORKSPACE_COUNT)
        .map(|index| format!("w{index}").into())
        .collect();
    let mut group = criterion.benchmark_group("decision");
    for targets in TARGET_COUNTS {
        let all = targets;
        for (name, subset, full) in [
            ("subset", SUBSET_SIZE, false),
            ("all", all, false),
            ("full_subset", SUBSET_SIZE, true),
            ("full", all, true),
        ] {
            let mut router = router(targets, subset);
            populate(&mut router, &pool, &workspaces, full);
            let mut rng = ChaCha8Rng::seed_from_u64(6);
            let mut index = 0;
            group.bench_function(BenchmarkId::new(name, targets), |bencher| {
                bencher.iter(|| {
                    index = (index + 1) % WORKSPACE_COUNT;
                    let prefix = prefix(index);
                    let requirements = requirements(&pool, &workspaces[index], &prefix);
                    black_box(router.choose(Time::ZERO, black_box(&requirements), &mut rng)).is_ok()
                });
            });
        }
    }
    group.finish();
}

/// Measures the recording of a call: start, first part and end.
fn bench_call_recording(criterion: &mut Criterion) {
    let pool = PoolId::from("drafting");
    let workspace = WorkspaceId::from("w");
    let mut group = criterion.benchmark_group("account");
    for targets in TARGET_COUNTS {
        let mut router = router(targets, SUBSET_SIZE);
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

/// Measures a push and a pop in a queue that holds one item of every workspace.
fn bench_queue(criterion: &mut Criterion) {
    let item = |index: usize| Item {
        key: Key::new(
            format!("w{}", index % WORKSPACE_COUNT),
            "fit",
            format!("r{index}"),
        ),
        priority: 0,
        share: 1.0,
        deadline: Duration::from_millis(index as u64),
        cost: 0.5,
    };
    let mut queue = Queue::new(WORKSPACE_COUNT + 1);
    for index in 0..WORKSPACE_COUNT {
        queue.push(item(index)).unwrap();
    }
    let mut index = WORKSPACE_COUNT;
    criterion.bench_function("queue/push_pop", |bencher| {
        bencher.iter_batched(
            || {
                index += 1;
                item(index)
            },
            |item| {
                queue.push(item).unwrap();
                black_box(queue.pop())
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, bench_choice, bench_call_recording, bench_queue);
criterion_main!(benches);
