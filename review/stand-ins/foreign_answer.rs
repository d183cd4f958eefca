//! MIXED: bytes that follow a complete answer are taken for the answer to the next
//! request.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::caller;
use crate::fleet::Fleet;
use crate::fleet::CONTACT;
use crate::operator;
use crate::record::Record;
use crate::server;
use crate::server::Server;
use crate::server::ServerPlace;
use crate::Verdict;

const HOST: &str = "sales.example";

const CONFIG: &str = r#"{"version":"00000001",
"services":[{"name":"ledger","health-check-path":"/health","max-connections":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"virtual-hosts":[{"host":"sales.example","paths":[
{"name":"sell","path-prefix":"/sales/","kind":"unsafe","timeout":"1000ms","target-latency":"400ms","priority":1,"service":"ledger","max-attempts":2}]}]}"#;

const SERVERS: usize = 6;

/// Servers that send further bytes: share 0.5.
const SPOILING: usize = 3;

/// After one answer in 34 of theirs further bytes come: x = 0.03.
const EXTRA_EVERY: u64 = 34;

/// Requests: 200 a second for 5 s.
const CALLS: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(5);

const WORK: Duration = Duration::from_millis(120);
const DEADLINE: Duration = Duration::from_millis(1_000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), &["ledger"; SERVERS]);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for (at, node) in fleet.nodes.iter().enumerate() {
        let place = ServerPlace {
            id: format!("i-{at}"),
            service: "ledger".to_owned(),
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
    if trouble {
        record.line(format!(
            "after one answer in {EXTRA_EVERY} of {SPOILING} servers further bytes come"
        ));
        for server in &servers[..SPOILING] {
            server.extra_every.store(EXTRA_EVERY, Ordering::SeqCst);
        }
    }
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let node = fleet.nodes[number % SERVERS].outbound();
        let record = Arc::clone(record);
        calls.push(thread::spawn(move || {
            let id = format!("s-{number:04}");
            caller::call(&record, node, HOST, "POST", "/sales/new", &id, DEADLINE)
        }));
        sleep(PAUSE);
    }
    for server in &servers {
        server.extra_every.store(0, Ordering::SeqCst);
    }
    let answers: Vec<_> =
        calls.into_iter().map(|call| call.join().expect("a call")).collect();
    sleep(Duration::from_secs(1));
    let ran: BTreeSet<String> =
        runs.lock().expect("the runs").iter().map(|run| run.request.clone()).collect();
    let mut served = 0;
    let mut mixed = 0;
    for answer in &answers {
        if answer.status / 100 != 2 {
            continue;
        }
        served += 1;
        let own = answer.stamp.is_some() && answer.body == server::answer_body(&answer.request);
        if own {
            continue;
        }
        mixed += 1;
        record.line(format!(
            "MIXED {}: a success with the stamp {:?} and the body {:?}; it ran: {}",
            answer.request,
            answer.stamp,
            answer.body,
            ran.contains(&answer.request)
        ));
    }
    let summary = format!(
        "{} unsafe requests, {served} answered with success, {mixed} of these with bytes \
         that belong to no request",
        answers.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served * 2 < answers.len() {
        return Verdict::NotRun;
    }
    if mixed > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
