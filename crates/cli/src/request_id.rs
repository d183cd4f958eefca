//! Request IDs, which make resending a change idempotent.

use std::sync::Arc;

/// Returns a new request ID: 128 random bits in hexadecimal, so collisions are
/// negligible.
pub fn new_request_id() -> Arc<str> {
    let bits: u128 = rand::random();
    format!("{bits:032x}").into()
}
