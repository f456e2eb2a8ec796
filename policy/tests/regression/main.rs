//! One module for each failure that was found.

#[path = "../fixture/mod.rs"]
mod fixture;

mod attach_keeps_retry;
