//! Tests of tasks that panic.

use godwithinge::task;
use prometheus::IntCounter;
use std::cell::Cell;

/// A task that panics is started again, and each panic is counted.
#[tokio::test]
async fn panicked_task_is_started_again() {
    let panics = IntCounter::new("panics_total", "Panics").expect("name is valid");
    task::report_panics(panics.clone());
    let starts = Cell::new(0);
    let result = task::supervise(|| {
        starts.set(starts.get() + 1);
        let start = starts.get();
        async move {
            tokio::task::yield_now().await;
            assert!(start > 2, "start {start}");
            start
        }
    })
    .await;
    assert_eq!((result, panics.get()), (3, 2));
}
