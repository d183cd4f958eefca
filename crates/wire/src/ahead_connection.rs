//! A connection whose caller may send requests ahead.
//!
//! Load pattern: callers send several requests that may be repeated without
//! waiting for the first answer. Served one after the other, as common
//! libraries do, each waits for the work of all before it, though servers
//! stand idle: at two requests on the way half of them take twice their time.
//! Here they are worked on together, and answered in the order they came.
//!
//! Only requests without a body whose method may be repeated run beside
//! others; any other runs alone. No request is begun whose answer could not
//! be sent any more: once one is to be the last on the connection, what came
//! behind it counts as not read.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;

use crate::ahead_connection::ahead_exchange::AheadExchange;
use crate::ahead_connection::ahead_exchange::BodyFeed;
use crate::ahead_connection::ahead_exchange::BodyWriter;
use crate::ahead_connection::ahead_exchange::FeedStep;
use crate::ahead_connection::ahead_exchange::HeadRead;
use crate::boot_instant::BootInstant;
use crate::http_listener::CountedHandler;
use crate::http_listener::ListenerTimeouts;
use crate::socket_read::read_ready;
use crate::socket_read::BODY_READ_BYTES;
use crate::socket_read::HEAD_READ_BYTES;

mod ahead_exchange;

/// Requests of one connection that run together.
const TOGETHER_MAX: usize = 8;

/// Bytes read ahead of what can be used; also the largest head.
const INPUT_MAX: usize = 128 * 1024;

/// Bytes of answers that wait for the socket before more are produced.
const OUTPUT_MAX: usize = 64 * 1024;

/// How long the rest of an unread request is taken after the last answer.
/// Closed at once, the unread bytes would make the kernel drop the answer.
const LINGER: Duration = Duration::from_secs(1);

/// What the connection needs of its listener.
pub(crate) struct ConnectionPlan {
    /// Answers requests.
    pub handler: Rc<CountedHandler>,
    /// How answers are written.
    pub config: ServiceConfig,
    /// Times to keep.
    pub times: ListenerTimeouts,
}

/// Serves one connection until it ends. `closing` ends when no new request
/// is to be taken.
pub(crate) async fn serve(
    plan: &ConnectionPlan,
    mut stream: TcpStream,
    closing: impl std::future::Future<Output = ()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split();
    let mut connection = AheadConnection {
        plan,
        reader,
        writer,
        input: BytesMut::new(),
        output: BytesMut::new(),
        feed: None,
        waiting: None,
        exchanges: VecDeque::new(),
        answering: None,
        last: false,
        done: false,
        quiet_since: BootInstant::now(),
        greeted: false,
    };
    tokio::pin!(closing);
    let mut told = false;
    while !connection.is_over() {
        connection.advance()?;
        if connection.is_over() {
            break;
        }
        tokio::select! {
            () = &mut closing, if !told => {
                told = true;
                connection.last = true;
            }
            step = connection.step() => {
                if !step? {
                    return Ok(());
                }
            }
        }
    }
    connection.finish().await
}

struct AheadConnection<'a> {
    plan: &'a ConnectionPlan,
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    input: BytesMut,
    output: BytesMut,
    /// The body of the newest request, while it is being read.
    feed: Option<BodyFeed>,
    /// A request that was read and must wait for those before it.
    waiting: Option<HeadRead>,
    /// Requests begun, the oldest first.
    exchanges: VecDeque<AheadExchange>,
    /// The answer whose body is being written.
    answering: Option<BodyWriter>,
    /// No more requests are begun.
    last: bool,
    /// The last answer was written.
    done: bool,
    /// When the connection last became idle, or a head began to arrive.
    quiet_since: BootInstant,
    /// True from the first request on.
    greeted: bool,
}

impl AheadConnection<'_> {
    fn is_over(&self) -> bool {
        let idle = self.exchanges.is_empty() && self.answering.is_none();
        (self.done || (self.last && idle)) && self.output.is_empty()
    }

    /// Does all that can be done without waiting.
    fn advance(&mut self) -> io::Result<()> {
        self.answer_ready()?;
        // Only then may what waited for those answers begin, and only then
        // is its body taken out of the input.
        self.begin_waiting();
        self.read_on();
        Ok(())
    }

    /// Takes heads and bodies out of the input.
    fn read_on(&mut self) {
        loop {
            if let Some(feed) = &mut self.feed {
                match feed.take(&mut self.input) {
                    FeedStep::Wait => return,
                    FeedStep::End => self.feed = None,
                    FeedStep::Broken => {
                        self.feed = None;
                        self.last = true;
                    }
                }
                continue;
            }
            if self.last || self.waiting.is_some() || self.input.is_empty() {
                return;
            }
            if self.exchanges.len() >= TOGETHER_MAX {
                return;
            }
            let read = HeadRead::take(&mut self.input, self.plan.config.clone());
            let Some(read) = read else {
                return;
            };
            self.greeted = true;
            self.waiting = Some(read);
            self.begin_waiting();
        }
    }

    /// Begins the request that waits, where it may run beside the others.
    fn begin_waiting(&mut self) {
        let Some(waiting) = &self.waiting else {
            return;
        };
        let busy = self.answering.is_some() || !self.exchanges.is_empty();
        let together = waiting.is_repeatable()
            && self.exchanges.iter().all(AheadExchange::is_repeatable);
        if self.last || (busy && !together) {
            return;
        }
        let Some(waiting) = self.waiting.take() else {
            return;
        };
        if waiting.expects_continue() {
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.last |= waiting.is_last();
        let (exchange, feed) = waiting.begin(&self.plan.handler);
        self.feed = feed;
        self.exchanges.push_back(exchange);
    }

    /// Starts to write the oldest answer, where it is there.
    fn answer_ready(&mut self) -> io::Result<()> {
        while self.answering.is_none() && !self.done {
            let Some(oldest) = self.exchanges.pop_front() else {
                return Ok(());
            };
            let answer = match oldest.into_ready() {
                Ok(answer) => answer,
                Err(running) => {
                    self.exchanges.push_front(running);
                    return Ok(());
                }
            };
            // Where the node is leaving, the answers behind this one are
            // still owed: the last of them ends the connection.
            self.last |= answer.asks_to_close();
            let unread = self.feed.is_some();
            let end = unread || (self.last && self.exchanges.is_empty());
            self.answering = answer.write_head(end, &mut self.output)?;
            if self.answering.is_none() {
                self.answered(end);
            }
        }
        Ok(())
    }

    fn answered(&mut self, end: bool) {
        self.done |= end;
        self.quiet_since = BootInstant::now();
        // An idle connection holds no buffer.
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Waits for the next thing to happen; false where the caller has left.
    async fn step(&mut self) -> io::Result<bool> {
        let deadline = self.deadline();
        let room = self.input.len() < INPUT_MAX;
        let writes = !self.output.is_empty();
        let produces = self.answering.is_some() && self.output.len() < OUTPUT_MAX;
        let read_room = match &self.feed {
            Some(_) => BODY_READ_BYTES,
            None => HEAD_READ_BYTES,
        };
        let Self {
            reader,
            writer,
            input,
            output,
            feed,
            exchanges,
            answering,
            ..
        } = self;
        tokio::select! {
            // In this order, so that a head and the body that is there leave
            // in one write, and not in one each.
            biased;
            part = next_part(answering), if produces => {
                return self.take_part(part);
            }
            wrote = writer.write_buf(output), if writes => {
                if wrote? == 0 {
                    return Ok(false);
                }
                if output.is_empty() {
                    *output = BytesMut::new();
                }
            }
            // Before the end of the caller's half is seen: an answer that is
            // there goes out also to a caller that sends no more.
            () = any_ready(exchanges) => {}
            () = room_in(feed) => {}
            read = read_ready(reader, input, read_room), if room => {
                return self.took(read?);
            }
            () = until(deadline) => return self.time_over(),
        }
        Ok(true)
    }

    fn took(&mut self, read: usize) -> io::Result<bool> {
        if read == 0 {
            // Guards against callers that leave: with their half of the
            // connection closed their calls would run on, hold slots, and
            // keep new ones waiting until deadlines that nobody waits for.
            return Ok(false);
        }
        let begins = read == self.input.len() && self.feed.is_none();
        if begins && self.exchanges.is_empty() {
            self.quiet_since = BootInstant::now();
        }
        Ok(true)
    }

    fn take_part(&mut self, part: Option<io::Result<Bytes>>) -> io::Result<bool> {
        let Some(writer) = &self.answering else {
            return Ok(true);
        };
        if let Some(part) = part {
            writer.write(part?, &mut self.output)?;
            return Ok(true);
        }
        writer.write_end(&mut self.output)?;
        let end = writer.is_end();
        self.answering = None;
        self.answered(end);
        Ok(true)
    }

    /// When the connection is given up; `None` while requests run.
    fn deadline(&self) -> Option<BootInstant> {
        let busy = !self.exchanges.is_empty() || self.answering.is_some();
        if busy || !self.output.is_empty() {
            return None;
        }
        let idle = self.greeted && self.input.is_empty();
        let time = if idle {
            self.plan.times.idle
        } else {
            self.plan.times.head
        };
        Some(self.quiet_since + time)
    }

    /// An idle connection ends without a word; a head that did not arrive
    /// whole is told so.
    fn time_over(&mut self) -> io::Result<bool> {
        if self.greeted && self.input.is_empty() {
            return Ok(false);
        }
        let status = StatusCode::REQUEST_TIMEOUT;
        let late = HeadRead::refused(status, self.plan.config.clone());
        self.input.clear();
        self.waiting = Some(late);
        self.begin_waiting();
        Ok(true)
    }

    /// Flushes what is left, and closes.
    async fn finish(mut self) -> io::Result<()> {
        self.writer.write_all_buf(&mut self.output).await?;
        self.writer.shutdown().await?;
        if self.feed.is_none() && self.input.is_empty() {
            return Ok(());
        }
        let mut rest = BytesMut::with_capacity(OUTPUT_MAX);
        let drained = async {
            while self
                .reader
                .read_buf(&mut rest)
                .await
                .is_ok_and(|read| read > 0)
            {
                rest.clear();
            }
        };
        // An error means that the time is over.
        let _ = actix_rt::time::timeout(LINGER, drained).await;
        Ok(())
    }
}

async fn next_part(answering: &mut Option<BodyWriter>) -> Option<io::Result<Bytes>> {
    match answering {
        Some(body) => body.next().await,
        None => std::future::pending().await,
    }
}

async fn room_in(feed: &mut Option<BodyFeed>) {
    match feed {
        Some(feed) => feed.room().await,
        None => std::future::pending().await,
    }
}

/// Ends when a request that ran has its answer. All of them are driven here.
async fn any_ready(exchanges: &mut VecDeque<AheadExchange>) {
    poll_fn(|cx| ahead_exchange::poll_all(exchanges, cx)).await;
}

async fn until(deadline: Option<BootInstant>) {
    match deadline {
        Some(deadline) => {
            let left = deadline.saturating_duration_since(BootInstant::now());
            actix_rt::time::sleep(left).await;
        }
        None => std::future::pending().await,
    }
}
