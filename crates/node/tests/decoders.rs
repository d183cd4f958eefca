//! Decoders return a value or an error for any input and never panic.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use proptest::prelude::*;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::call_fingerprint::RequestParts;
use cowslip_core::claim::ClaimKey;
use cowslip_core::crash_tally::CrashRecord;
use cowslip_core::crash_tally::CrashReport;
use cowslip_core::crash_tally::ReportedCall;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_node::call_headers;
use cowslip_node::local_handler::AnnounceBody;
use cowslip_wire::claim_messages::ClaimCall;
use cowslip_wire::codec::decode;
use cowslip_wire::codec::decode_from;
use cowslip_wire::codec::encode;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::evidence_messages::EvidenceCall;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::FollowReply;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::EndpointsCall;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::ShowCall;
use cowslip_wire::messages::StatusCall;

fn decode_all(bytes: &[u8]) {
    let _ = decode::<ClaimCall>(bytes);
    let _ = decode::<ChunkCall>(bytes);
    let _ = decode::<CrashCall>(bytes);
    let _ = decode::<EvidenceCall>(bytes);
    let _ = decode::<FollowCall>(bytes);
    let _ = decode::<FollowReply>(bytes);
    let _ = decode::<ReportCall>(bytes);
    let _ = decode::<ChangeCall>(bytes);
    let _ = decode::<EndpointsCall>(bytes);
    let _ = decode::<MovesCall>(bytes);
    let _ = decode::<ShowCall>(bytes);
    let _ = decode::<StatusCall>(bytes);
    let _ = serde_json::from_slice::<AnnounceBody>(bytes);
}

fn crash_call() -> CrashCall {
    let parts = RequestParts {
        method: "GET",
        host: "records.example",
        target: "/records/7",
        customer: "anna",
        caller: "",
        body: b"",
    };
    CrashCall {
        reports: vec![CrashReport {
            node: "node-1".into(),
            crashes: vec![CrashRecord {
                number: 7,
                age_ms: 20,
                calls: Vec::new(),
                doubtful_calls: vec![ReportedCall {
                    fingerprint: CallFingerprint::of(&parts),
                    service: "records".into(),
                    route: "/records".into(),
                    began_ms: 30,
                    broke_ms: 1,
                    completed_ms: Some(400),
                    abandoned: true,
                }],
                cold: true,
            }],
        }],
        shared: false,
    }
}

// Guards against a process that ends because a message is nested more deeply than its
// stack allows.
#[test]
fn deeply_nested_messages_fail() {
    // An array of one element, a map of one entry, and their forms in JSON.
    for (open, times) in [
        (&b"\x91"[..], 1_000_000),
        (b"\x81\xa1a", 1_000_000),
        (b"[", 1_000_000),
        (b"{\"a\":", 1_000_000),
    ] {
        decode_all(&open.repeat(times));
        // As the first field of a known message.
        let mut message = b"\x81\xa7version".to_vec();
        message.extend(open.repeat(times));
        decode_all(&message);
        let _ = decode_from::<FollowReply>(&message[..]);
    }
}

proptest! {
    // Guards against a panic on arbitrary bytes, which anyone who can connect to
    // a listener can send. A panic would end all calls in flight on the node.
    #[test]
    fn any_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        decode_all(&bytes);
    }

    // Guards against a panic on truncated or altered messages, which get further
    // into the decoders than random bytes. A valid message is cut off at a
    // position, or has its byte changed there.
    #[test]
    fn broken_messages_decode_or_fail(at in 0..200_usize, byte in any::<u8>()) {
        let call = MovesCall { version: None };
        let mut bytes = encode(&call).expect("the message can be encoded");
        bytes.extend(encode(&"key").expect("the string can be encoded"));
        let at = at % bytes.len();
        decode_all(&bytes[..at]);
        bytes[at] = byte;
        decode_all(&bytes);
    }

    // Guards against a panic on a truncated or altered report of crashes, whose
    // fingerprints are read by hand.
    #[test]
    fn broken_crash_reports_decode_or_fail(at in 0..500_usize, byte in any::<u8>()) {
        let mut bytes = encode(&crash_call()).expect("the report can be encoded");
        let at = at % bytes.len();
        decode_all(&bytes[..at]);
        bytes[at] = byte;
        decode_all(&bytes);
    }

    // Guards against a panic on an unusual value of the deadline header.
    #[test]
    fn any_deadline_parses_or_fails(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        headers.insert(HeaderName::from_static(call_headers::DEADLINE_MS), value);
        let _ = call_headers::deadline(&headers);
    }

    // Guards against a panic on header texts that callers and other nodes choose.
    #[test]
    fn any_text_parses_or_fails(text in ".{0,60}") {
        let _ = CallVerdict::parse(&text);
        let _ = RefusalReason::parse(&text);
        let _ = ClaimKey::new("", "", &text);
    }
}
