//! The directory: reordered and delayed records never replace newer ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;

use cowslip_core::directory::EndpointDirectory;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::directory_follower::DirectoryPosition;
use cowslip_core::directory_follower::DirectoryUpdate;

fn record(instance: u8, incarnation: u64, sequence: u64) -> EndpointRecord {
    let standing = match (incarnation + sequence) % 3 {
        0 => EndpointStanding::Serving,
        1 => EndpointStanding::Draining,
        _ => EndpointStanding::Gone,
    };
    EndpointRecord {
        instance: format!("server-{instance}").into(),
        service: "contract".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 10,
        standing,
        incarnation,
        sequence,
    }
}

fn records() -> impl Strategy<Value = Vec<EndpointRecord>> {
    let one = (0..4_u8, 0..3_u64, 0..5_u64);
    let one = one.prop_map(|(instance, incarnation, sequence)| {
        record(instance, incarnation, sequence)
    });
    prop::collection::vec(one, 0..40)
}

proptest! {
    // Guards against calls to a server that has announced its departure, but
    // whose older "serving" record arrived last. The directory must hold the
    // newest record of each instance, whatever the order of arrival.
    #[test]
    fn the_newest_record_is_kept_in_any_order(arrived in records()) {
        let mut directory = EndpointDirectory::default();
        let mut newest: BTreeMap<Arc<str>, EndpointRecord> = BTreeMap::new();
        for record in &arrived {
            directory.merge(record.clone());
            let held = newest.get(&record.instance);
            if held.is_none_or(|held| held.order() < record.order()) {
                newest.insert(Arc::clone(&record.instance), record.clone());
            }
        }
        let held: Vec<_> = directory.records().cloned().collect();
        let expected: Vec<_> = newest.into_values().collect();
        prop_assert_eq!(&held, &expected);
        // The digest does not depend on the order of arrival either.
        let mut ordered = EndpointDirectory::default();
        for record in expected {
            ordered.merge(record);
        }
        prop_assert_eq!(directory.digest(), ordered.digest());
        prop_assert!(directory.differing(ordered.digest()).is_empty());
    }

    // Guards against records that a follower misses: one that reads the changes
    // since its last revision, however often, holds the source's directory.
    #[test]
    fn reading_all_changes_yields_an_equal_directory(arrived in records(), every in 1..6_usize) {
        let mut source = EndpointDirectory::default();
        let mut follower = EndpointDirectory::default();
        let mut revision = 0;
        for (at, record) in arrived.into_iter().enumerate() {
            source.merge(record);
            if at % every != 0 {
                continue;
            }
            for changed in source.since(revision) {
                follower.merge(changed);
            }
            revision = source.revision();
        }
        for changed in source.since(revision) {
            follower.merge(changed);
        }
        let held: Vec<_> = source.records().cloned().collect();
        let followed: Vec<_> = follower.records().cloned().collect();
        prop_assert_eq!(held, followed);
    }
}

// Guards against unbounded memory use when servers with ever new names come and
// go for weeks. The number of tombstones is bounded, and no live server is
// dropped in their place.
#[test]
fn tombstones_are_bounded() {
    let mut directory = EndpointDirectory::default();
    let mut live = record(0, 1, 0);
    live.standing = EndpointStanding::Serving;
    directory.merge(live);
    for number in 0..20_000 {
        let mut gone = record(1, 1, 0);
        gone.instance = format!("replaced-{number}").as_str().into();
        gone.standing = EndpointStanding::Gone;
        directory.merge(gone);
    }
    assert!(directory.records().count() < 10_000);
    assert!(directory.get("server-0").is_some());
    assert!(directory.get("replaced-19999").is_some());
    assert!(directory.get("replaced-0").is_none());
}

/// A received update whose only record has these positions of names and this
/// standing.
fn update_with_row(position: u32, standing: u8) -> Vec<u8> {
    #[derive(serde::Serialize)]
    struct SentUpdate {
        batch: (Vec<&'static str>, Vec<SentRow>),
        place: Option<DirectoryPosition>,
    }
    type SentRow = (&'static str, u32, u32, u32, SocketAddr, u32, u8, u64, u64);
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let row = ("server", position, 0, 0, address, 10, standing, 1, 1);
    let sent = SentUpdate {
        batch: (vec!["name"], vec![row]),
        place: None,
    };
    rmp_serde::to_vec_named(&sent).expect("encodes")
}

// Guards against a damaged batch that ends the process, or gives a record that
// nobody sent.
#[test]
fn a_batch_with_a_missing_name_or_an_unknown_standing_is_an_error() {
    let decode = |bytes: Vec<u8>| rmp_serde::from_slice::<DirectoryUpdate>(&bytes);
    let sound = decode(update_with_row(0, 2)).expect("decodes");
    assert_eq!(sound.records.len(), 1);
    assert!(decode(update_with_row(1, 2)).is_err());
    assert!(decode(update_with_row(u32::MAX, 0)).is_err());
    assert!(decode(update_with_row(0, 3)).is_err());
}

proptest! {
    // Guards against a batch that gives a record the names of another.
    #[test]
    fn records_are_the_same_after_a_batch(
        rows in prop::collection::vec((0..20_u8, 0..3_u8, 0..9_u64, 0..9_u64), 0..60),
    ) {
        let mut records = Vec::new();
        for (instance, part, incarnation, sequence) in rows {
            let mut sent = record(instance, incarnation, sequence);
            sent.service = format!("service-{part}").into();
            sent.version = format!("v{}", part % 2).into();
            records.push(sent);
        }
        let update = DirectoryUpdate {
            batched: !records.is_empty(),
            records,
            position: None,
            parts: None,
        };
        let encoded = rmp_serde::to_vec_named(&update).expect("encodes");
        let decoded: DirectoryUpdate =
            rmp_serde::from_slice(&encoded).expect("decodes");
        prop_assert_eq!(decoded, update);
    }
}
