//! Deltas, chunks and the history that produces them must give the same document
//! as sending the whole document.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;

use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_delta::DeltaError;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::config_history::ConfigHistory;
use cowslip_core::config_history::ConfigUpdate;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::CallPriority;
use cowslip_core::document::CandidateShare;
use cowslip_core::document::EvacuationEntry;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::encoded_size;
use cowslip_core::follower_queue::FollowerState;
use cowslip_core::quarantine::QuarantineEntry;
use cowslip_core::snapshot_chunks::ChunkAssembly;
use cowslip_core::snapshot_chunks::ChunkError;
use cowslip_core::snapshot_chunks::ChunkedSnapshot;
use cowslip_core::snapshot_chunks::CHUNK_BYTES;
use cowslip_core::tuning::TuningKey;
use cowslip_core::tuning::TuningTable;
use cowslip_core::version::ConfigVersion;

fn service() -> impl Strategy<Value = ServiceSpec> {
    (0..3_u8, prop::option::of(0..1_000_u16)).prop_map(|(version, share)| ServiceSpec {
        version: format!("v{version}").into(),
        candidate: share.map(|share_per_mille| CandidateShare {
            version: "next".into(),
            share_per_mille,
            rollout: ConfigVersion::ZERO,
        }),
        ..ServiceSpec::default()
    })
}

fn route(path: u8, service: u8, internal: bool) -> RouteSpec {
    RouteSpec {
        path: format!("/path-{path}").into(),
        service: format!("service-{service}").into(),
        priority: CallPriority::Normal,
        internal,
        ..RouteSpec::default()
    }
}

fn exception(id: u8, value: u64) -> ExceptionEntry {
    ExceptionEntry {
        id: format!("exception-{id}").into(),
        scope: ExceptionScope::default(),
        key: TuningKey::DeadlineMs,
        value,
        reason: "cold presses".to_owned(),
    }
}

/// Lists in any order, with unique keys.
fn unique<T: Clone + std::fmt::Debug>(
    items: impl Strategy<Value = (u8, T)>,
) -> impl Strategy<Value = Vec<(u8, T)>> {
    prop::collection::vec(items, 0..12).prop_map(|items| {
        let mut seen = BTreeMap::new();
        let mut kept = Vec::new();
        for (key, item) in items {
            if seen.insert(key, ()).is_none() {
                kept.push((key, item));
            }
        }
        kept
    })
}

fn document() -> impl Strategy<Value = FleetDocument> {
    let services = prop::collection::btree_map(0..8_u8, service(), 0..8);
    let routes = unique((0..16_u8, (0..8_u8, any::<bool>())));
    let exceptions = unique((0..16_u8, 1..1_000_u64));
    let key = prop::sample::select(TuningKey::ALL);
    let defaults = prop::collection::vec((key, 1..10_u64), 0..4);
    let evacuations = prop::collection::btree_map(0..3_u8, 0..3_u64, 0..3);
    let quarantines = prop::collection::btree_map(0..3_u8, 1..3_u32, 0..3);
    let drawn = (
        services,
        routes,
        exceptions,
        defaults,
        evacuations,
        quarantines,
    );
    drawn.prop_map(|drawn| {
        let mut document = FleetDocument::default();
        for (name, spec) in drawn.0 {
            let name: Arc<str> = format!("service-{name}").into();
            document.services.insert(name, spec);
        }
        for (path, (service, internal)) in drawn.1 {
            document
                .routes
                .push(Arc::new(route(path, service, internal)));
        }
        for (id, value) in drawn.2 {
            document.exceptions.push(exception(id, value));
        }
        let mut table = TuningTable::default();
        for (key, value) in drawn.3 {
            table.set(key, value);
        }
        document.defaults = table;
        for (domain, since_ms) in drawn.4 {
            let entry = EvacuationEntry {
                version: ConfigVersion::new(1, since_ms),
                since_ms,
                operator: "kari".into(),
                reason: "power works".into(),
            };
            document
                .evacuations
                .insert(format!("domain-{domain}").into(), entry);
        }
        for (number, crashes) in drawn.5 {
            let digits = format!("{number:032x}");
            let fingerprint = digits.parse().expect("a fingerprint");
            let entry = QuarantineEntry {
                version: ConfigVersion::new(1, 1),
                service: "service-1".into(),
                route: "/route-1".into(),
                crashes,
                since_ms: 1,
                until_ms: 2,
                times: 1,
                ended: crashes == 2,
            };
            document.quarantines.insert(fingerprint, entry);
        }
        document
    })
}

fn snapshot(index: u64, document: FleetDocument) -> ConfigSnapshot {
    ConfigSnapshot {
        version: ConfigVersion::new(1, index),
        document: Arc::new(document),
    }
}

fn follower_state(held: &ConfigSnapshot) -> FollowerState {
    FollowerState {
        held: held.version,
        ..FollowerState::default()
    }
}

/// Returns what a follower holds after it has applied the whole update.
fn follow(
    history: &mut ConfigHistory,
    held: &ConfigSnapshot,
) -> Result<ConfigSnapshot, String> {
    match history.update_for(&follower_state(held)) {
        ConfigUpdate::Current => Ok(held.clone()),
        ConfigUpdate::Delta(delta) => delta.apply(held).map_err(|e| e.to_string()),
        ConfigUpdate::Snapshot(header, delta) => {
            let version = header.version;
            let mut assembly = ChunkAssembly::new(header).map_err(|e| e.to_string())?;
            while let Some(at) = assembly.wanted() {
                let chunk = history.chunk(version, at).ok_or("no chunk")?;
                assembly.take(&chunk).map_err(|e| e.to_string())?;
            }
            let snapshot = assembly.finish().map_err(|e| e.to_string())?;
            match delta {
                Some(delta) => delta.apply(&snapshot).map_err(|e| e.to_string()),
                None => Ok(snapshot),
            }
        }
    }
}

proptest! {
    // A delta between any two documents gives exactly the second one, and is
    // refused for any other base version.
    #[test]
    fn a_delta_gives_the_target_document(old in document(), new in document()) {
        let digest = ConfigDigest::of_document(&new);
        let (old, new) = (snapshot(1, old), snapshot(2, new));
        let delta = ConfigDelta::between(&old, &new, digest);
        let delta = delta.expect("documents with unique keys have a delta");
        let applied = delta.apply(&old);
        prop_assert_eq!(applied.as_ref(), Ok(&new));
        let other = snapshot(3, (*old.document).clone());
        let wrong_base = DeltaError::WrongBase { base: old.version, held: other.version };
        prop_assert_eq!(delta.apply(&other), Err(wrong_base));
    }

    // A follower that requests an update after any number of versions gets a
    // delta, a snapshot, or a snapshot with a delta on top, and then holds the
    // source's document.
    #[test]
    fn a_follower_ends_with_the_source_document(
        documents in prop::collection::vec((document(), any::<bool>()), 1..12),
    ) {
        let mut history = ConfigHistory::default();
        let mut prompt = ConfigSnapshot::default();
        let mut lagging = ConfigSnapshot::default();
        for (at, (document, asks)) in documents.into_iter().enumerate() {
            prop_assert!(history.publish(snapshot(at as u64 + 1, document)));
            prompt = follow(&mut history, &prompt).expect("the update applies");
            prop_assert_eq!(&prompt, history.current());
            if asks {
                lagging = follow(&mut history, &lagging).expect("the update applies");
                prop_assert_eq!(&lagging, history.current());
            }
        }
    }
}

fn large(routes: u16) -> FleetDocument {
    let mut document = FleetDocument::default();
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: None,
        ..ServiceSpec::default()
    };
    document.services.insert("contract".into(), spec);
    for at in 0..routes {
        document.routes.push(Arc::new(RouteSpec {
            path: format!("/contracts/of/co-operative/number-{at}").into(),
            service: "contract".into(),
            priority: CallPriority::Normal,
            internal: false,
            ..RouteSpec::default()
        }));
    }
    document
}

// A software or memory fault makes the result of a delta differ from the
// leader's document. The node must keep its current version and not route by a
// document that no operator accepted.
#[test]
fn a_result_with_the_wrong_digest_is_refused() {
    let old = snapshot(1, large(1));
    let new = snapshot(2, large(2));
    let digest = ConfigDigest::of_document(&old.document);
    let delta = ConfigDelta::between(&old, &new, digest).expect("a delta");
    let refused = delta.apply(&old);
    assert!(matches!(refused, Err(DeltaError::WrongDigest { .. })));
}

// A chunk is damaged in transit. It is dropped and requested again, the chunks
// before it are kept, and the snapshot can be completed from another source.
#[test]
fn a_damaged_chunk_is_fetched_again() {
    // Incompressible paths, so that there are several chunks.
    let mut document = large(8_000);
    for (at, route) in document.routes.iter_mut().enumerate() {
        let path = ConfigDigest::of_bytes(&at.to_be_bytes());
        Arc::make_mut(route).path = format!("/{path:?}").into();
    }
    let whole = snapshot(7, document);
    let digest = ConfigDigest::of_document(&whole.document);
    let first = ChunkedSnapshot::new(&whole, digest);
    let second = ChunkedSnapshot::new(&whole, digest);
    let mut assembly = ChunkAssembly::new(first.header().clone()).expect("a header");
    let chunk = first.chunk(0).expect("a chunk");
    assembly.take(&chunk).expect("the right chunk");
    let mut damaged = first.chunk(1).expect("several chunks").to_vec();
    damaged[10] ^= 1;
    assert_eq!(
        assembly.take(&damaged),
        Err(ChunkError::WrongChunk { at: 1 })
    );
    while let Some(at) = assembly.wanted() {
        let chunk = second.chunk(at).expect("a chunk");
        assembly.take(&chunk).expect("the right chunk");
    }
    assert_eq!(assembly.finish(), Ok(whole));
}

// Changes come in quick succession while a node on a slow link fetches a
// snapshot. If each change replaced the snapshot, the node would start over for
// ever. The snapshot is kept, and a delta on top leads to the newest version.
#[test]
fn quick_changes_do_not_replace_the_snapshot() {
    let mut history = ConfigHistory::default();
    history.publish(snapshot(1, large(2_000)));
    let start = follower_state(&ConfigSnapshot::default());
    let ConfigUpdate::Snapshot(header, None) = history.update_for(&start) else {
        panic!("a follower with nothing gets a snapshot");
    };
    for index in 2..40 {
        let mut document = large(2_000);
        document.defaults.set(TuningKey::DeadlineMs, index);
        history.publish(snapshot(index, document));
        assert!(history.chunk(header.version, 0).is_some());
        let ConfigUpdate::Snapshot(again, delta) = history.update_for(&start) else {
            panic!("a follower with nothing gets a snapshot");
        };
        assert_eq!(again, header);
        let delta = delta.expect("a delta on top");
        assert_eq!(delta.version, history.current().version);
    }
}

/// Most memory for earlier documents, in bytes as they are encoded: what they take at the
/// size expected in two years.
const EARLIER_BYTES_MAX: usize = 16 * 1024 * 1024;

// Guards against control instances that run out of memory by the earlier documents that
// they keep for followers: each change replaces all routes of a large document.
#[test]
fn earlier_documents_are_bounded_in_bytes() {
    let mut history = ConfigHistory::default();
    let mut published = Vec::new();
    for index in 1..=70 {
        let mut document = large(12_000);
        for route in &mut document.routes {
            Arc::make_mut(route).timeout_ms = Some(index);
        }
        let snapshot = snapshot(index, document);
        published.push(Arc::downgrade(&snapshot.document));
        history.publish(snapshot);
        let kept = published.iter().filter_map(std::sync::Weak::upgrade);
        let sizes = kept.map(|document| encoded_size::of(&document));
        let bytes: usize = sizes.sum();
        assert!(bytes < EARLIER_BYTES_MAX, "{bytes} bytes after {index}");
    }
}

// Guards against followers that get the whole document because the bound of the earlier
// ones counts what they share: each change replaces one route of a large document.
#[test]
fn earlier_documents_that_share_their_routes_are_kept() {
    let mut history = ConfigHistory::default();
    let mut document = large(12_000);
    let first = snapshot(1, document.clone());
    history.publish(first.clone());
    for index in 2..=60 {
        Arc::make_mut(&mut document.routes[index as usize]).timeout_ms = Some(index);
        history.publish(snapshot(index, document.clone()));
    }
    let update = history.update_for(&follower_state(&first));
    assert!(matches!(update, ConfigUpdate::Delta(_)));
}

// An operator adds a thousand routes at once. Every node fetches the whole
// document chunk by chunk, and a small control instance takes 10 ms for each.
// With five chunks the last nodes route by the old document for three seconds.
#[test]
fn a_large_document_fits_in_one_chunk() {
    let whole = snapshot(7, large(1_800));
    let digest = ConfigDigest::of_document(&whole.document);
    let packed = ChunkedSnapshot::new(&whole, digest);
    assert_eq!(packed.header().chunks.len(), 1);
    assert!(packed.header().unpacked > 2 * CHUNK_BYTES as u32);
    let mut assembly = ChunkAssembly::new(packed.header().clone()).expect("a header");
    let chunk = packed.chunk(0).expect("a chunk");
    assembly.take(&chunk).expect("the right chunk");
    assert_eq!(assembly.finish(), Ok(whole));
}

// The length stated in a snapshot header does not match the decompressed
// length, or exceeds the limit. Such a snapshot is refused.
#[test]
fn a_wrong_length_is_refused() {
    let whole = snapshot(7, large(100));
    let digest = ConfigDigest::of_document(&whole.document);
    let packed = ChunkedSnapshot::new(&whole, digest);
    for unpacked in [
        0,
        packed.header().unpacked - 1,
        packed.header().unpacked + 1,
    ] {
        let mut header = packed.header().clone();
        header.unpacked = unpacked;
        let mut assembly = ChunkAssembly::new(header).expect("a header");
        let chunk = packed.chunk(0).expect("a chunk");
        assembly.take(&chunk).expect("the right chunk");
        let refused = assembly.finish();
        assert!(matches!(refused, Err(ChunkError::Undecodable(_))));
    }
    let mut header = packed.header().clone();
    header.unpacked = u32::MAX;
    let refused = ChunkAssembly::new(header).err();
    assert!(matches!(refused, Some(ChunkError::BadHeader { .. })));
}
