//! `cowslip quarantine`.

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;

const FINGERPRINT: &str = "6e14d552daae53c497ecb3c2a10e7ecf";

#[test]
fn quarantines_are_listed_and_only_known_ones_lifted() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let list = fixture.json(&["quarantine", "list"]);
    assert_eq!(list.as_array().map(Vec::len), Some(0));
    let table = fixture.stdout(&["quarantine", "list"]);
    assert!(table.contains("FINGERPRINT"), "{table}");
    let stderr = fixture.fails(1, &["quarantine", "lift", FINGERPRINT]);
    assert!(stderr.contains("it is not quarantined"), "{stderr}");
    let stderr = fixture.fails(2, &["quarantine", "lift", "6e14"]);
    assert!(stderr.contains("32 hexadecimal digits"), "{stderr}");
}
