//! A source and its followers: who is woken, by what, at which price.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::config_history::ConfigNews;
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

/// The answers that are due, one for each follower, and how many differ.
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

fn news(reply: FollowReply) -> FollowAnswer {
    match reply {
        FollowReply::News(answer) => *answer,
        FollowReply::Later(after) => panic!("told to come back after {after} ms"),
    }
}

/// A follower of `source` that has its directory and version `index`.
fn settled(source: &mut UpdateSource, now: Duration) -> DirectoryRequest {
    let mut follower = DirectoryFollower::default();
    let id = source.follow(now, call("first", 0, follower.request()));
    for (to, reply) in due(source, now + ms(4_000)).0 {
        if to == id {
            follower.take(news(reply).directory);
        }
    }
    follower.request()
}

// Several changes come within milliseconds. Each of them waking every node
// would cost that many answers for each; the first goes out at once and the
// others together, and all nodes at one place share one answer.
#[test]
fn quick_changes_go_out_together() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(1));
    let ask = settled(&mut leader, ms(0));
    let now = ms(10_000);
    let wait = |leader: &mut UpdateSource, now, index| {
        for node in 0..100 {
            leader.follow(now, call(&format!("node-{node}"), index, ask.clone()));
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
    let last = news(woken[0].1.clone());
    assert!(matches!(last.config, ConfigNews::Delta(delta) if delta.version == at(9)));
}

// An instance dies and its nodes come to another one. They have lost
// nothing, and each must cost a few bytes and not the whole directory; one
// that has missed an update gets that part of the directory only.
#[test]
fn a_node_that_lost_nothing_gets_no_record() {
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
    let whole = news(answer(&mut first, ms(100), call("node", 0, node.request())));
    assert_eq!(node.take(whole.directory).len(), 200);
    // The update is on its way to all who wait; it is sent first.
    second.tick(ms(100));
    let id = second.follow(ms(200), call("node", 1, node.request()));
    let (answers, _) = due(&mut second, ms(4_200));
    let same = answers.into_iter().find(|(to, _)| *to == id);
    let same = news(same.expect("the wait is over").1);
    assert!(same.directory.records.is_empty());
    assert_eq!(node.take(same.directory).len(), 0);

    let leaving = record("server-7", 2, EndpointStanding::Draining);
    first.report(ms(5_000), endpoints(vec![leaving]));
    first.tick(ms(5_000));
    let parts = news(answer(
        &mut first,
        ms(5_100),
        call("node", 1, node.request()),
    ));
    let ask = parts.directory.place.is_none();
    assert!(ask, "the digests of the parts are wanted");
    node.take(parts.directory);
    let part = news(answer(
        &mut first,
        ms(5_200),
        call("node", 1, node.request()),
    ));
    assert!(part.directory.records.len() < 20);
    assert_eq!(node.take(part.directory).len(), 1);
    assert_eq!(node.directory().digest(), first.directory().digest());
}

// A backend server's instance loses power. Nobody says so, but its node no
// longer renews the lease; all others stay listed.
#[test]
fn a_dead_server_leaves_the_directory() {
    let mut leader = leader();
    let names: Vec<String> = (0..9).map(|at| format!("server-{at}")).collect();
    for name in &names {
        let serving = record(name, 1, EndpointStanding::Serving);
        leader.report(ms(0), endpoints(vec![serving]));
    }
    for second in 1..30 {
        let now = Duration::from_secs(second);
        for name in &names[1..] {
            leader.follow(now, call(name, 0, settled_ask(&leader)));
        }
        leader.tick(now);
    }
    let gone = leader.directory().get("server-0").expect("a tombstone");
    assert_eq!(gone.standing, EndpointStanding::Gone);
    let next = leader.directory().get("server-1").expect("a record");
    assert_eq!(next.standing, EndpointStanding::Serving);
    assert_eq!(leader.counts().leases_ended, 1);
}

fn settled_ask(source: &UpdateSource) -> DirectoryRequest {
    DirectoryRequest {
        place: Default::default(),
        digest: source.directory().digest().whole(),
        parts: None,
    }
}

// A failure domain is cut off, so that a third of all leases ends at once.
// The servers are up and reachable for others; they stay in the directory,
// and when some are heard again, those that are really dead can leave.
#[test]
fn a_mass_expiry_is_blindness_and_not_death() {
    let mut leader = leader();
    let names: Vec<String> = (0..9).map(|at| format!("server-{at}")).collect();
    for name in &names {
        let serving = record(name, 1, EndpointStanding::Serving);
        leader.report(ms(0), endpoints(vec![serving]));
    }
    let mut heard = 3..9;
    for second in 1..60 {
        let now = Duration::from_secs(second);
        if second == 40 {
            assert_eq!(leader.counts().leases_frozen, 3);
            assert_eq!(leader.counts().leases_ended, 0);
            heard = 1..9;
        }
        for name in &names[heard.clone()] {
            leader.follow(now, call(name, 0, settled_ask(&leader)));
        }
        leader.tick(now);
    }
    assert_eq!(leader.counts().leases_frozen, 0);
    assert_eq!(leader.counts().leases_ended, 1);
}

// The source goes away for minutes and a new leader takes over. It has
// heard no renewal yet and must not take the whole fleet for dead.
#[test]
fn a_new_leader_judges_no_lease_at_once() {
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

/// Carries news down from the leader and reports up, once.
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
            ..call("relay", 0, DirectoryFollower::default().request())
        },
    );
    for (to, reply) in due(leader, now + ms(4_000)).0 {
        if to != id {
            continue;
        }
        let source = news(reply).source;
        let news = LeaderUpdate {
            sent_at: now,
            source,
            snapshot: Some(leader.current().clone()),
            endpoints: records.clone(),
            run,
        };
        relay.install(now, news);
    }
}

// A server announces itself at one control instance just before the leader
// changes; only the old leader heard of it. The instance tells the new one,
// and the directories of both end alike.
#[test]
fn directories_converge_after_a_change_of_leader() {
    let mut old = leader();
    let mut relay = source("control-2", 2);
    exchange(&mut old, &mut relay, ms(0), 1);
    relay.follow(ms(10), call("server-1", 0, settled_ask(&relay)));
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

// A relay's nodes apply a version. The leader learns it from one grouped
// batch, the move reads done, and a batch lost on the way is made up for by
// the next refresh.
#[test]
fn grouped_reports_make_a_move_done() {
    let mut leader = leader();
    let mut relay = source("control-2", 2);
    leader.publish(ms(0), snapshot(1));
    for node in 0..300 {
        relay.follow(
            ms(10),
            call(&format!("node-{node}"), 0, settled_ask(&relay)),
        );
    }
    leader.report(ms(20), relay.take_reports(ms(20)));
    leader.tick(ms(20));
    assert_eq!(leader.board().progress(at(1)).nodes_live, 300);
    for node in 0..300 {
        relay.follow(
            ms(30),
            call(&format!("node-{node}"), 1, settled_ask(&relay)),
        );
    }
    let lost = relay.take_reports(ms(40));
    assert_eq!(lost.groups.len(), 1);
    assert_eq!(lost.groups[0].nodes.len(), 300);
    relay.put_back(lost);
    leader.report(ms(50), relay.take_reports(ms(50)));
    leader.tick(ms(50));
    let progress = leader.board().progress(at(1));
    assert_eq!(progress.state, MoveState::Done);
    assert_eq!(progress.nodes_applied, 300);
}

// A node starts at an instance that leads but whose answer is not needed
// yet, and at one that is cut off: only the first confirms.
#[test]
fn a_cut_off_relay_confirms_nothing() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(3));
    let ask = settled_ask(&leader);
    let started = news(answer(&mut leader, ms(10), call("a", 0, ask)));
    assert!(started.source.confirmed);
    let mut relay = source("control-2", 2);
    exchange(&mut leader, &mut relay, ms(20), 1);
    let id = relay.follow(ms(60_000), call("a", 0, settled_ask(&relay)));
    assert_eq!(due(&mut relay, ms(60_000)).0.len(), 0);
    let (answers, _) = due(&mut relay, ms(64_000));
    let own = answers.into_iter().find(|(to, _)| *to == id);
    let late = news(own.expect("the wait is over").1);
    assert!(!late.source.confirmed);
    assert_eq!(late.source.fresh_ms, 0);
}

// One node refuses a version as invalid. Operators must see it in the move,
// which is not done, and the node must not be sent the same again and again.
#[test]
fn a_refusal_is_visible_in_the_move() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(1));
    let ask = settled(&mut leader, ms(0));
    leader.publish(ms(60_000), snapshot(2));
    leader.tick(ms(60_000));
    let refusing = FollowCall {
        refused: Some(at(2)),
        ..call("node-1", 1, ask.clone())
    };
    leader.follow(ms(60_100), refusing);
    leader.follow(ms(60_100), call("node-2", 2, ask));
    assert_eq!(due(&mut leader, ms(60_100)).0.len(), 0);
    let progress = leader.board().progress(at(2));
    assert_eq!(progress.state, MoveState::InProgress);
    assert_eq!((progress.nodes_applied, progress.nodes_refused), (1, 1));
}
