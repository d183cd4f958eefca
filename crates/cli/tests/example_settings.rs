//! The example documents under settings/ are valid.

use std::path::PathBuf;

use cowslip_cli::document_file;
use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_core::document::validate;

fn example(deployment: &str, file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../settings").join(deployment).join(file)
}

// Guards against examples that differ from the deployments of `cowslip-local`,
// which a newcomer sees first.
#[test]
fn document_examples_match_the_local_fleets() {
    for deployment in ["sidertre", "colmenares"] {
        let document = document_file::read(&example(deployment, "fleet.yaml"));
        let document = document.expect("usable");
        assert_eq!(validate(&document), Vec::new());
        let plan = DeploymentPlan::named(deployment).expect("a known deployment");
        let local = plan.document();
        assert_eq!(document.services, local.services);
        assert_eq!(document.routes, local.routes);
    }
}
