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

/// Which of its answers a faulty server hands out a second time.
#[derive(Clone, Copy, PartialEq)]
pub enum Extra {
    None,
    /// A refusal of a request that was meant for another instance. The copy arrives late: when the next
    /// request on the connection is at work.
    CopyOfRefusal,
    /// Refusals for load, as long as the copies are no more than so many of 1,000 answers. The copy arrives
    /// late, in the same way.
    CopyOfShed {
        per_mille: u64,
    },
}

/// Tells whether a server refuses a request for load: its number at this server, from 0.
pub type Sheds = Arc<dyn Fn(u64) -> bool + Send + Sync>;

/// What is wrong with a server.
#[derive(Clone)]
pub struct Faults {
    pub extra: Extra,
    /// Whether answers are spoiled at present.
    pub spoils: Arc<dyn Fn() -> bool + Send + Sync>,
    pub sheds: Sheds,
}

impl Faults {
    pub fn none() -> Self {
        Self { extra: Extra::None, spoils: Arc::new(|| true), sheds: Arc::new(|_| false) }
    }
}

/// What a server is.
#[derive(Clone)]
pub struct ServerParts {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// The addresses that serve `control`, in the order in which this server calls them.
    pub control: Arc<Mutex<Vec<SocketAddr>>>,
    pub heartbeat: Duration,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub parts: ServerParts,
    runs: Runs,
    record: Record,
    ending: EndingOf,
    faults: Faults,
    asked: Arc<AtomicU64>,
    sheds: Arc<AtomicU64>,
    /// Answers that were given while answers are spoiled, and copies that were promised.
    answered: Arc<AtomicU64>,
    owed: Arc<AtomicU64>,
    refusals: Arc<AtomicU64>,
    copies: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
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
        Self::spawn_with(parts, runs, record, ending, Faults::none())
    }

    /// Does the same for a server with faults.
    pub fn spawn_with(
        parts: ServerParts,
        runs: Runs,
        record: Record,
        ending: EndingOf,
        faults: Faults,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(parts.address)?;
        let server = Self {
            parts,
            runs,
            record,
            ending,
            faults,
            asked: Arc::default(),
            sheds: Arc::default(),
            answered: Arc::default(),
            owed: Arc::default(),
            refusals: Arc::default(),
            copies: Arc::default(),
            open: Arc::default(),
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
        // It stays with the machine that acknowledged last, and moves on after a failure.
        let list = self.parts.control.lock().unwrap().clone();
        for control in list {
            let host = control.to_string();
            let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
            let told = call(control, &first, &headers, body.as_bytes(), Duration::from_secs(1));
            if told.is_ok_and(|answer| answer.status() / 100 == 2) {
                return Some(control);
            }
            let mut list = self.parts.control.lock().unwrap();
            if list.first() == Some(&control) {
                list.rotate_left(1);
            }
        }
        None
    }

    /// Reports that it leaves, until a machine acknowledges that, and goes on saying so. Returns when
    /// and where it was acknowledged.
    pub fn drain(&self) -> Option<(Instant, SocketAddr)> {
        self.draining.store(true, Ordering::SeqCst);
        let by = (0..5).find_map(|_| self.announce("draining"))?;
        let acknowledged = Instant::now();
        self.record
            .line(format!("server {} reports draining: acknowledged at {by}", self.parts.id));
        let draining = self.clone();
        thread::spawn(move || {
            thread::sleep(draining.parts.heartbeat);
            while !draining.ended.load(Ordering::SeqCst) {
                draining.announce("draining");
                thread::sleep(draining.parts.heartbeat);
            }
        });
        Some((acknowledged, by))
    }

    /// Says that it is gone and ends.
    pub fn leave(&self) {
        let first = format!("POST /upstreams/{}/leave HTTP/1.1", self.parts.id);
        let list = self.parts.control.lock().unwrap().clone();
        let told = list.into_iter().find(|control| {
            let host = control.to_string();
            let sent = call(*control, &first, &[("Host", &host)], b"", Duration::from_secs(1));
            sent.is_ok_and(|answer| answer.status() / 100 == 2)
        });
        self.record.line(format!("server {} leaves: acknowledged at {told:?}", self.parts.id));
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that it closes the port.
        let _ = TcpStream::connect(self.parts.address);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let _ = reading.set_read_timeout(Some(Duration::from_secs(10)));
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().push(copy);
        }
        let mut reader = Reader::new(reading);
        let mut owed = None;
        while let Ok(request) = reader.request() {
            if self.ended.load(Ordering::SeqCst) || !self.answer(&stream, &request, &mut owed) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Ends without a word, with all its connections.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.parts.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Refuses a request for load.
    fn shed(&self, stream: &TcpStream, name: &str, owed: &mut Option<String>) -> bool {
        if !self.hand_out(stream, name, owed) {
            return false;
        }
        self.sheds.fetch_add(1, Ordering::SeqCst);
        let first = "HTTP/1.1 503 Service Unavailable";
        self.record.line(format!("server {} refuses {name} for load", self.parts.id));
        if let Extra::CopyOfShed { per_mille } = self.faults.extra
            && (self.faults.spoils)()
            && (self.owed.load(Ordering::SeqCst) + 1) * 1_000
                <= self.answered.load(Ordering::SeqCst) * per_mille
        {
            self.owed.fetch_add(1, Ordering::SeqCst);
            *owed = Some(format!(
                "{first}\r\nRequest-Id: {name}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        send(stream, first, &[("Request-Id", name), ("Not-Executed", "1")], b"").is_ok()
    }

    /// Hands out the second copy of an earlier answer, if one is owed, while the request `name` is at
    /// work. `false`: the connection has ended.
    fn hand_out(&self, stream: &TcpStream, name: &str, owed: &mut Option<String>) -> bool {
        let Some(copy) = owed.take() else { return true };
        self.copies.fetch_add(1, Ordering::SeqCst);
        let id = &self.parts.id;
        self.record.line(format!(
            "server {id}: the second copy of an earlier answer arrives, while {name} is there"
        ));
        use std::io::Write;
        let mut stream = stream;
        stream.write_all(copy.as_bytes()).is_ok()
    }

    /// Returns how many requests it was asked to run, and how many of them it refused for load.
    pub fn asked(&self) -> (u64, u64) {
        (self.asked.load(Ordering::SeqCst), self.sheds.load(Ordering::SeqCst))
    }

    /// Returns how many answers it gave while answers are spoiled.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::SeqCst)
    }

    /// Returns how many requests were refused that were meant for another instance.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::SeqCst)
    }

    /// Returns how many refusals were handed out twice.
    pub fn copies(&self) -> u64 {
        self.copies.load(Ordering::SeqCst)
    }

    /// Answers one request. `false`: the connection ends. `owed`: an answer that is to be handed out
    /// once more on this connection.
    fn answer(&self, stream: &TcpStream, request: &Message, owed: &mut Option<String>) -> bool {
        let id = self.parts.id.as_str();
        if request.word(1) == "/health" {
            let well = !self.draining.load(Ordering::SeqCst);
            let first = if well { "HTTP/1.1 200 OK" } else { "HTTP/1.1 503 Service Unavailable" };
            return send(stream, first, &[("Instance-Id", id)], b"").is_ok();
        }
        if request.header("expect-instance").is_some_and(|meant| meant != id) {
            let first = "HTTP/1.1 421 Misdirected Request";
            self.refusals.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!(
                "server {id} refuses {:?}, meant for {:?}",
                request.header("request-id"),
                request.header("expect-instance")
            ));
            if self.faults.extra == Extra::CopyOfRefusal {
                *owed = Some(format!("{first}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"));
            }
            return send(stream, first, &[("Instance-Id", id)], b"").is_ok();
        }
        let Some(name) = request.header("request-id") else {
            let first = "HTTP/1.1 400 Bad Request";
            return send(stream, first, &[("Not-Executed", "1")], b"").is_ok();
        };
        let asked = self.asked.fetch_add(1, Ordering::SeqCst);
        if (self.faults.spoils)() {
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
        if (self.faults.sheds)(asked) {
            return self.shed(stream, name, owed);
        }
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
        if !self.hand_out(stream, name, owed) {
            return false;
        }
        thread::sleep(self.parts.work);
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
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
                self.record.line(format!(
                    "server {id}: bytes of no request go before the answer to {name}"
                ));
                use std::io::Write;
                let mut stream = stream;
                stream.write_all(&bytes).is_ok() && answer()
            }
        }
    }
}
