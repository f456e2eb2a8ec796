//! Tasks that panic.
//!
//! The runtime catches a panic of a task, so that the process goes on without the task, and nothing
//! tells.

use futures::FutureExt;
use prometheus::IntCounter;
use std::{
    backtrace::Backtrace,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    time::Duration,
};
use tokio::time;

/// Time after which a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100); // limits the log of one that panics at once

/// Logs and counts each panic of the process from now on.
pub fn report_panics(count: IntCounter) {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        count.inc();
        log_panic(info);
        print(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let backtrace = Backtrace::force_capture();
    tracing::error!(fault = %info, %backtrace, "task panicked");
}

/// Runs a task that the process can't do without, and starts it again whenever it panics. What the task
/// shares with others has to be sound at each of its awaits.
pub async fn supervise<T, F: Future<Output = T>>(start: impl Fn() -> F) -> T {
    loop {
        match AssertUnwindSafe(start()).catch_unwind().await {
            Ok(output) => return output,
            // The hook has logged it.
            Err(_panic) => time::sleep(RESTART_DELAY).await,
        }
    }
}
