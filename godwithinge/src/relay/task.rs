//! Tasks that panic.

use prometheus::IntCounter;
use std::{
    backtrace::Backtrace,
    panic::{self, PanicHookInfo},
};

/// Logs and counts each panic of the process from now on. The runtime catches a panic of a task, so
/// that nothing else would tell that the task has ended.
pub(super) fn report_panics(count: IntCounter) {
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
