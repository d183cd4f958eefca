//! A sound backend server, as PROTOCOL.md describes it.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;

use crate::http;
use crate::http::Message;
use crate::http::MessageReader;
use crate::record::Record;

/// Requests that a server processes at once, as on the site mielnet-co.
const SLOTS: u32 = 6;

/// Paths with large answers, and their size: the mean of cert-download on that site.
pub const LARGE_PREFIX: &str = "/certs/";
const LARGE_BYTES: usize = 280_000;

/// Interval of the liveness reports.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
}

pub struct Server {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    /// Where its liveness reports go.
    reports: SocketAddr,
    work: Duration,
    born_ms: u64,
    seq: AtomicU64,
    busy: AtomicU32,
    runs_here: AtomicU64,
    /// It leaves: it says so in its answers, and sends no liveness reports any more.
    pub leaving: AtomicBool,
    /// It has ended.
    ended: AtomicBool,
    /// Every n-th answer is lost; none if zero.
    pub lose_every: AtomicU64,
    /// Every n-th large answer breaks off; none if zero.
    pub cut_every: AtomicU64,
    large_here: AtomicU64,
    /// After every n-th answer further bytes come, late; none if zero.
    pub extra_every: AtomicU64,
    answered_here: AtomicU64,
    pub record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// What a server needs to know at its start.
pub struct ServerPlace {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub reports: SocketAddr,
    pub work: Duration,
}

impl Server {
    /// Starts a server, which reports to its node until it leaves.
    pub fn start(
        place: ServerPlace,
        record: Arc<Record>,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let server = Arc::new(Self {
            id: place.id,
            service: place.service,
            zone: place.zone,
            address: place.address,
            reports: place.reports,
            work: place.work,
            born_ms: epoch.expect("the time").as_millis() as u64,
            seq: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            runs_here: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            lose_every: AtomicU64::new(0),
            cut_every: AtomicU64::new(0),
            large_here: AtomicU64::new(0),
            extra_every: AtomicU64::new(0),
            answered_here: AtomicU64::new(0),
            record,
            runs,
        });
        let listener = TcpListener::bind(server.address).expect("the server's address");
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let reporting = Arc::clone(&server);
        thread::spawn(move || {
            while !reporting.leaving.load(Ordering::SeqCst) {
                let body = reporting.report("ready");
                reporting.send_report(reporting.reports, &body);
                sleep(HEARTBEAT);
            }
        });
        server
    }

    /// The body of the next liveness report.
    pub fn report(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\
             \"cold-remaining\":\"0ms\"}}}}",
            self.address, self.born_ms, self.service, self.zone
        )
    }

    /// Sends a liveness report and returns the status of its answer; 0 if there is none
    /// within a second.
    pub fn send_report(&self, to: SocketAddr, body: &str) -> u16 {
        let start = format!("PUT /v1/instances/{}", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = http::send(to, &start, &headers, body.as_bytes(), limit);
        answer.map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut reader = MessageReader::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = reader.next(false) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Some(bytes) = extra.take() {
                self.record.line(format!("further bytes from {}", self.id));
                if reader.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            if !self.answer(&reader.stream, &request) {
                return;
            }
            extra = self.extra_bytes(&request);
        }
    }

    /// Bytes that follow the answer to `request`, if this is one of those answers: the
    /// answer once more, without the line of its Request-Id. They are late, and arrive
    /// where the next answer is expected.
    fn extra_bytes(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request.header("request-id")?;
        let number = self.answered_here.fetch_add(1, Ordering::SeqCst) + 1;
        let every = self.extra_every.load(Ordering::SeqCst);
        if every == 0 || number % every != 0 {
            return None;
        }
        let body = answer_body(id);
        let length = body.len();
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes())
    }

    /// Answers a request; false if the connection ends.
    fn answer(&self, stream: &TcpStream, request: &Message) -> bool {
        let method = request.start.first().cloned().unwrap_or_default();
        let path = request.start.get(1).cloned().unwrap_or_default();
        let leaving = self.leaving.load(Ordering::SeqCst);
        if path == "/health" {
            let status = if leaving { "503 Leaving" } else { "200 OK" };
            let headers = [("Instance-Id", self.id.as_str())];
            return http::write(stream, &format!("HTTP/1.1 {status}"), &headers, b"").is_ok();
        }
        let Some(id) = request.header("request-id") else {
            return self.refuse(stream, "400 Bad Request", "");
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.refuse(stream, "421 Misdirected Request", id);
        }
        if self.busy.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return self.refuse(stream, "503 Service Unavailable", id);
        }
        let number = self.runs_here.fetch_add(1, Ordering::SeqCst) + 1;
        self.record.line(format!("run {id} {method} {path} at {}", self.id));
        self.runs.lock().expect("the runs").push(Run {
            request: id.to_owned(),
            server: self.id.clone(),
        });
        sleep(self.work);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let lose_every = self.lose_every.load(Ordering::SeqCst);
        if lose_every > 0 && number % lose_every == 0 {
            self.record.line(format!("answer lost {id} at {}", self.id));
            return false;
        }
        let stamp = format!("{}.{number}", self.id);
        let mut headers = vec![("Request-Id", id), ("Server-Stamp", stamp.as_str())];
        if leaving {
            headers.push(("Server-Leaving", "1"));
        }
        if path.starts_with(LARGE_PREFIX) {
            return self.answer_large(stream, id, &headers);
        }
        http::write(stream, "HTTP/1.1 200 OK", &headers, answer_body(id).as_bytes()).is_ok()
    }

    /// Sends a large answer, or a part of it before it closes the connection.
    fn answer_large(
        &self,
        mut stream: &TcpStream,
        id: &str,
        headers: &[(&str, &str)],
    ) -> bool {
        let number = self.large_here.fetch_add(1, Ordering::SeqCst) + 1;
        let cut_every = self.cut_every.load(Ordering::SeqCst);
        let is_cut = cut_every > 0 && number % cut_every == 0;
        let body = vec![b'c'; LARGE_BYTES];
        if !is_cut {
            return http::write(stream, "HTTP/1.1 200 OK", headers, &body).is_ok();
        }
        self.record.line(format!("answer breaks off {id} at {}", self.id));
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {LARGE_BYTES}\r\n\r\n"));
        let sent = stream.write_all(head.as_bytes());
        let _ = sent.and_then(|()| stream.write_all(&body[..LARGE_BYTES / 4 * 3]));
        false
    }

    fn refuse(&self, stream: &TcpStream, status: &str, id: &str) -> bool {
        let mut headers = vec![("Not-Executed", "1")];
        if !id.is_empty() {
            headers.push(("Request-Id", id));
        }
        if self.leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        http::write(stream, &format!("HTTP/1.1 {status}"), &headers, b"not run").is_ok()
    }
}

/// The whole body of the answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("the answer to {id}")
}
