//! Not one of the three cases, see REPORT.md. A server crashes and is back at its address with a new id.
//! A request that was meant for its earlier life is refused there with 421. The server hands out a second
//! copy of that answer, which arrives late: when the next request on the connection is at work. That
//! request must not run again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use review_standin::{
    Verdict,
    fleet::{Fleet, HEARTBEAT, ZONES},
    http::call,
    record::Record,
    server::{Ending, EndingOf, Extra, Faults, Runs, Server, ServerParts},
    trouble,
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fees","host":"hunt.example","pathPrefix":"/fees/","type":"unsafe","timeoutMs":3000,"aimMs":1200,"priority":0,"service":"entrydesk","maxAttempts":2}],
"services":[{"name":"entrydesk","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// How long a crashed server is down: less than the 4.5 s of the site file.
const DOWN: Duration = Duration::from_millis(1_500);

/// How long the next crash is away when a server is back.
const BACK: Duration = Duration::from_millis(4_000);

/// How many clients press, each with one request at a time.
const CLIENTS: usize = 28;

const SERVERS: usize = 8;

/// Which servers crash, one after the other. These two of eight are those that spoil answers.
const CRASHES: [usize; 6] = [0, 1, 0, 1, 0, 1];

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("a record");
    let verdict = run(&record).unwrap_or_else(Verdict::CouldNotRun);
    match &verdict {
        Verdict::Held => record.say("TWICE held"),
        Verdict::Broken => record.say("TWICE broken"),
        Verdict::CouldNotRun(reason) => record.say(format!("could not run: {reason}")),
    }
    std::process::exit(verdict.code());
}

/// Sends requests to a front machine until told to stop, one after the other.
fn press(front: SocketAddr, seed: u64, stop: Arc<AtomicBool>, record: Record) -> (u32, u32) {
    let (mut served, mut not) = (0, 0);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{:016x}", (seed << 32) + number);
        let headers = [
            ("Host", "hunt.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "3000"),
            ("Connection", "close"),
        ];
        let first = format!("POST /fees/{seed}-{number} HTTP/1.1");
        let answer = call(front, &first, &headers, b"fee", Duration::from_millis(3_500));
        let told = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        if told == "200" {
            served += 1
        } else {
            not += 1
        }
        record.line(format!("client: {first} {id} at {front}: {told}"));
        thread::sleep(Duration::from_millis(5));
    }
    (served, not)
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
    let spawn = |id: &str, place: usize, extra: Extra| {
        let mut control = fleet.control();
        let first = place % control.len();
        control.rotate_left(first);
        let parts = ServerParts {
            id: id.to_owned(),
            service: "entrydesk".to_owned(),
            address: fleet.server_address(place),
            zone: ZONES[place % ZONES.len()].to_owned(),
            slots: 4,
            work: Duration::from_millis(60),
            control: Arc::new(Mutex::new(control)),
            heartbeat: HEARTBEAT,
        };
        let faults = Faults { extra, ..Faults::none() };
        let server =
            Server::spawn_with(parts, runs.clone(), record.clone(), ending.clone(), faults);
        server.map_err(|error| error.to_string())
    };
    let mut servers = Vec::new();
    for place in 0..SERVERS {
        servers.push(spawn(&format!("i-fees{place}-0"), place, Extra::None)?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the front machines did not get ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for place in 0..CLIENTS {
        let fronts = fleet.names(true);
        let (front, stop) = (fleet.address(&fronts[place % fronts.len()]), stop.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || press(front, place as u64 + 1, stop, record)));
    }
    thread::sleep(Duration::from_secs(4));
    // One server after the other crashes and is back. `TROUBLE=crash`: none hands out an answer twice.
    let crashes_alone = std::env::var("TROUBLE").is_ok_and(|value| value == "crash");
    let mut ended = Vec::new();
    let extra = if trouble() && !crashes_alone { Extra::CopyOfRefusal } else { Extra::None };
    for (life, place) in CRASHES.into_iter().enumerate() {
        if !trouble() {
            thread::sleep(DOWN + BACK);
            continue;
        }
        servers[place].crash();
        record.line(format!("server {} crashes", servers[place].parts.id));
        thread::sleep(DOWN);
        let next = format!("i-fees{place}-{}", life + 1);
        let before = std::mem::replace(&mut servers[place], spawn(&next, place, extra)?);
        ended.push(before);
        record.line(format!("server {next} starts at the same address"));
        thread::sleep(BACK);
    }
    stop.store(true, Ordering::SeqCst);
    let (mut served, mut not) = (0, 0);
    for client in clients {
        let (more, fewer) = client.join().map_err(|_| "a client ended")?;
        served += more;
        not += fewer;
    }
    thread::sleep(Duration::from_millis(500));
    let mut counts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter() {
        counts.entry(run.request.clone()).or_default().push(run.server.clone());
    }
    let twice: Vec<_> = counts.iter().filter(|(_, servers)| servers.len() > 1).collect();
    let lives = || servers.iter().chain(&ended);
    let refusals: u64 = lives().map(Server::refusals).sum();
    let copies: u64 = lives().map(Server::copies).sum();
    record.say(format!(
        "{} unsafe requests, {served} answered 200, {not} otherwise; {refusals} answers 421, {copies} of them twice; \
         {} ran, {} ran more than once",
        served + not,
        counts.len(),
        twice.len()
    ));
    for (id, servers) in &twice {
        record.say(format!("  {id} ran at {}", servers.join(" and ")));
    }
    if served < 100 {
        return Err(format!("only {served} requests were served"));
    }
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}
