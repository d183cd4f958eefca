//! Checks that the example settings under `settings/` are valid as they are.

use std::path::PathBuf;

use cowslip_control::control_settings::ControlSettings;
use cowslip_wire::settings_file;

fn example(deployment: &str, file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../settings").join(deployment).join(file)
}

// Guards against an example that cowslip-control refuses.
#[test]
fn control_examples_are_valid() {
    for deployment in ["sidertre", "colmenares"] {
        for number in 1..=3 {
            let file = example(deployment, &format!("control-{number}.yaml"));
            let settings: ControlSettings = settings_file::read(&file).expect("usable");
            assert_eq!(settings.members.len(), 3);
        }
    }
}
