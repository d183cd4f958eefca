//! What a control instance exports.

use actix_rt::System;
use awc::Client;

use cowslip_control::control_daemon::ControlDaemon;
use cowslip_control::control_daemon::ControlSockets;
use cowslip_control::control_settings::ControlSettings;
use cowslip_control::control_settings::MemberAddress;
use cowslip_wire::access_key::AccessKey;

use self::reserved_address::reserve;

#[path = "support/reserved_address.rs"]
mod reserved_address;

// Guards against counters that are registered and never exported.
#[test]
fn the_metrics_of_all_parts_are_exported() {
    System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let listen = reserve(1);
        let admin_listen = reserve(2);
        let settings = ControlSettings {
            joining: None,
            node_live: None,
            stop_within: None,
            failure_domains: Vec::new(),
            data_folder: folder.path().join("data"),
            instance: "control-0".into(),
            failure_domain: "domain-0".into(),
            listen,
            admin_listen,
            members: vec![MemberAddress {
                instance: "control-0".into(),
                address: listen,
                vote: true,
            }],
            operator_key: AccessKey::new("test-operator"),
            system_key: AccessKey::new("test-system"),
        };
        let sockets = ControlSockets::bind(listen, admin_listen).expect("sockets");
        let daemon = ControlDaemon::spawn(&settings, sockets).expect("it starts");
        let url = format!("http://{admin_listen}/metrics");
        let mut response = Client::default().get(url).send().await.expect("an answer");
        let body = response.body().await.expect("a body");
        let text = String::from_utf8(body.to_vec()).expect("text");
        for part in ["cowslip_agreement_", "cowslip_source_"] {
            assert!(text.contains(part), "no metric of {part}: {text}");
        }
        drop(daemon);
    });
}
