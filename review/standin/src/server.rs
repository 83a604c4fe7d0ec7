//! A server of a service: announces itself, takes requests, answers them as the pages say.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, call, send},
    record::Record,
};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub service: String,
    pub method: String,
    pub path: String,
    pub request: String,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a server does with a request that it has run.
pub enum Ending {
    /// Answers it.
    Answer,
    /// Its answer is lost: the connection is reset without a byte of it.
    Lost,
    /// Answers it, after some bytes that belong to no request.
    After(Vec<u8>),
}

/// Tells how the run of a request ends: its number at this server, from 0, and the request.
pub type EndingOf = Arc<dyn Fn(u64, &Message) -> Ending + Send + Sync>;

/// What a server is.
#[derive(Clone)]
pub struct ServerParts {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// The addresses that serve `control`.
    pub control: Vec<SocketAddr>,
    pub heartbeat: Duration,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub parts: ServerParts,
    runs: Runs,
    record: Record,
    ending: EndingOf,
    pub draining: Arc<AtomicBool>,
    pub ended: Arc<AtomicBool>,
    number: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
}

impl Server {
    /// Binds the address, serves and announces itself.
    pub fn spawn(
        parts: ServerParts,
        runs: Runs,
        record: Record,
        ending: EndingOf,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(parts.address)?;
        let server = Self {
            parts,
            runs,
            record,
            ending,
            draining: Arc::default(),
            ended: Arc::default(),
            number: Arc::default(),
            sequence: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let one = accepting.clone();
                thread::spawn(move || one.serve(stream));
            }
        });
        let announcing = server.clone();
        thread::spawn(move || {
            while !announcing.ended.load(Ordering::SeqCst) {
                announcing.announce("ready");
                thread::sleep(announcing.parts.heartbeat);
                if announcing.draining.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        Ok(server)
    }

    /// Sends one announcement, to one control machine after the other until one acknowledges it. Tells
    /// which one did.
    pub fn announce(&self, state: &str) -> Option<SocketAddr> {
        let ServerParts { id, service, address, zone, slots, .. } = &self.parts;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"sequence\":{sequence}}}"
        );
        let first = format!("POST /upstreams/{id}/announce HTTP/1.1");
        let start = sequence as usize;
        for turn in 0..self.parts.control.len() {
            let control = self.parts.control[(start + turn) % self.parts.control.len()];
            let host = control.to_string();
            let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
            let told = call(control, &first, &headers, body.as_bytes(), Duration::from_secs(1));
            if told.is_ok_and(|answer| answer.status() / 100 == 2) {
                return Some(control);
            }
        }
        None
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let _ = reading.set_read_timeout(Some(Duration::from_secs(10)));
        let mut reader = Reader::new(reading);
        while let Ok(request) = reader.request() {
            if self.ended.load(Ordering::SeqCst) || !self.answer(&stream, &request) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers one request. `false`: the connection ends.
    fn answer(&self, stream: &TcpStream, request: &Message) -> bool {
        let id = self.parts.id.as_str();
        if request.word(1) == "/health" {
            let well = !self.draining.load(Ordering::SeqCst);
            let first =
                if well { "HTTP/1.1 200 OK" } else { "HTTP/1.1 503 Service Unavailable" };
            return send(stream, first, &[("Instance-Id", id)], b"").is_ok();
        }
        if request.header("expect-instance").is_some_and(|meant| meant != id) {
            let first = "HTTP/1.1 421 Misdirected Request";
            return send(stream, first, &[("Instance-Id", id)], b"").is_ok();
        }
        let Some(name) = request.header("request-id") else {
            let first = "HTTP/1.1 400 Bad Request";
            return send(stream, first, &[("Not-Executed", "1")], b"").is_ok();
        };
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let run = Run {
            at: Instant::now(),
            server: id.to_owned(),
            service: self.parts.service.clone(),
            method: request.word(0).to_owned(),
            path: request.word(1).to_owned(),
            request: name.to_owned(),
        };
        self.record.line(format!(
            "server {id} ({}) runs {} {} {}",
            run.service, run.method, run.path, run.request
        ));
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.parts.work);
        let stamp = format!("{id}.{number}");
        let body = format!("{id} {name}\n");
        let answer = || {
            let headers = [("Request-Id", name), ("Server-Stamp", stamp.as_str())];
            send(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_ok()
        };
        match (self.ending)(number, request) {
            Ending::Answer => answer(),
            Ending::Lost => {
                self.record.line(format!("server {id}: the answer to {name} is lost"));
                false
            }
            Ending::After(bytes) => {
                self.record.line(format!("server {id}: bytes of no request go before the answer to {name}"));
                use std::io::Write;
                let mut stream = stream;
                stream.write_all(&bytes).is_ok() && answer()
            }
        }
    }
}
