//! `cowslip explain`: the log lines of several processes about one request.

use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;

const USAGE: &str = "Finds the log lines about one request and explains them";
const EXAMPLE: &str = "Example: cowslip explain 9c41d07be2a35f68 node-*.log";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("explain"), descr(USAGE), footer(EXAMPLE))]
pub struct ExplainArgs {
    /// Request ID
    #[bpaf(positional("REQUEST-ID"))]
    request: String,
    /// Log files of the fleet's processes
    #[bpaf(positional("LOGFILE"), some("name at least one log file"))]
    files: Vec<PathBuf>,
}

/// A log line about the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainedLine {
    /// Time at which it was written, in milliseconds since 1970 by the clock of
    /// its process.
    pub at_ms: u64,
    /// Log file that contains it.
    pub file: String,
    /// Explanation of its event in plain words.
    pub words: String,
    /// The original line.
    pub line: String,
}

/// The log lines about a request, from all log files.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestTrace {
    /// Explained lines, ordered by time.
    pub lines: Vec<ExplainedLine>,
    /// Number of lines skipped because they have no readable time.
    pub damaged: usize,
}

impl RequestTrace {
    /// Adds the lines of `text`, the content of `file`, that are about `request`.
    pub fn add_file(&mut self, file: &str, text: &str, request: &str) {
        for line in text.lines() {
            if field(line, "request") != Some(request) {
                continue;
            }
            let at_ms = field(line, "at_ms").and_then(|at| at.parse().ok());
            let Some(at_ms) = at_ms else {
                self.damaged += 1;
                continue;
            };
            self.lines.push(ExplainedLine {
                at_ms,
                file: file.to_owned(),
                words: describe(line),
                line: line.to_owned(),
            });
        }
        self.lines.sort_by_key(|line| line.at_ms);
    }
}

/// Returns the value of `key` in a line of key=value pairs, without quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    for pair in line.split_ascii_whitespace() {
        if let Some((name, value)) = pair.split_once('=') {
            if name == key {
                return Some(value.trim_matches('"'));
            }
        }
    }
    None
}

fn describe(line: &str) -> String {
    let get = |key| field(line, key).unwrap_or("unknown");
    let execution = match get("verdict") {
        "not-run" => "it has not run",
        "ran" => "it has run",
        _ => "it may have run",
    };
    let waited = field(line, "waited_ms");
    let waited = waited.map_or_else(String::new, |millis| format!(" after {millis} ms"));
    match get("event") {
        "call-refused" if get("side") == "server" => {
            format!(
                "the server's node refused it{waited}: {}; {execution}",
                get("reason")
            )
        }
        "call-refused" => {
            format!(
                "its caller was refused{waited}: {}; {execution}",
                get("reason")
            )
        }
        "call-retried" => format!(
            "a try at {} failed: {}; {execution}; another server was asked",
            get("server"),
            get("reason")
        ),
        "call-late" => format!(
            "{} answered it late, after {} ms",
            get("server"),
            get("took_ms")
        ),
        other => other.to_owned(),
    }
}

pub async fn run(config: &OperatorConfig, args: ExplainArgs) -> OperatorResult<()> {
    let mut trace = RequestTrace::default();
    for path in &args.files {
        let file = path.display().to_string();
        let bytes = fs::read(path)
            .map_err(|error| OperatorError::Usage(format!("{file}: {error}")))?;
        trace.add_file(&file, &String::from_utf8_lossy(&bytes), &args.request);
    }
    if trace.lines.is_empty() {
        let problem = format!(
            "no log line names request {}; it was answered in time, or its log lines were dropped",
            args.request
        );
        return Err(OperatorError::Missing(problem));
    }
    config.print(&trace, text)
}

fn text(trace: &RequestTrace) -> String {
    let mut text = String::new();
    let first = trace.lines.first().map_or(0, |line| line.at_ms);
    for line in &trace.lines {
        let after = line.at_ms - first;
        text += &format!("{after:>6} ms  {}  ({})\n", line.words, line.file);
    }
    if trace.damaged > 0 {
        text += &format!("{} damaged lines were passed over\n", trace.damaged);
    }
    text
}
