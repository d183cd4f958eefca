//! A source and its followers: which followers are answered, when, and with
//! how many distinct answers.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::config_history::ConfigUpdate;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::directory_follower::DirectoryRequest;
use cowslip_core::document::FleetDocument;
use cowslip_core::endpoint_lease::LEASE_TIME;
use cowslip_core::follow_exchange::FollowAnswer;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::follow_exchange::FollowReply;
use cowslip_core::follower_queue::FollowerId;
use cowslip_core::follower_queue::BATCH_TIME;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::tuning::TuningKey;
use cowslip_core::update_source::LeaderUpdate;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;

#[path = "update_source/roster_answers.rs"]
mod roster_answers;

fn at(index: u64) -> ConfigVersion {
    ConfigVersion::new(1, index)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn snapshot(index: u64) -> ConfigSnapshot {
    let mut document = FleetDocument::default();
    document.defaults.set(TuningKey::DeadlineMs, index);
    ConfigSnapshot {
        version: at(index),
        document: Arc::new(document),
    }
}

fn source(name: &str, run: u64) -> UpdateSource {
    UpdateSource::new(SourceIdentity {
        instance: name.into(),
        failure_domain: "sogn".into(),
        run,
    })
}

fn leader() -> UpdateSource {
    let mut leader = source("control-1", 1);
    leader.set_leading(Duration::ZERO, true);
    leader
}

fn call(name: &str, index: u64, directory: DirectoryRequest) -> FollowCall {
    FollowCall {
        follower: name.into(),
        held: if index == 0 {
            ConfigVersion::ZERO
        } else {
            at(index)
        },
        refused: None,
        whole: false,
        waited: false,
        directory,
        wait_ms: 4_000,
        node_domain: Some("voss".into()),
        control: None,
        needs_roster: false,
    }
}

fn record(name: &str, sequence: u64, standing: EndpointStanding) -> EndpointRecord {
    EndpointRecord {
        instance: name.into(),
        service: "contract".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        slots: 10,
        standing,
        incarnation: 1,
        sequence,
    }
}

fn endpoints(records: Vec<EndpointRecord>) -> ReportBatch {
    ReportBatch {
        groups: Vec::new(),
        endpoints: records,
    }
}

/// The answers due at `now`, one for each follower, and the number of distinct
/// answers.
fn due(
    source: &mut UpdateSource,
    now: Duration,
) -> (Vec<(FollowerId, FollowReply)>, usize) {
    let answers = source.tick(now);
    let distinct = answers.len();
    let mut single = Vec::new();
    for answer in answers {
        for id in answer.followers {
            single.push((id, answer.reply.clone()));
        }
    }
    (single, distinct)
}

fn answer(source: &mut UpdateSource, now: Duration, call: FollowCall) -> FollowReply {
    let id = source.follow(now, call);
    let (answers, _) = due(source, now);
    let own = answers.into_iter().find(|(to, _)| *to == id);
    own.expect("an answer at once").1
}

fn updates(reply: FollowReply) -> FollowAnswer {
    match reply {
        FollowReply::Update(answer) => *answer,
        FollowReply::RetryAfter(after) => panic!("deferred for {after} ms"),
        FollowReply::Roster(_) => panic!("a roster that was not asked for"),
    }
}

/// The directory request of a follower that holds the directory of `source`.
fn synced_request(source: &mut UpdateSource, now: Duration) -> DirectoryRequest {
    let mut follower = DirectoryFollower::default();
    let id = source.follow(now, call("first", 0, follower.request()));
    for (to, reply) in due(source, now + ms(4_000)).0 {
        if to == id {
            follower.take(updates(reply).directory);
        }
    }
    follower.request()
}

// Guards against one answer per node for each of several changes that come
// within milliseconds. The first change is sent at once, the others together,
// and all nodes in the same state share one answer.
#[test]
fn changes_in_quick_succession_are_batched() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(1));
    let request = synced_request(&mut leader, ms(0));
    let now = ms(10_000);
    let wait = |leader: &mut UpdateSource, now, index| {
        for node in 0..100 {
            leader.follow(now, call(&format!("node-{node}"), index, request.clone()));
        }
    };
    wait(&mut leader, now, 1);
    assert_eq!(due(&mut leader, now).0.len(), 0);
    leader.publish(now, snapshot(2));
    let (woken, distinct) = due(&mut leader, now);
    assert_eq!((woken.len(), distinct), (100, 1));
    wait(&mut leader, now, 2);
    for index in 3..10 {
        leader.publish(now + ms(index), snapshot(index));
        assert_eq!(due(&mut leader, now + ms(index)).0.len(), 0);
    }
    let (woken, distinct) = due(&mut leader, now + BATCH_TIME);
    assert_eq!((woken.len(), distinct), (100, 1));
    let last = updates(woken[0].1.clone());
    assert!(matches!(last.config, ConfigUpdate::Delta(delta) if delta.version == at(9)));
}

// Guards against sending the whole directory to nodes that switch to another
// instance after theirs has died. A node that is up to date gets no records,
// and a node that has missed an update gets only the buckets that differ.
#[test]
fn an_up_to_date_node_gets_no_records_from_a_new_source() {
    let mut first = leader();
    let mut second = source("control-2", 2);
    second.set_leading(ms(0), true);
    let names: Vec<String> = (0..200).map(|at| format!("server-{at}")).collect();
    for source in [&mut first, &mut second] {
        source.publish(ms(0), snapshot(1));
        for name in &names {
            let serving = record(name, 1, EndpointStanding::Serving);
            source.report(ms(0), endpoints(vec![serving]));
        }
    }
    let mut node = DirectoryFollower::default();
    let whole = updates(answer(&mut first, ms(100), call("node", 0, node.request())));
    assert_eq!(node.take(whole.directory).len(), 200);
    // Sends the pending update first, so that it does not answer the node.
    second.tick(ms(100));
    let id = second.follow(ms(200), call("node", 1, node.request()));
    let (answers, _) = due(&mut second, ms(4_200));
    let same = answers.into_iter().find(|(to, _)| *to == id);
    let same = updates(same.expect("the wait is over").1);
    assert!(same.directory.records.is_empty());
    assert_eq!(node.take(same.directory).len(), 0);

    let leaving = record("server-7", 2, EndpointStanding::Draining);
    first.report(ms(5_000), endpoints(vec![leaving]));
    first.tick(ms(5_000));
    let parts = updates(answer(
        &mut first,
        ms(5_100),
        call("node", 1, node.request()),
    ));
    let requested = parts.directory.position.is_none();
    assert!(requested, "the source requests the digests of the buckets");
    node.take(parts.directory);
    let part = updates(answer(
        &mut first,
        ms(5_200),
        call("node", 1, node.request()),
    ));
    assert!(part.directory.records.len() < 20);
    assert_eq!(node.take(part.directory).len(), 1);
    assert_eq!(node.directory().digest(), first.directory().digest());
}

// Guards against a backend server that stays listed after its instance lost
// power. Its node no longer renews the lease; all others stay listed.
#[test]
fn a_dead_server_is_removed_from_the_directory() {
    let mut leader = leader();
    let names: Vec<String> = (0..9).map(|at| format!("server-{at}")).collect();
    for name in &names {
        let serving = record(name, 1, EndpointStanding::Serving);
        leader.report(ms(0), endpoints(vec![serving]));
    }
    for second in 1..30 {
        let now = Duration::from_secs(second);
        for name in &names[1..] {
            leader.follow(now, call(name, 0, equal_digest(&leader)));
        }
        leader.tick(now);
    }
    let gone = leader.directory().get("server-0").expect("a tombstone");
    assert_eq!(gone.standing, EndpointStanding::Gone);
    let next = leader.directory().get("server-1").expect("a record");
    assert_eq!(next.standing, EndpointStanding::Serving);
    assert_eq!(leader.counts().leases_ended, 1);
}

// Guards against a dead server that nodes keep for ever: it dies while all control
// instances restart, and these learn only of the servers that announce themselves.
#[test]
fn a_server_that_only_nodes_remember_is_removed() {
    let mut first = leader();
    let names: Vec<String> = (0..9).map(|at| format!("server-{at}")).collect();
    for name in &names {
        let serving = record(name, 1, EndpointStanding::Serving);
        first.report(ms(0), endpoints(vec![serving]));
    }
    let mut node = DirectoryFollower::default();
    let whole = updates(answer(&mut first, ms(100), call("node", 0, node.request())));
    assert_eq!(node.take(whole.directory).len(), 9);

    let mut restarted = source("control-1", 2);
    restarted.set_leading(ms(0), true);
    for name in &names[1..] {
        let serving = record(name, 1, EndpointStanding::Serving);
        restarted.report(ms(0), endpoints(vec![serving]));
    }
    let mut reported = 0;
    for second in 1..40 {
        let now = Duration::from_secs(second);
        for name in &names[1..] {
            restarted.follow(now, call(name, 0, equal_digest(&restarted)));
        }
        let id = restarted.follow(now, call("node", 0, node.request()));
        for (to, reply) in due(&mut restarted, now).0 {
            if to == id {
                node.take(updates(reply).directory);
            }
        }
        let unlisted = node.take_unlisted(now, ms(5_000));
        reported += unlisted.len();
        restarted.report(now, endpoints(unlisted));
    }
    let gone = node.directory().get("server-0").expect("a tombstone");
    assert_eq!(gone.standing, EndpointStanding::Gone);
    let next = node.directory().get("server-1").expect("a record");
    assert_eq!(next.standing, EndpointStanding::Serving);
    assert_eq!(reported, 1);
}

/// The directory request of a follower that is new to `source` and whose
/// directory is equal to the one there.
fn equal_digest(source: &UpdateSource) -> DirectoryRequest {
    DirectoryRequest {
        position: Default::default(),
        digest: source.directory().digest().whole(),
        parts: None,
        reads_batches: true,
    }
}

// Guards against removing live servers when a failure domain is cut off and a
// third of all leases expires at once. The servers stay in the directory; when
// some renew their leases again, those that are really dead are removed.
#[test]
fn a_mass_expiry_removes_no_server() {
    let mut leader = leader();
    let names: Vec<String> = (0..9).map(|at| format!("server-{at}")).collect();
    for name in &names {
        let serving = record(name, 1, EndpointStanding::Serving);
        leader.report(ms(0), endpoints(vec![serving]));
    }
    let mut renewing = 3..9;
    for second in 1..60 {
        let now = Duration::from_secs(second);
        if second == 40 {
            assert_eq!(leader.counts().leases_frozen, 3);
            assert_eq!(leader.counts().leases_ended, 0);
            renewing = 1..9;
        }
        for name in &names[renewing.clone()] {
            leader.follow(now, call(name, 0, equal_digest(&leader)));
        }
        leader.tick(now);
    }
    assert_eq!(leader.counts().leases_frozen, 0);
    assert_eq!(leader.counts().leases_ended, 1);
}

// Guards against a new leader that removes the whole fleet, because it has
// received no lease renewal after minutes without a leader.
#[test]
fn a_new_leader_expires_no_lease_at_once() {
    let mut relay = source("control-2", 2);
    let serving = record("server-1", 1, EndpointStanding::Serving);
    relay.report(ms(0), endpoints(vec![serving]));
    let later = Duration::from_secs(600);
    relay.tick(later);
    relay.set_leading(later, true);
    relay.tick(later + LEASE_TIME);
    let held = relay.directory().get("server-1").expect("a record");
    assert_eq!(held.standing, EndpointStanding::Serving);
}

// Guards against the same where only a relay remembers the server, which did not
// restart with the leader.
#[test]
fn a_server_that_only_a_relay_remembers_is_reported_to_the_leader() {
    let mut relay = source("control-2", 2);
    let serving = record("server-1", 1, EndpointStanding::Serving);
    relay.report(ms(0), endpoints(vec![serving.clone()]));
    relay.take_reports(ms(100));
    relay.report_unlisted(vec![serving.clone()]);
    assert_eq!(relay.take_reports(ms(200)).endpoints, [serving]);
}

/// Sends the relay's reports to the leader and the leader's update to the
/// relay, once.
fn exchange(
    leader: &mut UpdateSource,
    relay: &mut UpdateSource,
    now: Duration,
    run: u64,
) {
    let batch = relay.take_reports(now);
    leader.report(now, batch);
    let records: Vec<EndpointRecord> = leader.directory().records().cloned().collect();
    let id = leader.follow(
        now,
        FollowCall {
            node_domain: None,
            control: None,
            needs_roster: false,
            ..call("relay", 0, DirectoryFollower::default().request())
        },
    );
    for (to, reply) in due(leader, now + ms(4_000)).0 {
        if to != id {
            continue;
        }
        let source = updates(reply).source;
        let update = LeaderUpdate {
            sent_at: now,
            source,
            snapshot: Some(leader.current().clone()),
            endpoints: records.clone(),
            run,
        };
        relay.install(now, update);
    }
}

// Guards against losing a server that announced itself just before the leader
// changed, so that only the old leader received its record. The instance where
// it announced itself sends the record to the new leader, and both directories
// converge.
#[test]
fn directories_converge_after_a_change_of_leader() {
    let mut old = leader();
    let mut relay = source("control-2", 2);
    exchange(&mut old, &mut relay, ms(0), 1);
    relay.follow(ms(10), call("server-1", 0, equal_digest(&relay)));
    let serving = record("server-1", 1, EndpointStanding::Serving);
    relay.report(ms(10), endpoints(vec![serving]));
    exchange(&mut old, &mut relay, ms(100), 1);
    assert!(old.directory().get("server-1").is_some());

    let mut new = source("control-3", 3);
    new.set_leading(ms(200), true);
    let elsewhere = record("server-2", 1, EndpointStanding::Serving);
    new.report(ms(200), endpoints(vec![elsewhere]));
    exchange(&mut new, &mut relay, ms(300), 3);
    exchange(&mut new, &mut relay, ms(400), 3);
    assert!(new.directory().get("server-1").is_some());
    assert_eq!(new.directory().digest(), relay.directory().digest());
}

// Guards against a change that never becomes done because a batch of reports
// was lost. The leader learns the versions of all nodes of a relay from one
// grouped batch, and the next refresh replaces a lost one.
#[test]
fn a_lost_batch_of_reports_is_sent_again() {
    let mut leader = leader();
    let mut relay = source("control-2", 2);
    leader.publish(ms(0), snapshot(1));
    for node in 0..300 {
        relay.follow(
            ms(10),
            call(&format!("node-{node}"), 0, equal_digest(&relay)),
        );
    }
    leader.report(ms(20), relay.take_reports(ms(20)));
    leader.tick(ms(20));
    assert_eq!(leader.move_tracker().progress(at(1)).nodes_live, 300);
    for node in 0..300 {
        relay.follow(
            ms(30),
            call(&format!("node-{node}"), 1, equal_digest(&relay)),
        );
    }
    let lost = relay.take_reports(ms(40));
    assert_eq!(lost.groups.len(), 1);
    assert_eq!(lost.groups[0].nodes.len(), 300);
    relay.requeue_reports(lost);
    leader.report(ms(50), relay.take_reports(ms(50)));
    leader.tick(ms(50));
    let progress = leader.move_tracker().progress(at(1));
    assert_eq!(progress.state, MoveState::Done);
    assert_eq!(progress.nodes_applied, 300);
}

// Guards against an isolated instance that presents its version as confirmed
// to a starting node. The leader's answer to a starting node is confirmed, the
// answer of a relay without a recent update from the leader is not.
#[test]
fn an_isolated_relay_confirms_nothing() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(3));
    let request = equal_digest(&leader);
    let started = updates(answer(&mut leader, ms(10), call("a", 0, request)));
    assert!(started.source.confirmed);
    let mut relay = source("control-2", 2);
    exchange(&mut leader, &mut relay, ms(20), 1);
    let id = relay.follow(ms(60_000), call("a", 0, equal_digest(&relay)));
    assert_eq!(due(&mut relay, ms(60_000)).0.len(), 0);
    let (answers, _) = due(&mut relay, ms(64_000));
    let own = answers.into_iter().find(|(to, _)| *to == id);
    let late = updates(own.expect("the wait is over").1);
    assert!(!late.source.confirmed);
    assert_eq!(late.source.fresh_ms, 0);
}

// Guards against an instance that confirms the version it holds by the leader's proof of
// a newer one, whose snapshot did not reach it.
#[test]
fn a_relay_that_is_behind_the_leader_confirms_nothing() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(5));
    let mut relay = source("control-2", 2);
    exchange(&mut leader, &mut relay, ms(20), 1);
    leader.publish(ms(5_000), snapshot(16));
    let request = equal_digest(&leader);
    leader.follow(ms(8_000), call("relay", 5, request));
    let reply = due(&mut leader, ms(8_100)).0.remove(0).1;
    let newest = updates(reply);
    assert_eq!(newest.source.version, at(16));
    let id = relay.follow(ms(8_000), call("a", 0, equal_digest(&relay)));
    let update = LeaderUpdate {
        sent_at: ms(8_000),
        source: newest.source,
        snapshot: None,
        endpoints: Vec::new(),
        run: 1,
    };
    relay.install(ms(8_110), update);
    assert_eq!(due(&mut relay, ms(8_110)).0.len(), 0);
    let (answers, _) = due(&mut relay, ms(12_000));
    let own = answers.into_iter().find(|(to, _)| *to == id);
    let behind = updates(own.expect("the wait is over").1);
    assert_eq!(behind.source.version, at(5));
    assert!(!behind.source.confirmed);
    assert_eq!(behind.source.fresh_ms, 0);
}

// Guards against a refused version that operators do not see, and against
// sending it to the same node repeatedly. The change's progress counts the
// refusal, and the change is not done.
#[test]
fn a_refusal_is_counted_and_keeps_a_change_from_being_done() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(1));
    let request = synced_request(&mut leader, ms(0));
    leader.publish(ms(60_000), snapshot(2));
    leader.tick(ms(60_000));
    let refusing = FollowCall {
        refused: Some(at(2)),
        ..call("node-1", 1, request.clone())
    };
    leader.follow(ms(60_100), refusing);
    leader.follow(ms(60_100), call("node-2", 2, request));
    assert_eq!(due(&mut leader, ms(60_100)).0.len(), 0);
    let progress = leader.move_tracker().progress(at(2));
    assert_eq!(progress.state, MoveState::InProgress);
    assert_eq!((progress.nodes_applied, progress.nodes_refused), (1, 1));
}
