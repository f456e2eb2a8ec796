//! Daemons of godwithinge.
//!
//! The daemons translate bytes into [`policy::Event`]s and [`policy::Command`]s into bytes; every
//! decision is made by crate `policy`.

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
