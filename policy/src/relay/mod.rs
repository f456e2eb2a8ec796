//! Decisions about requests that are forwarded unchanged.
//!
//! A request names its route by host and path ([`plan`]). Pieces of its stages are gathered into
//! calls by one conductor for the whole fleet ([`board`]), which [`lead`] names, and the request
//! itself goes to a target that [`choice`] names. [`roster`] holds the targets, [`crash`] the
//! payloads that kill them.

pub mod crash;
pub mod leader;
pub mod plan;
pub mod registry;
pub mod scheduler;
pub mod selection;
