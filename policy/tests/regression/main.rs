//! Regression tests, one module per fault.

#[path = "../fixture/mod.rs"]
mod fixture;

mod attach_keeps_retry;
mod evacuated_stage_targets_got_calls;
mod later_queues_count_at_admission;
mod limited_stage_target_was_never_asked;
mod lost_domain_does_not_quarantine;
mod slow_call_refused_everything;
