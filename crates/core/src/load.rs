//! Decisions under load: whom to serve, who waits, who is refused, and
//! where work goes.
//!
//! Each module states the load pattern it answers, what happens without it
//! and the grounds for its figures. [`crate::server_gate`] puts together
//! those of a backend server's own node, [`crate::entry_router`] those of
//! an entry node.

pub mod answer_value;
pub mod call_queue;
pub mod caller_ages;
pub mod concurrency_limit;
pub mod customer_lane;
pub mod customer_throttle;
pub mod deadline_budget;
pub mod decayed_count;
pub mod fair_tags;
pub mod fleet_servers;
pub mod late_call_limit;
pub mod outlier_detector;
pub mod queue_order;
pub mod repeat_share;
pub mod retry_advice;
pub mod retry_budget;
pub mod returning_callers;
pub mod server_load;
pub mod server_pool;
pub mod service_load;
pub mod service_times;
pub mod slow_start;
pub mod startup_wait;
pub mod timely_queue;
