//! Daemons of godwithinge: the I/O around crate `policy`.
//!
//! The daemons decode input into [`policy::Event`]s and execute [`policy::Command`]s. Every
//! decision is made by crate `policy`, which does no I/O.

pub mod api;
pub mod ctl;
pub mod entry;
pub mod http;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod planner;
pub mod platform;
pub mod relay;
pub mod settings;
pub mod table;
pub mod target;
pub mod task;
