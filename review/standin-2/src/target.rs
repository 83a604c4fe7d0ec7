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
const WORK: Duration = Duration::from_millis(50);
const SLOTS: u64 = 4;
const QUEUE: u64 = 16;
const IDLE: Duration = Duration::from_secs(10);

/// What targets ran: the ids of requests.
pub type Ran = Arc<Mutex<Vec<String>>>;

/// Starts a target that lives as long as this process.
pub fn start(id: &str, address: &str, zone: &str, control: Vec<String>, ran: Ran) {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| crate::cannot_run(&format!("a target cannot listen: {error}")));
    let (beat_id, beat_address, zone) = (id.to_owned(), address.to_owned(), zone.to_owned());
    spawn(move || announce(&beat_id, &beat_address, &zone, &control));
    let (id, busy) = (id.to_owned(), Arc::new(AtomicU64::new(0)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, ran, busy) = (id.clone(), ran.clone(), busy.clone());
            spawn(move || serve(Wire::new(stream), &id, &ran, &busy));
        }
    });
}

fn announce(id: &str, address: &str, zone: &str, control: &[String]) {
    let mut node = 0;
    for sequence in 1_u64.. {
        let beat = format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"sequence\":{sequence},\"warmupLeftMs\":0}}"
        );
        let begun = Instant::now();
        for _ in control {
            let to = &control[node % control.len()];
            let head = format!("POST /upstreams/{id}/announce HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n");
            let answer = http::ask(to, &head, beat.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                break;
            }
            node += 1;
        }
        sleep(HEARTBEAT.saturating_sub(begun.elapsed()));
    }
}

fn serve(mut wire: Wire, id: &str, ran: &Ran, busy: &AtomicU64) {
    while let Ok(Some(request)) = wire.read(Instant::now() + IDLE) {
        let name = request.header("request-id").unwrap_or_default().to_owned();
        let answer = if request.start.starts_with("GET /health ") {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if request.header("expect-instance").is_some_and(|meant| meant != id) {
            "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else if busy.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
            busy.fetch_sub(1, Ordering::Relaxed);
            format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {name}\r\nServer-Stamp: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        } else {
            ran.lock().expect("no holder panics").push(name.clone());
            sleep(WORK);
            busy.fetch_sub(1, Ordering::Relaxed);
            let body = format!("{name} by {id}");
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Stamp: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        if wire.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}
