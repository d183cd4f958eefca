//! `cowslip evacuate`.

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;

fn start<'a>(domain: &'a str, reason: &'a str) -> Vec<&'a str> {
    let mut args = vec!["evacuate", "start", "--operator", "kari"];
    args.extend_from_slice(&["--reason", reason, domain]);
    args
}

#[test]
fn an_evacuation_is_started_listed_and_ended() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let mut args = vec!["--json"];
    args.extend(start("voss", "power works"));
    let started: serde_json::Value =
        serde_json::from_str(&fixture.stdout(&args)).expect("a document");
    let version = started["version"].as_str().expect("a version");
    fixture.stdout(&["move", "wait", version]);
    let list = fixture.json(&["evacuate", "list"]);
    assert_eq!(list[0]["failure_domain"], "voss");
    assert_eq!(list[0]["operator"], "kari");
    assert_eq!(list[0]["reason"], "power works");
    assert_eq!(list[0]["version"], version);
    assert_eq!(list[0]["state"], "done");
    let table = fixture.stdout(&["evacuate", "list"]);
    assert!(table.contains("power works"), "{table}");
    // The document that is applied again knows nothing of the evacuation.
    fixture.stdout(&["apply", "fleet.yaml"]);
    let list = fixture.json(&["evacuate", "list"]);
    assert_eq!(list.as_array().map(Vec::len), Some(1));
    fixture.stdout(&["evacuate", "end", "voss"]);
    let list = fixture.json(&["evacuate", "list"]);
    assert_eq!(list.as_array().map(Vec::len), Some(0));
}

#[test]
fn orders_about_unknown_domains_and_without_a_reason_are_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let stderr = fixture.fails(1, &start("bergen", "power works"));
    assert!(stderr.contains("no such failure domain"), "{stderr}");
    assert!(stderr.contains("voss"), "{stderr}");
    let stderr = fixture.fails(1, &start("voss", " "));
    assert!(stderr.contains("a written reason"), "{stderr}");
    let stderr = fixture.fails(1, &["evacuate", "end", "voss"]);
    assert!(stderr.contains("not evacuated"), "{stderr}");
    fixture.stdout(&start("voss", "power works"));
    let stderr = fixture.fails(1, &start("voss", "again"));
    assert!(stderr.contains("evacuated already"), "{stderr}");
}
