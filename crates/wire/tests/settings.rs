//! Settings files: all faults in one run, with line numbers.

use std::net::SocketAddr;

use proptest::prelude::*;

use cowslip_wire::settings_reader::read_text;
use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsDuration;
use cowslip_wire::settings_reader::SettingsReader;

#[derive(Debug, PartialEq)]
struct SampleSettings {
    name: String,
    listen: SocketAddr,
    pause: Option<SettingsDuration>,
    parts: Vec<SamplePart>,
}

#[derive(Debug, PartialEq)]
struct SamplePart {
    size: u32,
}

impl FromSettings for SampleSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let name = reader.required("name", "a name");
        let listen = reader.required("listen", "an address and port");
        let pause = reader.optional("pause", "a time such as 2s");
        let parts = reader.groups("parts", "a size");
        Some(Self {
            name: name?,
            listen: listen?,
            pause,
            parts,
        })
    }
}

impl FromSettings for SamplePart {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let size = reader.required("size", "a whole number");
        Some(Self { size: size? })
    }
}

// A reader that stops at the first fault makes operators restart the process
// once per fault. All faults must be reported in one run, with line and path.
#[test]
fn all_faults_are_reported_in_one_run() {
    let text =
        "listen: nowhere\npause: 12\nparts:\n  - size: 3\n  - sise: 4\n  - size: x\n";
    let faults = read_text::<SampleSettings>(text).expect_err("it has faults");
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "line 1: name: is missing; write a name",
        "line 1: listen: \"nowhere\" is not usable; write an address and port",
        "line 2: pause: \"12\" is not usable; write a time such as 2s",
        "line 5: parts[1].size: is missing",
        "line 5: parts[1].sise: is unknown; known here are size",
        "line 6: parts[2].size: \"x\" is not usable",
    ];
    assert_eq!(messages.len(), expected.len(), "{messages:#?}");
    for prefix in expected {
        assert!(
            messages.iter().any(|line| line.starts_with(prefix)),
            "{prefix}: {messages:#?}"
        );
    }
}

// A version such as 1.10 must not be parsed as a number and become 1.1.
#[test]
fn a_value_keeps_its_spelling() {
    let text = "name: 1.10\nlisten: 127.0.0.1:7000\n";
    let settings = read_text::<SampleSettings>(text).expect("usable");
    assert_eq!(settings.name, "1.10");
}

#[test]
fn invalid_yaml_is_a_fault() {
    let faults = read_text::<SampleSettings>("name: [").expect_err("not YAML");
    assert_eq!(faults.len(), 1);
}

proptest! {
    #[test]
    fn any_text_gives_settings_or_faults(text in "[ -~\n]{0,200}") {
        if let Err(faults) = read_text::<SampleSettings>(&text) {
            prop_assert!(!faults.is_empty());
        }
    }

    #[test]
    fn a_duration_is_its_number_of_units(number in 0..100_000_u32) {
        let millis: SettingsDuration = format!("{number}ms").parse().expect("a duration");
        prop_assert_eq!(millis.0.as_millis(), u128::from(number));
        let minutes: SettingsDuration = format!("{number}m").parse().expect("a duration");
        prop_assert_eq!(minutes.0.as_secs(), u64::from(number) * 60);
        let bare: Result<SettingsDuration, _> = number.to_string().parse();
        prop_assert!(bare.is_err());
    }
}
