//! One module for each failure that was found.

#[path = "../fixture/mod.rs"]
mod fixture;

mod attach_keeps_retry;
mod later_queue_counts_at_the_door;
mod lost_domain_quarantines_no_one;
