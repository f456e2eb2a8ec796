//! Decisions of the relay, which forwards requests unchanged.
//!
//! [`plan`] maps the host and path of a request to a route, whose stages are numbered as [`stage`] says. One daemon of the fleet, elected by
//! [`leader`], combines the pieces of the request's stages with those of other requests into calls
//! ([`scheduler`]). [`selection`] chooses the target of the request itself, also by the speed that
//! [`performance`] has learned. [`registry`] holds the known targets, [`memory`] the memory that callers
//! and targets may take, [`callers`] says which connections of callers are closed when there are too many,
//! [`patience`] decides how long a silent target is waited for, [`history`] orders the entries of targets
//! when the store loses writes, [`distribution`] brings a new configuration to all daemons, [`origin`]
//! holds where streams began, [`route_history`] where they can have begun, [`sse`] judges whether a stream is complete, [`ending`] holds which targets'
//! processes have ended, [`evacuation`] which failure domains get no requests, [`cold`] which targets are
//! cold, [`crash`] finds what in requests crashes targets, [`quarantine`] holds the records of that,
//! [`reach`] tells a partition of this daemon from failures of targets, [`rejection`] limits how often
//! targets reject requests, [`departure`] holds which targets have said that they leave, [`pause`] keeps the
//! pauses that targets ask for, [`rate`] the limits on requests that they name, [`reader`] says which daemons
//! read the store, and [`shutdown`] which requests a daemon that shuts down still sends.

pub mod builds;
pub mod callers;
pub mod cold;
pub mod crash;
pub mod departure;
pub mod distribution;
pub mod ending;
pub mod evacuation;
pub mod history;
pub mod leader;
pub mod memory;
pub mod origin;
pub mod patience;
pub mod pause;
pub mod performance;
pub mod plan;
pub mod quarantine;
pub mod rate;
pub mod reach;
pub mod reader;
pub mod registry;
pub mod rejection;
pub mod route_history;
pub mod scheduler;
pub mod selection;
pub mod shutdown;
pub mod sse;
pub mod stage;
