//! One module for each failure that was found.

#[path = "../world/mod.rs"]
#[expect(dead_code, reason = "each test program uses a part of the world")]
mod world;

mod attach_keeps_retry;
