//! A stage target that had named a low limit got no call any more: each job was refused for the time
//! that its stages would take at that rate, so that no answer showed that the limit had ended.

use policy::{
    id::{PoolId, Time},
    relay::{
        plan::{BatchLimits, Limits, Plan, Pool},
        registry::{Target, TargetChange},
        scheduler::{Command, Job, JobId, Scheduler, StageSpec, Stages},
    },
};
use std::time::Duration;

const NOW: Time = Duration::from_secs(100);
/// Requests a second that the target took when it was last asked.
const RATE: f64 = 0.4;

fn job(now: Time, number: u64) -> Job {
    let stages = (0..2_usize).map(|stage| StageSpec {
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
        objective: now + Duration::from_millis(300),
        deadline: now + Duration::from_secs(2),
        first_event_latency: Duration::from_millis(50),
        preferred_domain: None,
        stages: Stages::new(stages.collect()).expect("stages have an order"),
        workspace: None,
        is_resubmitted: false,
    }
}

#[test]
fn idle_target_is_asked_again() {
    let pool = PoolId::from("s-stage");
    let limits = BatchLimits {
        max_pieces: 8,
        call_overhead: Duration::from_millis(20),
        piece_time: Duration::from_millis(1),
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
        name: pool.clone(),
        max_connections: 100,
        batch_limits: Some(limits),
        memory_tokens: None,
        cold_limits: None,
    }];
    let target = Target {
        id: "t".into(),
        pool,
        address: "10.0.0.1:80".into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 1,
        is_ready: true,
        started_unix_ms: 1,
    };
    let mut scheduler = Scheduler::new();
    scheduler.set_plan(&Plan::new(1, callers, Vec::new(), pools, Vec::new()));
    scheduler.apply_target_change(&TargetChange::Added(target.clone()));
    scheduler.limit_target(NOW, &target, Some(RATE));
    let later = NOW + Duration::from_secs(10);
    let mut out = Vec::new();
    for number in 0..3 {
        scheduler.submit(later, job(later, number), &mut out);
        scheduler.dispatch_calls(later, &mut out);
    }
    let is_call = |command: &&Command| matches!(command, Command::Call { .. });
    assert_eq!(out.iter().filter(is_call).count(), 1, "{out:?}");
}
