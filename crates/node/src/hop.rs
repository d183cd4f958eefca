//! HTTP client for the next hop: another node or the backend server.
//!
//! The HTTP library's codec encodes and decodes. This module keeps its own
//! connection pool, because the library's pool cannot be told when a
//! connection may be reused or which response belongs to which request. Each
//! connection carries one request at a time.

pub use self::hop_client::HopClient;
pub use self::hop_client::HopOptions;
pub use self::hop_client::HopResponse;
pub use self::hop_request::HopRequest;
pub use self::hop_request::SendObserver;
pub use self::response_body::ResponseBody;
pub use self::response_body::ResponseError;

mod hop_client;
mod hop_connection;
mod hop_request;
mod idle_pool;
mod response_body;
