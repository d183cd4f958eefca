//! Calls to the next hop, another node or the backend server, over
//! connections of our own.
//!
//! The HTTP library's codec reads and writes; when a connection may be used
//! again, and which answer belongs to which request, is decided here, since
//! the library's pool cannot be told. One request is in flight on each.

pub use self::hop_client::HopClient;
pub use self::hop_client::HopOptions;
pub use self::hop_client::HopResponse;
pub use self::hop_request::HopRequest;
pub use self::response_body::ResponseBody;
pub use self::response_body::ResponseError;

mod hop_client;
mod hop_connection;
mod hop_request;
mod idle_pool;
mod response_body;
