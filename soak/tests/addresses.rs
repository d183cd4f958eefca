//! Tests of the addresses that runs of the soak use.

use std::collections::BTreeSet;
use std::thread;

use cowslip_soak::fleet;

// Guards against a run that cannot start, because another run in this process was given
// the same address in the time before its owner bound it.
#[test]
fn no_address_is_given_to_two_runs() {
    let mut runs = Vec::new();
    for _ in 0..8 {
        runs.push(thread::spawn(|| {
            let addresses = (0..400).map(|_| fleet::unused_address(9));
            addresses.collect::<Vec<_>>()
        }));
    }
    let mut given = BTreeSet::new();
    for run in runs {
        for address in run.join().expect("the run ends") {
            assert!(given.insert(address), "{address} was given twice");
        }
    }
}
