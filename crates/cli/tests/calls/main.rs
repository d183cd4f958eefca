//! Calls through real nodes on loopback, while servers, connections and nodes
//! fail or stop.

mod at_most_once;
mod broken_answers;
mod broken_server;
mod crashing_request;
mod crashing_server;
mod faults;
mod fleet_calls;
mod malformed;
mod many_headers;
mod planned_stop;
mod stated_limits;
