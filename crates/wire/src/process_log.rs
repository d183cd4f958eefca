//! Logging to standard output: one line of `key=value` pairs for each event.
//!
//! Logging never blocks the caller. Lines pass through a bounded queue to a
//! writer thread; if the reader of standard output stalls and the queue is
//! full, further lines are dropped and their number is logged once the reader
//! continues.

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

/// Maximum number of lines queued for the writer thread; a few seconds of a busy node's log.
const QUEUED_LINES_MAX: usize = 1_024;

/// Lines dropped since the last line that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Timeout of [`flush`] for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Queue to the writer thread, set once the logger has started.
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// A message to the writer thread.
enum LogMessage {
    Line(Vec<u8>),
    /// Acknowledged on this channel once all lines queued before it are written.
    FlushMarker(mpsc::SyncSender<()>),
}

/// Waits until the queued lines are written; a process calls this before it
/// exits. Gives up after a short timeout if the reader has stalled, and at once
/// if the queue is full.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (marker, written) = mpsc::sync_channel(1);
    if queue.0.try_send(LogMessage::FlushMarker(marker)).is_ok() {
        // An error means that the timeout passed because the reader has stalled.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Starts the logger; `RUST_LOG` sets the level, which defaults to `info`.
/// Calling this again in the same process has no effect.
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

/// A [`Write`] target that queues each line for the writer thread.
#[derive(Clone)]
struct LineQueue(mpsc::SyncSender<LogMessage>);

impl LineQueue {
    fn spawn() -> io::Result<Self> {
        let (queue, messages) = mpsc::sync_channel(QUEUED_LINES_MAX);
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&messages))?;
        Ok(Self(queue))
    }
}

fn write_lines(messages: &mpsc::Receiver<LogMessage>) {
    let mut out = io::stdout();
    while let Ok(message) = messages.recv() {
        let line = match message {
            LogMessage::Line(line) => line,
            LogMessage::FlushMarker(marker) => {
                // Sending fails if the caller of `flush` no longer waits.
                let _ = marker.send(());
                continue;
            }
        };
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let at_ms = wall_clock::millis();
            let _ = writeln!(
                out,
                "at_ms={at_ms} level=warn event=log-lines-dropped lines={dropped}"
            );
        }
        // A write error, such as a closed pipe, must not stop the process.
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(LogMessage::Line(line.to_vec())).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A value in a log line; quoted if it is empty or contains a quote, `=` or a
/// character that is not printable ASCII.
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
