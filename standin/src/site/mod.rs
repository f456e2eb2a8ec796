//! Fakes of the users' platform: its store and its plain, model and stage engines.

mod behavior;
pub mod capacity;
mod early;
pub mod engine;
mod execution;
mod notice;
pub mod piece;
mod raw;
pub mod store;
