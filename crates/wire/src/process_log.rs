//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Writing a line never waits: a reader that stands still fills a bounded
//! queue, further lines are dropped, and their number is written once the
//! reader goes on.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use env_logger::Env;
use env_logger::Target;

use crate::wall_clock;

/// Lines that wait for their reader; some seconds of a busy node's.
const LINES_MAX: usize = 1_024;

/// Lines that found no room since the last that did.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Longest wait for the last lines at the end of a process.
const FINISH_TIME: Duration = Duration::from_millis(200);

/// Where lines go, once the logger runs.
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// What the writing thread is handed.
enum LogPart {
    Line(Vec<u8>),
    /// All lines before it are written once the other end hears of it.
    Mark(mpsc::SyncSender<()>),
}

/// Lets the lines that wait be written; a process calls it before it ends. A
/// reader that stands still is not waited for long.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (mark, written) = mpsc::sync_channel(1);
    if queue.0.try_send(LogPart::Mark(mark)).is_ok() {
        // Either all is written or the reader stands still.
        let _ = written.recv_timeout(FINISH_TIME);
    }
}

/// Starts the logger; the level comes from `RUST_LOG`, `info` without it.
/// Starting it twice in one process is harmless.
pub fn start() {
    let env = Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|out, record| {
        let now = wall_clock::millis();
        let level = record.level().as_str().to_ascii_lowercase();
        let message = record.args();
        writeln!(out, "at_ms={now} level={level} {message}")
    });
    if let Ok(queue) = LineQueue::spawn() {
        let queue = QUEUE.get_or_init(|| queue).clone();
        builder.target(Target::Pipe(Box::new(queue)));
    }
    let _ = builder.try_init();
}

/// Takes lines and hands them to a thread that writes them.
#[derive(Clone)]
struct LineQueue(mpsc::SyncSender<LogPart>);

impl LineQueue {
    fn spawn() -> io::Result<Self> {
        let (queue, lines) = mpsc::sync_channel(LINES_MAX);
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&lines))?;
        Ok(Self(queue))
    }
}

fn write_lines(parts: &mpsc::Receiver<LogPart>) {
    let mut out = io::stdout();
    while let Ok(part) = parts.recv() {
        let line = match part {
            LogPart::Line(line) => line,
            LogPart::Mark(mark) => {
                // Nobody waits any more where this fails.
                let _ = mark.send(());
                continue;
            }
        };
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let at_ms = wall_clock::millis();
            let _ = writeln!(
                out,
                "at_ms={at_ms} level=warn event=log-lines-dropped lines={dropped}"
            );
        }
        // A reader that has gone is no reason to stop serving.
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(LogPart::Line(line.to_vec())).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A value in a log line, quoted where it holds blanks or quotes.
pub struct LogValue<T>(pub T);

impl<T: fmt::Display> fmt::Display for LogValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(plain) {
            return f.write_str(&text);
        }
        write!(f, "{text:?}")
    }
}
