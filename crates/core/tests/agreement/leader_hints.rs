//! Names of the leader that instances tell each other.

use std::time::Duration;

use crate::fleet::name;
use crate::fleet::Fleet;

/// Maximum time for which an instance names a leader after the last message that
/// anybody on its side received from it: twice the time of one hand-on, on slow clocks.
const LEADER_KNOWN_MAX: Duration = Duration::from_millis(2_600);

// Guards against instances cut off with a leader that go on naming it to each other,
// during the cut and after it: each would follow an instance that does not lead.
#[test]
fn a_leader_that_nobody_hears_from_is_forgotten() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(5, 3, seed);
        let old = fleet.wait_for_leader();
        fleet.run(Duration::from_secs(2));
        let cut_off = [old, (old + 1) % 5, 5, 6];
        for at in cut_off {
            fleet.groups[at] = 1;
        }
        fleet.run(LEADER_KNOWN_MAX);
        for _ in 0..30 {
            for at in cut_off {
                assert_eq!(fleet.known_leader(at), None, "seed {seed}: {at} of {old}");
            }
            fleet.run(Duration::from_millis(100));
        }
        let leader = fleet.wait_for_leader();
        fleet.heal();
        fleet.run(LEADER_KNOWN_MAX);
        for _ in 0..30 {
            for at in 0..fleet.instances.len() {
                let known = fleet.known_leader(at);
                assert_eq!(known, Some(name(leader)), "seed {seed}: {at}, healed");
            }
            fleet.run(Duration::from_millis(100));
        }
    }
}
