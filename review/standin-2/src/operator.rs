//! The operator, as PROTOCOL.md has it: one order at a time, to one node after the other until it is
//! acknowledged.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http, note};

/// How long the operator waits for a response.
const RESPONSE: Duration = Duration::from_secs(1);

/// What came of an order.
pub enum Order {
    Acked,
    /// Ended by a 4xx that ends a call at once.
    Refused(u16),
    /// Without a clear response in the time given.
    Unanswered,
}

/// Makes a configuration with one service and a route to it, and `more` routes beside.
pub fn document(version: u64, more: usize) -> String {
    let mut routes = vec![
        route("r-fee", "fee.example", "/fee/", "unsafe"),
        route("r-clue", "clue.example", "/clue/", "safe"),
    ];
    routes
        .extend((0..more).map(|n| {
            route(&format!("r-{n:05}"), "clue.example", &format!("/more{n:05}/"), "safe")
        }));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn route(name: &str, host: &str, prefix: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"timeoutMs\":3000,\"aimMs\":1200,\"priority\":1,\"maxAttempts\":2,\"service\":\"desk\"}}"
    )
}

/// Does the same with a pause of a tenth of a second only, and without a word on each refusal.
pub fn send_each(document: &str, nodes: &[String], until: Instant) -> Order {
    let begun = Instant::now();
    for turn in 0.. {
        let address = &nodes[turn % nodes.len()];
        let head = format!(
            "POST /config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        );
        let answer = http::ask(address, &head, document.as_bytes(), RESPONSE);
        if answer.is_ok_and(|answer| answer.status() == 200) {
            note(&format!(
                "{address} acknowledges it, {} ms and {} tries after it was first sent",
                begun.elapsed().as_millis(),
                turn + 1
            ));
            return Order::Acked;
        }
        if Instant::now() >= until {
            return Order::Unanswered;
        }
        sleep(Duration::from_millis(100));
    }
    Order::Unanswered
}

/// Sends an order until it is acknowledged, refused for good or `until` has come.
pub fn send(document: &str, nodes: &[String], until: Instant) -> Order {
    let begun = Instant::now();
    let mut pause = Duration::from_millis(100);
    for turn in 0.. {
        let address = &nodes[turn % nodes.len()];
        let head = format!(
            "POST /config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        );
        let answer = http::ask(address, &head, document.as_bytes(), RESPONSE);
        match &answer {
            Ok(answer) if answer.status() == 200 => {
                note(&format!(
                    "{address} acknowledges the configuration, {} ms after it was first sent",
                    begun.elapsed().as_millis()
                ));
                return Order::Acked;
            }
            Ok(answer) if matches!(answer.status(), 400 | 409 | 412 | 413 | 422) => {
                note(&format!(
                    "{address} answers {}: {}",
                    answer.status(),
                    String::from_utf8_lossy(&answer.body)
                ));
                return Order::Refused(answer.status());
            }
            Ok(answer) => note(&format!(
                "{address} answers {}: {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body)
            )),
            Err(error) => note(&format!("{address}: {error}")),
        }
        if Instant::now() >= until {
            return Order::Unanswered;
        }
        sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(2));
    }
    Order::Unanswered
}
