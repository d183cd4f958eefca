//! Overload control and load balancing: which calls are served, which wait,
//! which are refused, and which server gets each call.
//!
//! Each module states the load pattern it handles, what happens without it and
//! the reasons for its constants. [`crate::server_gate`] combines the modules
//! used by a backend server's own node, [`crate::entry_router`] those used by
//! an entry node.

pub mod answer_value;
pub mod call_queue;
pub mod caller_ages;
pub mod cold_limit;
pub mod cold_period;
pub mod concurrency_limit;
pub mod customer_lane;
pub mod customer_throttle;
pub mod deadline_budget;
pub mod decayed_count;
pub mod fair_tags;
pub mod fleet_servers;
pub mod late_call_limit;
pub mod link_schedule;
pub mod outlier_detector;
pub mod queue_order;
pub mod repeat_probability;
pub mod retry_budget;
pub mod retry_delay;
pub mod returning_callers;
pub mod send_window;
pub mod server_load;
pub mod server_pool;
pub mod service_load;
pub mod service_times;
pub mod slow_start;
pub mod startup_wait;
pub mod stated_limit;
pub mod timely_queue;
