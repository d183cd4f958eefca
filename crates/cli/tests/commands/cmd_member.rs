//! `cowslip member`.

use crate::fleet_fixture::FleetFixture;

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
    fixture.stdout(&["member", "remove", &name]);
    let members = fixture.json(&["member", "list"]);
    assert_eq!(members.as_array().map(Vec::len), Some(2));
    let stderr = fixture.fails(1, &["member", "remove", &name]);
    assert!(stderr.contains("no member has this name"), "{stderr}");
    // Its data folder still holds the log, so it cannot join as a new member.
    let address = follower.expect("two follow")["address"].as_str();
    let stderr = fixture.fails(1, &["member", "add", &name, address.expect("text")]);
    assert!(
        stderr.contains("not empty") || stderr.contains("not been heard"),
        "{stderr}"
    );
}

// An operator adds an instance that does not run yet. If accepted, it would
// count as a member that cannot be reached.
#[test]
fn an_unreachable_instance_is_not_added() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(1, &["member", "add", "control-9", "127.0.0.1:9"]);
    assert!(stderr.contains("has not been heard of"), "{stderr}");
}
