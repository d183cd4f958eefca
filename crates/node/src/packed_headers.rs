//! Headers between nodes that share one header line.
//!
//! A request or response with many headers of a caller or a backend server would
//! have more lines with those of the nodes than the next node's parser takes. In
//! such a request the nodes' own headers travel in one line; in such a response
//! those are left out that only say how busy the server is.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;

use crate::call_forward::HopHeaders;

/// Maximum number of header lines that the HTTP library parses.
const LINES_MAX: usize = 96;

/// Lines that the HTTP library adds to a message: its length and the date.
const ADDED_LINES: usize = 2;

/// Header that holds the others, each as `name=value` behind a tab.
const PACKED: HeaderName = HeaderName::from_static("cowslip-packed");

/// Returns whether a message with `lines` header lines reaches the next node.
pub fn fits(lines: usize) -> bool {
    lines + ADDED_LINES <= LINES_MAX
}

/// Returns whether a request with these headers reaches the next node, if those that
/// nodes add share one line.
pub fn fits_packed(headers: &HeaderMap) -> bool {
    fits(headers.len() + 1)
}

/// Returns `added`, in one line if they are too many beside `headers`.
pub fn pack(headers: &HeaderMap, added: HopHeaders) -> HopHeaders {
    if fits(headers.len() + added.len()) {
        return added;
    }
    let mut packed = String::new();
    for (name, value) in added {
        packed.push('\t');
        packed += name.as_str();
        packed.push('=');
        packed += &value;
    }
    vec![(PACKED, packed)]
}

/// Replaces the line that holds the others by these.
pub fn unpack(headers: &mut HeaderMap) {
    let Some(packed) = headers.remove(PACKED).next() else {
        return;
    };
    for field in packed.as_bytes().split(|byte| *byte == b'\t') {
        let Some(at) = field.iter().position(|byte| *byte == b'=') else {
            continue;
        };
        let name = HeaderName::from_bytes(&field[..at]);
        let value = HeaderValue::from_bytes(&field[at + 1..]);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
}
