//! One module for each failure that was found.

#[path = "../fixture/mod.rs"]
mod fixture;

mod attach_keeps_retry;
mod lost_domain_quarantines_no_one;
