//! Small fakes of the systems around godwithinge, and its load tool.
//!
//! Each fake is a `Server` that listens on 127.0.0.1, shows its `address()`, takes faults through
//! `control()` and ends like a dead process with `stop()`. `docs/PROTOCOLS.md` gives the protocols
//! that the fakes speak.

pub mod batch;
pub mod control;
pub mod engine;
pub mod fault;
pub mod fetch;
pub mod fleet;
pub mod http;
pub mod load;
pub mod mark;
pub mod patch;
pub mod platform;
pub mod proxy;
pub mod rate;
pub mod run;
pub mod service;
pub mod site;
pub mod slopes;
