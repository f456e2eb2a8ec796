//! Fakes of the users' platform: its store and its plain, model and stage engines.

pub mod capacity;
pub mod engine;
pub mod store;
