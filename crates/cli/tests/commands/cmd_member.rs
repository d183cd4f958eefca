//! `cowslip member`.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet_fixture::FleetFixture;

/// Time in which a removed instance must not return by itself. It greets the
/// members it knows several times in this time.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Pause before an order that was refused is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of becoming a voter again; only a broken fleet reaches it.
const VOTER_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn members_are_listed_and_removed() {
    let fixture = FleetFixture::with_fleet();
    let members = fixture.json(&["member", "list"]);
    let members = members.as_array().expect("a list");
    assert_eq!(members.len(), 3);
    let leads = members.iter().filter(|line| line["leads"] == true);
    assert_eq!(leads.count(), 1);
    let follower = members.iter().find(|line| line["leads"] == false);
    let name = follower.expect("two follow")["instance"].as_str();
    let name = name.expect("a name").to_owned();
    remove_while_others_live(&fixture, &name);
    let members = fixture.json(&["member", "list"]);
    assert_eq!(members.as_array().map(Vec::len), Some(2));
    let stderr = fixture.fails(1, &["member", "remove", &name]);
    assert!(stderr.contains("no member has this name"), "{stderr}");
}

// Guards against an operator's removal that the instance undoes by itself, and
// against one that no operator can undo. The instance keeps its data folder, which
// holds the beginning of this log, so `member add` may take it back as soon as the
// leader has heard from it; it votes once it holds the rest of the log.
#[test]
fn a_removed_member_returns_only_by_order() {
    let fixture = FleetFixture::with_fleet();
    let members = fixture.json(&["member", "list"]);
    let members = members.as_array().expect("a list");
    let follower = members.iter().find(|line| line["leads"] == false);
    let follower = follower.expect("two follow");
    let name = follower["instance"].as_str().expect("a name");
    let address = follower["address"].as_str().expect("an address");
    remove_while_others_live(&fixture, name);
    let removed_at = Instant::now();
    while removed_at.elapsed() < RETURN_TIME {
        let members = fixture.json(&["member", "list"]);
        assert_eq!(members.as_array().map(Vec::len), Some(2), "{members}");
    }
    let order = ["member", "add", name, address];
    let added = order_until_heard(&fixture, &order, "has not been heard of");
    assert!(added.is_ok(), "{added:?}");
    let deadline = Instant::now() + VOTER_TIMEOUT;
    while !is_voter(&fixture, name) {
        assert!(Instant::now() < deadline, "{name} does not vote");
    }
}

/// Removes a member once the leader has heard from the other one within the last
/// second, which it may not have on a busy machine; any other refusal fails.
fn remove_while_others_live(fixture: &FleetFixture, name: &str) {
    let silent = "a majority of the voters would be live";
    let removed = order_until_heard(fixture, &["member", "remove", name], silent);
    assert!(removed.is_ok(), "{removed:?}");
}

/// Repeats an order about a member while the only refusal contains `silent`, with
/// which the leader says that it has not heard from an instance. Returns any other
/// refusal.
fn order_until_heard(
    fixture: &FleetFixture,
    order: &[&str],
    silent: &str,
) -> Result<(), String> {
    let deadline = Instant::now() + VOTER_TIMEOUT;
    loop {
        let output = fixture.run(order);
        if output.status.success() {
            return Ok(());
        }
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        if !stderr.contains(silent) || Instant::now() > deadline {
            return Err(stderr);
        }
        thread::sleep(RETRY_DELAY);
    }
}

fn is_voter(fixture: &FleetFixture, name: &str) -> bool {
    let members = fixture.json(&["member", "list"]);
    let members = members.as_array().expect("a list");
    members
        .iter()
        .any(|line| line["instance"] == name && line["role"] == "Voter")
}

// An operator adds an instance that does not run yet. If accepted, it would
// count as a member that cannot be reached.
#[test]
fn an_unreachable_instance_is_not_added() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(1, &["member", "add", "control-9", "127.0.0.1:9"]);
    assert!(stderr.contains("has not been heard of"), "{stderr}");
}
