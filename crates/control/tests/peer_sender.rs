//! Messages between control instances that start at different times.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_rt::System;

use cowslip_control::peer_sender::PeerSenders;
use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::MemberMessage;
use cowslip_core::agreement::MessageBody;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::AgreeCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::message_reply;
use cowslip_wire::peer_client::PeerClient;

use self::reserved_address::reserve;

#[path = "support/reserved_address.rs"]
mod reserved_address;

/// Time after the message at which the other instance listens: longer than any
/// single attempt to connect, and shorter than a message is worth sending.
const START_DELAY: Duration = Duration::from_millis(400);

/// Timeout of the test; only a lost message reaches it.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Records the messages of an instance.
#[derive(Default)]
struct MessageRecorder {
    received: RefCell<Vec<MemberMessage>>,
}

struct RecorderHandler(Rc<MessageRecorder>);

impl HttpHandler for RecorderHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        let recorder = Rc::clone(&self.0);
        Box::pin(async move {
            let key = AccessKey::new("test-system");
            let read = message_reply::read::<AgreeCall>(&mut request, &key).await;
            match read {
                Ok(call) => recorder.received.borrow_mut().extend(call.messages),
                Err(refused) => return refused,
            }
            message_reply::encoded(&())
        })
    }
}

fn pre_vote(address: SocketAddr) -> MemberMessage {
    MemberMessage {
        from: "control-1".into(),
        address,
        folder: 1,
        start: ProcessStart { count: 1, nonce: 1 },
        synced: 1,
        term: 1,
        to: "control-2".into(),
        to_folder: None,
        body: MessageBody::PreVote {
            last: ConfigVersion::new(1, 1),
        },
    }
}

// Guards against a fleet without a leader for a whole interval between two polls:
// all instances restart, and the first asks for votes before the last listens.
#[test]
fn a_question_reaches_an_instance_that_starts_later() {
    System::new().block_on(async {
        let address = reserve(9);
        let client = PeerClient::new(AccessKey::new("test-system"));
        let mut senders = PeerSenders::new(client);
        senders.send(address, pre_vote(address));
        actix_rt::time::sleep(START_DELAY).await;
        let recorder = Rc::new(MessageRecorder::default());
        let handler = Rc::new(RecorderHandler(Rc::clone(&recorder)));
        let listener = HttpListener::bind(address, 8, handler);
        let _listener = listener.expect("the port is still free");
        let started = Instant::now();
        while recorder.received.borrow().is_empty() {
            let waited = started.elapsed();
            assert!(waited < RECEIVE_TIMEOUT, "the message was lost");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(*recorder.received.borrow(), [pre_vote(address)]);
    });
}

/// Time after which a message must arrive over another connection than a silent one.
/// The post on the silent one lasts a second.
const SECOND_CONNECTION_MAX: Duration = Duration::from_millis(600);

/// Answers only requests that come after the first, which hangs as on a connection
/// whose packets were lost in a cut.
struct FirstHangsHandler {
    hung: Cell<bool>,
    recorder: RecorderHandler,
}

impl HttpHandler for FirstHangsHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        if !self.hung.replace(true) {
            return Box::pin(std::future::pending());
        }
        self.recorder.handle(request)
    }
}

// Guards against an instance that hears from a new leader a second after a cut, because
// all messages to it wait for one that was sent over a connection of before the cut.
#[test]
fn a_silent_connection_does_not_hold_back_later_messages() {
    System::new().block_on(async {
        let recorder = Rc::new(MessageRecorder::default());
        let handler = Rc::new(FirstHangsHandler {
            hung: Cell::new(false),
            recorder: RecorderHandler(Rc::clone(&recorder)),
        });
        let listener = HttpListener::bind(reserve(9), 8, handler);
        let listener = listener.expect("a free port");
        let address = listener.address();
        let client = PeerClient::new(AccessKey::new("test-system"));
        let mut senders = PeerSenders::new(client);
        let started = Instant::now();
        while recorder.received.borrow().is_empty() {
            senders.send(address, pre_vote(address));
            let waited = started.elapsed();
            assert!(waited < SECOND_CONNECTION_MAX, "held back for {waited:?}");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Entries of one message, as large as a single change can be.
const LARGE_BYTES: usize = 3 * 1024 * 1024;

fn large_append(address: SocketAddr, index: u64) -> MemberMessage {
    let entry = ChangeEntry {
        request_id: "x".repeat(LARGE_BYTES).into(),
        expected: None,
        at_ms: 0,
        change: ConfigChange::RemoveException { id: "none".into() },
    };
    let entry = LogEntry::new(
        ConfigVersion::new(1, index),
        EntryBody::Change(Arc::new(entry)),
    );
    let body = MessageBody::Append {
        previous: ConfigVersion::new(1, index - 1),
        entries: vec![entry],
        commit: 0,
        sent_at: Duration::ZERO,
        marks: BTreeMap::new(),
    };
    MemberMessage {
        body,
        ..pre_vote(address)
    }
}

// Guards against messages that are lost together: those that waited for one another make
// a request that is larger than any instance accepts.
#[test]
fn large_messages_that_wait_together_all_arrive() {
    System::new().block_on(async {
        let recorder = Rc::new(MessageRecorder::default());
        let handler = Rc::new(RecorderHandler(Rc::clone(&recorder)));
        let listener = HttpListener::bind(reserve(9), 8, handler);
        let listener = listener.expect("a free port");
        let address = listener.address();
        let client = PeerClient::new(AccessKey::new("test-system"));
        let mut senders = PeerSenders::new(client);
        let mut missing: BTreeMap<u64, MemberMessage> = BTreeMap::new();
        for index in 1..=8 {
            missing.insert(index, large_append(address, index));
        }
        let started = Instant::now();
        while !missing.is_empty() {
            // A full queue drops messages, and the agreement sends them again.
            for message in missing.values() {
                senders.send(address, message.clone());
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            for message in recorder.received.borrow_mut().drain(..) {
                missing.retain(|_, sent| *sent != message);
            }
            let waited = started.elapsed();
            let left = missing.len();
            assert!(waited < RECEIVE_TIMEOUT, "{left} of 8 never arrived");
        }
    });
}

// Guards against a new voter that never joins, because its leader keeps queues to all
// instances that were replaced before and opens no more.
#[test]
fn an_instance_is_reached_after_many_that_are_gone() {
    System::new().block_on(async {
        let recorder = Rc::new(MessageRecorder::default());
        let handler = Rc::new(RecorderHandler(Rc::clone(&recorder)));
        let listener = HttpListener::bind(reserve(9), 8, handler);
        let listener = listener.expect("a free port");
        let address = listener.address();
        let client = PeerClient::new(AccessKey::new("test-system"));
        let mut senders = PeerSenders::new(client);
        for number in 0..200 {
            let gone = SocketAddr::new(address.ip(), 1 + number);
            senders.send(gone, pre_vote(gone));
        }
        senders.send(address, pre_vote(address));
        let started = Instant::now();
        while recorder.received.borrow().is_empty() {
            let waited = started.elapsed();
            assert!(waited < RECEIVE_TIMEOUT, "the message was lost");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Most memory for messages to one instance, in bytes as they are encoded.
const QUEUED_BYTES_MAX: usize = 16 * 1024 * 1024;

// Guards against an instance that runs out of memory by the messages that wait for
// another one, which is away.
#[test]
fn messages_to_an_instance_that_is_away_are_bounded_in_bytes() {
    System::new().block_on(async {
        let address = reserve(9);
        let client = PeerClient::new(AccessKey::new("test-system"));
        let mut senders = PeerSenders::new(client);
        let mut waiting = Vec::new();
        for index in 1..=40 {
            let message = large_append(address, index);
            if let MessageBody::Append { entries, .. } = &message.body {
                if let EntryBody::Change(change) = &entries[0].body {
                    waiting.push(Arc::downgrade(change));
                }
            }
            senders.send(address, message);
        }
        let held = waiting.iter().filter(|change| change.strong_count() > 0);
        let bytes = held.count() * LARGE_BYTES;
        assert!(bytes > 0, "none waits");
        assert!(bytes < QUEUED_BYTES_MAX, "{bytes} bytes wait");
    });
}
