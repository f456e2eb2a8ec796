//! Processor time and memory of a process, as the kernel counts them.

use std::{fs, path::PathBuf};

/// Nanoseconds in a second.
const NANOSECONDS: f64 = 1e9;

/// Bytes in a kibibyte.
const KIB: f64 = 1024.0;

/// Returns the processor time of all threads of a process that still run, in seconds.
///
/// Zero if the process has ended.
pub fn processor_time(process: u32) -> f64 {
    let tasks = PathBuf::from(format!("/proc/{process}/task"));
    let Ok(entries) = fs::read_dir(tasks) else {
        return 0.0;
    };
    entries
        .filter_map(Result::ok)
        .filter_map(|entry| fs::read_to_string(entry.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
        .map(|nanoseconds| nanoseconds / NANOSECONDS)
        .sum()
}

/// Returns the anonymous resident memory of a process, in bytes; zero if it has ended.
pub fn memory(process: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kibibytes| kibibytes * KIB)
}
