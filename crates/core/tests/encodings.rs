//! Encodings of documents and changes that earlier builds read and wrote.
//!
//! While a fleet is upgraded, control instances and nodes of two builds read the
//! same log and the same documents. As long as no evacuation is ordered and no
//! service sets a cold start, both builds must encode alike.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::version::ConfigVersion;

/// The document of [`document`] as the build before evacuations wrote it.
const DOCUMENT: &str =
    "84a8736572766963657381a9646f63756d656e747382a776657273696f6ea276 \
    31af636f6e6e656374696f6e735f6d61786ea6726f757465739185a470617468 \
    a52f6c6f7473a773657276696365a9646f63756d656e7473a87072696f726974 \
    79a66e6f726d616ca8696e7465726e616cc2a97461726765745f6d73cd0190a8 \
    64656661756c747380aa657863657074696f6e7390";

/// The revision of [`revision`] as the build before evacuations wrote it.
const REVISION: &str =
    "84aa726571756573745f6964a3722d31a86578706563746564c0a561745f6d73 \
    07a66368616e676581a652657669736583a66e756d62657205a96275696c6473 \
    5f6f6e00a564656c746185a46261736582a47465726d01a5696e64657801a776 \
    657273696f6e82a47465726d01a5696e64657802a6646967657374920000ac73 \
    657276696365735f73657481a9646f63756d656e747382a776657273696f6ea2 \
    7631af636f6e6e656374696f6e735f6d61786ea6726f7574657383a772656d6f \
    76656490a87265706c6163656490a8696e73657274656491920085a470617468 \
    a52f6c6f7473a773657276696365a9646f63756d656e7473a87072696f726974 \
    79a66e6f726d616ca8696e7465726e616cc2a97461726765745f6d73cd0190";

fn document() -> FleetDocument {
    let spec = ServiceSpec {
        version: "v1".into(),
        connections_max: Some(110),
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/lots".into(),
        service: "documents".into(),
        target_ms: Some(400),
        ..RouteSpec::default()
    };
    FleetDocument {
        services: BTreeMap::from([("documents".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    }
}

fn revision() -> ChangeEntry {
    let snapshot = |index: u64, document: FleetDocument| ConfigSnapshot {
        version: ConfigVersion::new(1, index),
        document: Arc::new(document),
    };
    let base = snapshot(1, FleetDocument::default());
    let delta =
        ConfigDelta::between(&base, &snapshot(2, document()), ConfigDigest::default());
    ChangeEntry {
        request_id: "r-1".into(),
        expected: None,
        at_ms: 7,
        change: ConfigChange::Revise(Box::new(NumberedRevision {
            number: 5,
            builds_on: 0,
            delta: delta.expect("a delta"),
        })),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pairs = digits.chunks(2).map(|pair| {
        let pair = std::str::from_utf8(pair).expect("ASCII");
        u8::from_str_radix(pair, 16).expect("two digits")
    });
    pairs.collect()
}

// Guards against an upgrade in which one of the builds cannot read what the other
// wrote, so that a node refuses its document or a voter stops following the log.
#[test]
fn encodings_of_the_build_before_evacuations_are_kept() {
    let encoded = rmp_serde::to_vec_named(&document()).expect("an encoding");
    assert_eq!(hex(&encoded), hex(&bytes(DOCUMENT)));
    let encoded = rmp_serde::to_vec_named(&revision()).expect("an encoding");
    assert_eq!(hex(&encoded), hex(&bytes(REVISION)));
    let decoded: FleetDocument =
        rmp_serde::from_slice(&bytes(DOCUMENT)).expect("a document");
    assert_eq!(decoded, document());
    let decoded: ChangeEntry = rmp_serde::from_slice(&bytes(REVISION)).expect("a change");
    assert_eq!(decoded, revision());
}
