//! Not one of the three cases, see REPORT.md. A front machine is stopped as planned while requests of its
//! clients wait for a slot of a busy service. Each of them has to be answered, if only by a refusal.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Verdict,
    fleet::{Fleet, HEARTBEAT, ZONES},
    http::{Connection, call},
    record::Record,
    server::{Ending, EndingOf, Runs, Server, ServerParts},
    trouble,
};

/// The route has the aim and the timeout of `depot-stock`.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-stock","host":"relief.example","pathPrefix":"/stock/","type":"safe","timeoutMs":40000,"aimMs":6000,"priority":2,"service":"stockroll","maxAttempts":2}],
"services":[{"name":"stockroll","healthCheckPath":"/health","maxConnections":330,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const SERVERS: usize = 6;
const CLIENTS: usize = 144;

/// `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// `graceS`, and 1 s until which a request counts as sent around the stop.
const GRACE: Duration = Duration::from_secs(6);

struct Sent {
    id: String,
    front: SocketAddr,
    at: Instant,
    ended: Instant,
    told: String,
    answered: bool,
}

/// The platform's balancer, as far as it has to do with one front machine.
fn balance(ready: SocketAddr, out: Arc<AtomicBool>) {
    let mut misses = 0;
    loop {
        let asked = call(
            ready,
            "GET /readiness HTTP/1.1",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        let well = asked.is_ok_and(|answer| answer.status() == 200);
        misses = if well { 0 } else { misses + 1 };
        out.store(misses >= 2, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("a record");
    let verdict = run(&record).unwrap_or_else(Verdict::CouldNotRun);
    match &verdict {
        Verdict::Held => record.say("LOST held"),
        Verdict::Broken => record.say("LOST broken"),
        Verdict::CouldNotRun(reason) => record.say(format!("could not run: {reason}")),
    }
    std::process::exit(verdict.code());
}

struct Client {
    number: usize,
    fronts: Vec<SocketAddr>,
    out: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
}

impl Client {
    /// Sends one request after the other. A connection is kept while it may be; a new one goes to a front
    /// machine that the balancer has in rotation.
    fn press(&self) {
        let own = self.number as u64;
        thread::sleep(Duration::from_millis(own * 97 % 7_000));
        let mut count = 0;
        let mut kept: Option<(SocketAddr, Connection)> = None;
        while !self.stop.load(Ordering::SeqCst) {
            count += 1;
            kept = kept.filter(|(_, connection)| !connection.is_closed());
            let opened = match kept.take() {
                Some(kept) => Ok(kept),
                None => self.open(),
            };
            let Ok((front, mut connection)) = opened else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let id = format!("{own:08x}{count:08x}");
            let headers =
                [("Host", "relief.example"), ("Request-Id", id.as_str()), ("Deadline-Ms", "40000")];
            let first = format!("GET /stock/{own}-{count} HTTP/1.1");
            let at = Instant::now();
            let answer = connection.call(&first, &headers);
            let (told, answered) = match &answer {
                Ok(answer) => (answer.status().to_string(), true),
                Err(error) => (error.to_string(), false),
            };
            self.record.line(format!(
                "client: {first} {id} at {front}: {told} after {:.2} s",
                at.elapsed().as_secs_f64()
            ));
            let ended = Instant::now();
            self.sent.lock().unwrap().push(Sent { id, front, at, ended, told, answered });
            let closes = |value: &str| value.eq_ignore_ascii_case("close");
            if answer.is_ok_and(|answer| !answer.header("connection").is_some_and(closes)) {
                kept = Some((front, connection));
            }
            thread::sleep(Duration::from_millis((own * 911 + count * 1_397) % 5_000));
        }
    }

    fn open(&self) -> std::io::Result<(SocketAddr, Connection)> {
        let others = self.fronts.len() - 1;
        let place = match self.number % self.fronts.len() {
            0 if self.out.load(Ordering::SeqCst) => 1 + self.number / self.fronts.len() % others,
            place => place,
        };
        let front = self.fronts[place];
        Ok((front, Connection::open(front, Duration::from_millis(40_500))?))
    }
}

fn run(record: &Record) -> Result<Verdict, String> {
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let mut fleet = Fleet::new(&root, 5, 2, record)?;
    fleet.start_all()?;
    if !fleet.put_config(CONFIG, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let runs = Runs::default();
    let ending: EndingOf = Arc::new(|_, _| Ending::Answer);
    for place in 0..SERVERS {
        let mut control = fleet.control();
        control.rotate_left(place);
        let parts = ServerParts {
            id: format!("i-stock{place}"),
            service: "stockroll".to_owned(),
            address: fleet.server_address(place),
            zone: ZONES[place % ZONES.len()].to_owned(),
            slots: 6,
            work: Duration::from_millis(2_000),
            control: Arc::new(Mutex::new(control)),
            heartbeat: HEARTBEAT,
        };
        Server::spawn(parts, runs.clone(), record.clone(), ending.clone())
            .map_err(|e| e.to_string())?;
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the front machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let (stop, out) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let names = fleet.names(true);
    let fronts: Vec<SocketAddr> = names.iter().map(|front| fleet.address(front)).collect();
    let (ready, marked) = (fleet.ready_address(&names[0]), out.clone());
    thread::spawn(move || balance(ready, marked));
    let clients = (0..CLIENTS).map(|number| {
        let client = Client {
            number,
            fronts: fronts.clone(),
            out: out.clone(),
            stop: stop.clone(),
            sent: sent.clone(),
            record: record.clone(),
        };
        thread::spawn(move || client.press())
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(22));
    let signal = Instant::now();
    if trouble() {
        fleet.terminate(&names[0]);
    }
    thread::sleep(GRACE + Duration::from_millis(500));
    record.line(format!("platform: the process has ended with {:?}", fleet.ended(&names[0])));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let ran: std::collections::BTreeSet<String> =
        runs.lock().unwrap().iter().map(|run| run.request.clone()).collect();
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|one| one.told == "200").count();
    let around = sent.iter().filter(|one| one.front == fronts[0] && one.ended >= signal);
    // A connection that ended without an answer, after the request had been there for longer than
    // `lossSlackMs`; at no server, so none was at work on it, and far from its time limit.
    let lost: Vec<_> = around
        .filter(|one| !one.answered && one.ended - one.at > LOSS_SLACK && !ran.contains(&one.id))
        .collect();
    record.say(format!(
        "{} requests, {served} answered 200, {} lost at the machine that stopped",
        sent.len(),
        lost.len()
    ));
    for one in &lost {
        let at = |moment: Instant| match moment.checked_duration_since(signal) {
            Some(after) => format!("{:.2} s after", after.as_secs_f64()),
            None => format!("{:.2} s before", (signal - moment).as_secs_f64()),
        };
        record.say(format!(
            "  {} sent {} the signal, connection ended {} it ({}), never at a server",
            one.id,
            at(one.at),
            at(one.ended),
            one.told
        ));
    }
    if served < 100 {
        return Err(format!("only {served} requests were served"));
    }
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
