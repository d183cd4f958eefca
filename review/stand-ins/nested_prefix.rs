//! TWICE: a route whose prefix is longer than the path decides whether it may be
//! repeated.

use std::collections::BTreeMap;
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
use crate::server::Server;
use crate::server::ServerPlace;
use crate::Verdict;

const HOST: &str = "sales.example";

/// `/sales/` is unsafe, `/sales/list/` is safe. The path `/sales/list` begins with the
/// first prefix only, so its kind is unsafe.
const CONFIG: &str = r#"{"version":"00000001",
"services":[{"name":"ledger","health-check-path":"/health","max-connections":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"virtual-hosts":[{"host":"sales.example","paths":[
{"name":"sell","path-prefix":"/sales/","kind":"unsafe","timeout":"1000ms","target-latency":"400ms","priority":1,"service":"ledger","max-attempts":2},
{"name":"list","path-prefix":"/sales/list/","kind":"safe","timeout":"800ms","target-latency":"300ms","priority":2,"service":"ledger","max-attempts":2}]}]}"#;

/// Servers of the service, as on the site mielnet-co.
const SERVERS: usize = 6;

/// Servers that lose answers: share 0.5.
const LOSING: usize = 3;

/// Every fourth answer of theirs is lost: x = 0.25.
const LOSE_EVERY: u64 = 4;

/// Calls on each path while answers are lost.
const CALLS: usize = 580;

/// Pause between two calls: 100 a second on each path, for 5.8 s.
const PAUSE: Duration = Duration::from_millis(10);

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
        record.line(format!("every {LOSE_EVERY}th answer of {LOSING} servers is lost"));
        for server in &servers[..LOSING] {
            server.lose_every.store(LOSE_EVERY, Ordering::SeqCst);
        }
    }
    let mut calls = Vec::new();
    for number in 0..CALLS {
        // The second path has the same kind by the prefix that begins it.
        for (group, path) in [("a", "/sales/list"), ("b", "/sales/new")] {
            let node = fleet.nodes[number % SERVERS].outbound();
            let record = Arc::clone(record);
            calls.push(thread::spawn(move || {
                let id = format!("{group}-{number:04}");
                caller::call(&record, node, HOST, "POST", path, &id, DEADLINE)
            }));
        }
        sleep(PAUSE);
    }
    for server in &servers {
        server.lose_every.store(0, Ordering::SeqCst);
    }
    let mut answered = BTreeMap::new();
    for call in calls {
        let answer = call.join().expect("a call");
        answered.insert(answer.request, answer.status);
    }
    // Later runs of the same requests would be seen.
    sleep(Duration::from_secs(1));
    let mut times: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().expect("the runs").iter() {
        times.entry(run.request.clone()).or_default().push(run.server.clone());
    }
    let mut twice = BTreeMap::from([("a", 0), ("b", 0)]);
    for (request, servers) in &times {
        if servers.len() > 1 {
            *twice.entry(&request[..1]).or_default() += 1;
            record.line(format!(
                "TWICE {request}: run at {}, answered {}",
                servers.join(" and "),
                answered.get(request).copied().unwrap_or_default()
            ));
        }
    }
    let served = answered.values().filter(|status| **status == 200).count();
    let summary = format!(
        "{} unsafe requests, {served} served; run more than once: {} of {CALLS} to \
         /sales/list, {} of {CALLS} to /sales/new",
        answered.len(),
        twice["a"],
        twice["b"]
    );
    record.line(&summary);
    println!("{summary}");
    if served * 2 < answered.len() {
        return Verdict::NotRun;
    }
    if twice.values().sum::<i32>() > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
