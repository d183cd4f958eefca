//! LOST: an answer that breaks off takes with it the requests behind it, which sound
//! servers have run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::CONTACT;
use crate::http::MessageReader;
use crate::operator;
use crate::record::Record;
use crate::server::Server;
use crate::server::ServerPlace;
use crate::Verdict;

const HOST: &str = "records.example";

const CONFIG: &str = r#"{"version":"00000001",
"services":[{"name":"documents","health-check-path":"/health","max-connections":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"virtual-hosts":[{"host":"records.example","paths":[
{"name":"certs","path-prefix":"/certs/","kind":"download","timeout":"2000ms","target-latency":"300ms","priority":2,"service":"documents","max-attempts":2},
{"name":"lots","path-prefix":"/lots/","kind":"safe","timeout":"2000ms","target-latency":"300ms","priority":1,"service":"documents","max-attempts":2}]}]}"#;

const SERVERS: usize = 6;

/// Servers that break off answers: share 0.5.
const SPOILING: usize = 3;

/// Every fiftieth large answer of theirs breaks off: x = 0.02.
const CUT_EVERY: u64 = 50;

/// How long servers break off answers, how often, and the pause between.
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
const TROUBLES: u32 = 3;
const TROUBLE_PAUSE: Duration = Duration::from_secs(1);

/// Nodes with clients, and the clients of each, every one with one kept connection.
const ENTRIES: usize = 2;
const CLIENTS: usize = 12;

/// Pause of a client between its last answer and its next requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(200);

/// Requests sent behind the large one before it has been answered.
const BEHIND: usize = 3;

const WORK: Duration = Duration::from_millis(30);

/// Requests that the rule allows a machine to lose.
const LOST_MAX: usize = 3;

/// Requests without an answer, and those whose answer broke off.
#[derive(Default)]
struct Outcome {
    sent: usize,
    answered: usize,
    broke_off: BTreeSet<String>,
    unanswered: BTreeSet<String>,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), &["documents"; SERVERS]);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for (at, node) in fleet.nodes.iter().enumerate() {
        let place = ServerPlace {
            id: format!("i-{at}"),
            service: "documents".to_owned(),
            zone: node.zone().to_owned(),
            address: node.app(),
            reports: node.control(),
            work: WORK,
        };
        servers.push(Server::start(place, Arc::clone(record), Arc::clone(&runs)));
    }
    if operator::put_config(&fleet, "00000000", CONFIG) != 200 {
        return Verdict::NotRun;
    }
    fleet.await_ready();
    sleep(CONTACT + Duration::from_secs(1));
    let outcome = Arc::new(Mutex::new(Outcome::default()));
    let mut clients = Vec::new();
    for (at, node) in fleet.nodes[..ENTRIES].iter().enumerate() {
        for client in 0..CLIENTS {
            let name = format!("{at}-{client}");
            let node = node.outbound();
            let record = Arc::clone(record);
            let outcome = Arc::clone(&outcome);
            clients.push(thread::spawn(move || call(&record, node, &name, &outcome)));
        }
    }
    for _ in 0..TROUBLES {
        if trouble {
            record.line(format!("{SPOILING} servers break off one large answer in {CUT_EVERY}"));
        }
        set_cuts(&servers[..SPOILING], if trouble { CUT_EVERY } else { 0 });
        sleep(TROUBLE_TIME);
        set_cuts(&servers[..SPOILING], 0);
        sleep(TROUBLE_PAUSE);
    }
    for client in clients {
        client.join().expect("a client");
    }
    // Runs that a server has begun by now are known.
    sleep(Duration::from_secs(1));
    let spoiling: BTreeSet<String> =
        servers[..SPOILING].iter().map(|server| server.id.clone()).collect();
    let mut ran_at: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().expect("the runs").iter() {
        ran_at.entry(run.request.clone()).or_default().push(run.server.clone());
    }
    let outcome = outcome.lock().expect("the outcome");
    let mut lost = [0; ENTRIES];
    for request in &outcome.unanswered {
        let servers = ran_at.get(request).cloned().unwrap_or_default();
        let sound = !servers.is_empty() && servers.iter().all(|id| !spoiling.contains(id));
        let entry: usize = request[..1].parse().expect("the number of the entry");
        lost[entry] += usize::from(sound);
        let what = if sound { "LOST" } else { "unanswered" };
        record.line(format!("{what} {request}: run at {}", servers.join(" and ")));
    }
    let summary = format!(
        "{} requests, {} answered, {} answers broke off; passed on to a sound server and \
         closed without an answer: {lost:?} at the two nodes with clients",
        outcome.sent,
        outcome.answered,
        outcome.broke_off.len()
    );
    record.line(&summary);
    println!("{summary}");
    if outcome.answered * 2 < outcome.sent {
        return Verdict::NotRun;
    }
    if lost.iter().any(|lost| *lost > LOST_MAX) {
        return Verdict::Broken;
    }
    Verdict::Held
}

fn set_cuts(servers: &[Arc<Server>], every: u64) {
    for server in servers {
        server.cut_every.store(every, Ordering::SeqCst);
    }
}

/// Sends a large request and some behind it, again and again on a kept connection, and
/// opens a new one when it is closed.
fn call(record: &Record, node: SocketAddr, name: &str, outcome: &Mutex<Outcome>) {
    let started = Instant::now();
    let mut connection = None;
    let mut number = 0;
    while started.elapsed() < (TROUBLE_TIME + TROUBLE_PAUSE) * TROUBLES {
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => {
                let Ok(stream) = TcpStream::connect(node) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                MessageReader::new(stream)
            }
        };
        let mut ids = Vec::new();
        let mut bytes = String::new();
        for behind in 0..=BEHIND {
            let path = if behind == 0 { "/certs/7" } else { "/lots/7" };
            let id = format!("{name}-{number:03}-{behind}");
            record.line(format!("send {id} GET {path} to {node}"));
            bytes.push_str(&format!(
                "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
            ));
            ids.push(id);
        }
        number += 1;
        if reader.stream.write_all(bytes.as_bytes()).is_err() {
            continue;
        }
        let mut closed = false;
        for (at, id) in ids.iter().enumerate() {
            let answer = if closed { Ok(None) } else { reader.next(true) };
            let mut outcome = outcome.lock().expect("the outcome");
            outcome.sent += 1;
            match answer {
                Ok(Some(answer)) => {
                    outcome.answered += 1;
                    record.line(format!("answer {id} {}", answer.status()));
                    closed = answer.header("connection") == Some("close");
                }
                Err(error) if at == 0 => {
                    outcome.broke_off.insert(id.clone());
                    record.line(format!("answer {id} broke off: {error}"));
                    closed = true;
                }
                Ok(None) | Err(_) => {
                    outcome.unanswered.insert(id.clone());
                    record.line(format!("no answer {id}"));
                    closed = true;
                }
            }
        }
        if !closed {
            connection = Some(reader);
        }
        sleep(CLIENT_PAUSE);
    }
}
