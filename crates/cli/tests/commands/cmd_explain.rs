//! `cowslip explain`.

use std::fs;
use std::process::Command;

const ENTRY_LOG: &str = "\
at_ms=1010 level=info event=call-refused process=node side=entry request=other reason=no-route verdict=not-run
at_ms=1030 level=info event=call-retried process=node side=entry request=9c41 server=voss-2 reason=connection-broken verdict=may-have-run
damaged request=9c41 event=call-
at_ms=1050 level=info event=call-refused process=node side=entry request=9c41 reason=retry-budget verdict=may-have-run waited_ms=812 route=-
";

const SERVER_LOG: &str = "\
at_ms=1020 level=info event=call-refused process=node side=server request=9c41 reason=connection-broken verdict=may-have-run
";

// The lines of two processes' logs about a request must be merged by time and
// explained, and damaged lines counted. An id that no line names and a missing
// log file have exit statuses of their own.
#[test]
fn a_request_is_explained_from_two_logs() {
    let folder = tempfile::tempdir().expect("a folder");
    let entry = folder.path().join("entry.log");
    let server = folder.path().join("server.log");
    fs::write(&entry, ENTRY_LOG).expect("a log");
    fs::write(&server, SERVER_LOG).expect("a log");
    let explain = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_cowslip"))
            .args(["explain", id])
            .args([&entry, &server])
            .output()
            .expect("it runs")
    };
    let output = explain("9c41");
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("the server's node refused it: connection-broken"));
    assert!(lines[1].contains("a try at voss-2 failed"));
    assert!(lines[2]
        .contains("its caller was refused after 812 ms: retry-budget; it may have run"));
    assert!(lines[3].contains("1 damaged"));
    assert_eq!(explain("nobody").status.code(), Some(1));
    let missing = Command::new(env!("CARGO_BIN_EXE_cowslip"))
        .args(["explain", "9c41", "no-such.log"])
        .output()
        .expect("it runs");
    assert_eq!(missing.status.code(), Some(2));
}
