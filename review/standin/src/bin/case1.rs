//! Case 1. The final answer of a team is submitted at `/answers/final`, under the unsafe route
//! `/answers/`. A safe route `/answers/final/` serves lookups of what was submitted. A server runs a
//! submission and its answer is lost. The submission must not run again.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use review_standin::{
    Verdict,
    fleet::{Fleet, HEARTBEAT, ZONES},
    http::{Message, call},
    record::Record,
    server::{Ending, EndingOf, Runs, Server, ServerParts},
    trouble,
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-submit","host":"hunt.example","pathPrefix":"/answers/","type":"unsafe","timeoutMs":2000,"aimMs":800,"priority":0,"service":"judgebox","maxAttempts":2},
{"name":"r-lookup","host":"hunt.example","pathPrefix":"/answers/final/","type":"safe","timeoutMs":2000,"aimMs":800,"priority":0,"service":"judgebox","maxAttempts":2}],
"services":[{"name":"judgebox","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// How many submissions are sent. At two servers of four the answer to 1 in 10 is lost.
const SUBMISSIONS: u32 = 100;
const LOST_ONE_IN: u64 = 10;

/// The route of a path by the users' page: the longest prefix that begins the path.
fn is_unsafe(path: &str) -> bool {
    let routes = [("/answers/", true), ("/answers/final/", false)];
    let matching = routes.iter().filter(|(prefix, _)| path.starts_with(prefix));
    matching.max_by_key(|(prefix, _)| prefix.len()).is_some_and(|(_, is_unsafe)| *is_unsafe)
}

/// Each server calls another control machine first.
fn control_list(fleet: &Fleet, place: usize) -> Arc<Mutex<Vec<std::net::SocketAddr>>> {
    let mut list = fleet.control();
    let first = place % list.len();
    list.rotate_left(first);
    Arc::new(Mutex::new(list))
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/1".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("a record");
    let verdict = run(&record).unwrap_or_else(Verdict::CouldNotRun);
    match &verdict {
        Verdict::Held => record.say("TWICE held"),
        Verdict::Broken => record.say("TWICE broken"),
        Verdict::CouldNotRun(reason) => record.say(format!("could not run: {reason}")),
    }
    std::process::exit(verdict.code());
}

fn run(record: &Record) -> Result<Verdict, String> {
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let mut fleet = Fleet::new(&root, 5, 4, record)?;
    fleet.start_all()?;
    if !fleet.put_config(CONFIG, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let runs = Runs::default();
    let trouble = trouble();
    let losing: EndingOf = Arc::new(move |number, request: &Message| {
        let is_lost = number % LOST_ONE_IN == LOST_ONE_IN - 1 && request.word(0) == "PUT";
        if trouble && is_lost { Ending::Lost } else { Ending::Answer }
    });
    let sound: EndingOf = Arc::new(|_, _| Ending::Answer);
    let mut servers = Vec::new();
    for place in 0..4 {
        let parts = ServerParts {
            id: format!("i-judge{place}"),
            service: "judgebox".to_owned(),
            address: fleet.server_address(place),
            zone: ZONES[place % ZONES.len()].to_owned(),
            slots: 4,
            work: Duration::from_millis(20),
            control: control_list(&fleet, place),
            heartbeat: HEARTBEAT,
        };
        let ending = if place % 2 == 0 { losing.clone() } else { sound.clone() };
        let server = Server::spawn(parts, runs.clone(), record.clone(), ending);
        servers.push(server.map_err(|error| error.to_string())?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the front machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = fleet.names(true);
    let mut served = 0;
    for number in 0..SUBMISSIONS {
        let front = fleet.address(&fronts[number as usize % fronts.len()]);
        let id = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + u64::from(number));
        let headers = [
            ("Host", "hunt.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
            ("Connection", "close"),
        ];
        let body = format!("team {number}: the lighthouse");
        let first = "PUT /answers/final HTTP/1.1";
        let answer = call(front, first, &headers, body.as_bytes(), Duration::from_millis(2_600));
        let told = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        served += u32::from(told == "200");
        record.line(format!("client: {first} {id} at {front}: {told}"));
    }
    thread::sleep(Duration::from_secs(1));
    let mut counts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter().filter(|run| is_unsafe(&run.path)) {
        counts.entry(run.request.clone()).or_default().push(run.server.clone());
    }
    let twice: Vec<_> = counts.iter().filter(|(_, servers)| servers.len() > 1).collect();
    record.say(format!(
        "{SUBMISSIONS} unsafe requests, {served} answered 200, {} ran, {} ran more than once",
        counts.len(),
        twice.len()
    ));
    for (id, servers) in &twice {
        record.say(format!("  {id} ran at {}", servers.join(" and ")));
    }
    if served < SUBMISSIONS / 2 {
        return Err(format!("only {served} requests were served"));
    }
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}
