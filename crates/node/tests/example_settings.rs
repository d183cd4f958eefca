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

// Guards against a node that starts with a bandwidth at which no answer would leave.
#[test]
fn a_link_without_bandwidth_is_refused() {
    let example = std::fs::read_to_string(example("sidertre", "node-contract-1.yaml"));
    let example = example.expect("the example exists");
    let folder = tempfile::tempdir().expect("a folder");
    for (mbps, is_valid) in [("6.5", true), ("0", false), ("-1", false), ("inf", false)] {
        let file = folder.path().join("node.yaml");
        let settings = format!("{example}\nlink_mbps: {mbps}\n");
        std::fs::write(&file, settings).expect("the file is written");
        let read = settings_file::read::<NodeSettings>(&file);
        assert_eq!(read.is_ok(), is_valid, "{mbps}");
    }
}
