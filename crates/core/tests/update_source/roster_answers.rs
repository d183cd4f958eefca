//! What a source tells nodes and control instances about each other, and in which
//! form it sends the directory.

use std::sync::Arc;

use cowslip_core::config_history::ConfigUpdate;
use cowslip_core::control_roster::ControlRoster;
use cowslip_core::control_roster::ControlSeat;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::follow_exchange::FollowReply;
use cowslip_core::update_source::UpdateSource;

use super::answer;
use super::call;
use super::endpoints;
use super::leader;
use super::ms;
use super::record;
use super::snapshot;
use super::updates;

fn seat(number: u16, domain: &str) -> ControlSeat {
    ControlSeat {
        instance: format!("control-{number}").into(),
        failure_domain: domain.into(),
        address: ([127, 0, 0, 1], 7_100 + number).into(),
    }
}

/// A leader whose configuration names three control instances and whose directory
/// lists `servers`.
fn leader_with_roster(servers: u64) -> UpdateSource {
    let mut leader = leader();
    let mut listed = snapshot(1);
    Arc::make_mut(&mut listed.document).controls = ControlRoster {
        seats: vec![seat(1, "sogn"), seat(2, "voss"), seat(3, "voss")],
    };
    leader.publish(ms(0), listed);
    let mut records = Vec::new();
    for number in 0..servers {
        records.push(record(
            &format!("server-{number}"),
            1,
            EndpointStanding::Serving,
        ));
    }
    leader.report(ms(0), endpoints(records));
    leader
}

fn starting_call(needs_roster: bool) -> FollowCall {
    FollowCall {
        needs_roster,
        ..call("node-1", 0, DirectoryFollower::default().request())
    }
}

// Guards against a mass start in which all nodes fetch the whole directory from the
// few instances that their settings name: the first answer must not grow with the
// fleet, and the node is sent to an instance of its own domain.
#[test]
fn the_first_answer_to_a_starting_node_does_not_grow_with_the_fleet() {
    let mut sizes = Vec::new();
    for servers in [10, 1_000, 5_000] {
        let mut leader = leader_with_roster(servers);
        let reply = answer(&mut leader, ms(100), starting_call(true));
        sizes.push(rmp_serde::to_vec_named(&reply).expect("encodes").len());
        let FollowReply::Roster(roster) = reply else {
            panic!("not a roster: {reply:?}");
        };
        assert_eq!(roster.seats.len(), 3);
    }
    assert_eq!(sizes[0], sizes[2]);
}

// Guards against a starting node that is told the roster again and again, and never
// gets a configuration.
#[test]
fn a_starting_node_that_knows_the_roster_gets_the_configuration() {
    let mut leader = leader_with_roster(10);
    let update = updates(answer(&mut leader, ms(100), starting_call(false)));
    assert_eq!(update.directory.records.len(), 10);
    assert!(!matches!(update.config, ConfigUpdate::Current));
}

// Guards against a fleet that cannot start before it has a roster.
#[test]
fn a_source_without_a_roster_answers_with_the_configuration() {
    let mut leader = leader();
    leader.publish(ms(0), snapshot(1));
    let update = updates(answer(&mut leader, ms(100), starting_call(true)));
    assert!(!matches!(update.config, ConfigUpdate::Current));
}

// Guards against a roster that lists instances which are gone, or none of those that
// follow the leader.
#[test]
fn control_instances_are_live_while_they_follow_the_leader() {
    let mut leader = leader();
    let following = FollowCall {
        node_domain: None,
        control: Some(seat(2, "voss")),
        ..call("control-2", 0, DirectoryFollower::default().request())
    };
    leader.follow(ms(0), following);
    let live = leader.live_controls(ms(1_900));
    assert_eq!(live, Some(vec![seat(2, "voss")]));
    assert_eq!(leader.live_controls(ms(2_100)), Some(Vec::new()));
}

// Guards against a roster in the log while an instance of an earlier build, which
// cannot read it, is still running.
#[test]
fn no_roster_is_planned_while_an_instance_states_no_seat() {
    let mut leader = leader();
    let earlier_build = FollowCall {
        node_domain: None,
        ..call("control-2", 0, DirectoryFollower::default().request())
    };
    leader.follow(ms(0), earlier_build);
    assert_eq!(leader.live_controls(ms(1_900)), None);
}

// Guards against a node of an earlier build that gets records as a batch, which it
// cannot read, and so never learns of a server.
#[test]
fn only_a_follower_that_asks_for_it_gets_records_as_a_batch() {
    for batched in [false, true] {
        let mut leader = leader_with_roster(10);
        let mut starting = starting_call(false);
        starting.directory.reads_batches = batched;
        let reply = answer(&mut leader, ms(100), starting);
        let encoded = rmp_serde::to_vec_named(&reply).expect("encodes");
        let has_key = |key: &[u8]| encoded.windows(key.len()).any(|part| part == key);
        assert_eq!(has_key(b"\xa5batch"), batched);
        assert_eq!(has_key(b"\xa7records"), !batched);
        let decoded: FollowReply = rmp_serde::from_slice(&encoded).expect("decodes");
        assert_eq!(updates(decoded), updates(reply));
    }
}

// Guards against a mass start that fills the links with copies of the directory.
#[test]
fn a_whole_copy_of_the_directory_takes_few_bytes_a_record() {
    let mut sizes = Vec::new();
    for servers in [1_000, 5_000] {
        let mut leader = leader_with_roster(servers);
        let reply = answer(&mut leader, ms(100), starting_call(false));
        sizes.push(rmp_serde::to_vec_named(&reply).expect("encodes").len());
    }
    let each = (sizes[1] - sizes[0]) / 4_000;
    assert!(each <= 40, "{each} bytes a record");
}

// Guards against running nodes that wait out a whole poll at each source that is cut
// off from the leader, or are told to come back to it later.
#[test]
fn a_source_that_is_cut_off_answers_running_nodes_at_once() {
    let mut source = leader();
    source.publish(ms(0), snapshot(1));
    source.set_leading(ms(10), false);
    for node in 0..1_000 {
        let name = format!("node-{node}");
        let call = call(&name, 1, DirectoryFollower::default().request());
        let update = updates(answer(&mut source, ms(20), call));
        assert_eq!(update.source.fresh_ms, 0);
    }
}
