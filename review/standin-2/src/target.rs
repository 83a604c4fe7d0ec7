//! A sound target, as PROTOCOL.md has it: it announces itself, answers its liveness path, refuses what is
//! meant for another with 421, and works for some milliseconds on each request.

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::http::{self, Wire};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const QUEUE: u64 = 16;
const IDLE: Duration = Duration::from_secs(10);

/// What targets ran: the ids of requests, and when each began.
pub type Ran = Arc<Mutex<Vec<(String, Instant)>>>;

/// What a target is like.
#[derive(Clone, Copy)]
pub struct Kind {
    pub slots: u64,
    pub work: Duration,
}

/// Starts a target that lives as long as this process.
pub fn start(kind: Kind, id: &str, address: &str, zone: &str, control: Vec<String>, ran: Ran) {
    listen(kind, id, address, ran);
    let (id, address, zone) = (id.to_owned(), address.to_owned(), zone.to_owned());
    spawn(move || announce(kind, &id, &address, &zone, &control));
}

/// Answers requests, and announces nothing.
pub fn listen(kind: Kind, id: &str, address: &str, ran: Ran) {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| crate::cannot_run(&format!("a target cannot listen: {error}")));
    let (id, busy) = (id.to_owned(), Arc::new(AtomicU64::new(0)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, ran, busy) = (id.clone(), ran.clone(), busy.clone());
            spawn(move || serve(kind, Wire::new(stream), &id, &ran, &busy));
        }
    });
}

fn announce(kind: Kind, id: &str, address: &str, zone: &str, control: &[String]) {
    let mut node = 0;
    for sequence in 1_u64.. {
        let beat = beat(kind, address, zone, sequence);
        let begun = Instant::now();
        for _ in control {
            let to = &control[node % control.len()];
            if tell(to, id, "announce", &beat) {
                break;
            }
            node += 1;
        }
        sleep(HEARTBEAT.saturating_sub(begun.elapsed()));
    }
}

/// Makes what a target says of itself while it is ready.
pub fn beat(kind: Kind, address: &str, zone: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"sequence\":{sequence},\"warmupLeftMs\":0}}",
        kind.slots
    )
}

/// Says something to a node. Returns whether it acknowledges that.
pub fn tell(node: &str, id: &str, what: &str, body: &str) -> bool {
    let head = format!(
        "POST /upstreams/{id}/{what} HTTP/1.1\r\nHost: {node}\r\nContent-Type: application/json\r\n"
    );
    let answer = http::ask(node, &head, body.as_bytes(), Duration::from_secs(1));
    answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
}

fn serve(kind: Kind, mut wire: Wire, id: &str, ran: &Ran, busy: &AtomicU64) {
    while let Ok(Some(request)) = wire.read(Instant::now() + IDLE) {
        let name = request.header("request-id").unwrap_or_default().to_owned();
        let answer = if request.start.starts_with("GET /health ") {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if request.header("expect-instance").is_some_and(|meant| meant != id) {
            "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else if busy.fetch_add(1, Ordering::Relaxed) >= kind.slots + QUEUE {
            busy.fetch_sub(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {name}\r\nServer-Stamp: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            ran.lock().expect("no holder panics").push((name.clone(), Instant::now()));
            sleep(kind.work);
            busy.fetch_sub(1, Ordering::Relaxed);
            let body = format!("{name} by {id}");
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Stamp: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if wire.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}
