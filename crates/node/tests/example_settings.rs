//! Checks that the example settings under `settings/` are valid as they are.

use std::path::PathBuf;

use cowslip_node::node_settings::NodeSettings;
use cowslip_wire::settings_file;

fn example(deployment: &str, file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../settings").join(deployment).join(file)
}

// Guards against an example that cowslip-node refuses.
#[test]
fn node_examples_are_valid() {
    for (deployment, file) in [
        ("sidertre", "node-contract-1.yaml"),
        ("colmenares", "node-ledger-1.yaml"),
    ] {
        let settings: NodeSettings =
            settings_file::read(&example(deployment, file)).expect("usable");
        assert_eq!(settings.controls.len(), 3);
    }
}
