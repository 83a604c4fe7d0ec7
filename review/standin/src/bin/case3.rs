//! Case 3. A core machine is replaced by an empty one at another address, which is cut off from all
//! other machines as it starts. A server that leaves reports there first. Its word is acknowledged,
//! though no other machine has heard it, and requests go on to reach the server.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Verdict,
    fleet::{Fleet, HEARTBEAT, ZONES},
    http::call,
    proxy,
    record::Record,
    server::{Ending, EndingOf, Runs, Server, ServerParts},
    trouble, wait_until,
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fees","host":"hunt.example","pathPrefix":"/fees/","type":"unsafe","timeoutMs":3000,"aimMs":1200,"priority":0,"service":"entrydesk","maxAttempts":2}],
"services":[{"name":"entrydesk","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
const SEED_LAG: Duration = Duration::from_millis(3_000);

/// How long the new machine is cut off: less than the 6.24 s of the site file.
const CUT: Duration = Duration::from_millis(6_200);

/// How long after its start the server reports to it: the list that servers pick from has it by then.
const REPORT_AT: Duration = Duration::from_millis(3_050);

/// How many clients press, each with one request at a time: 16 of the 32 slots.
const CLIENTS: usize = 16;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/3".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("a record");
    let verdict = run(&record).unwrap_or_else(Verdict::CouldNotRun);
    match &verdict {
        Verdict::Held => record.say("DRAIN held"),
        Verdict::Broken => record.say("DRAIN broken"),
        Verdict::CouldNotRun(reason) => record.say(format!("could not run: {reason}")),
    }
    std::process::exit(verdict.code());
}

/// Sends requests to a front machine until told to stop, one after the other.
fn press(
    front: SocketAddr,
    seed: u64,
    stop: Arc<AtomicBool>,
    record: Record,
    tally: Arc<[AtomicU64; 2]>,
) {
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
        let first = format!("POST /fees/{number} HTTP/1.1");
        let answer = call(front, &first, &headers, b"fee", Duration::from_millis(3_500));
        let told = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        tally[usize::from(told != "200")].fetch_add(1, Ordering::SeqCst);
        record.line(format!("client: {first} {id} at {front}: {told}"));
        thread::sleep(Duration::from_millis(15));
    }
}

/// Returns the server that has run most in the last two seconds.
fn busiest(servers: &[Server], runs: &Runs) -> Server {
    let runs = runs.lock().unwrap();
    let lately =
        |id: &str| runs.iter().filter(|run| run.server == id && run.at.elapsed() < DRAIN).count();
    servers.iter().max_by_key(|server| lately(&server.parts.id)).expect("there are servers").clone()
}

fn run(record: &Record) -> Result<Verdict, String> {
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let mut fleet = Fleet::new(&root, 5, 4, record)?;
    fleet.start_all()?;
    if !fleet.put_config(CONFIG, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let runs = Runs::default();
    let ending: EndingOf = Arc::new(|_, _| Ending::Answer);
    let mut servers = Vec::new();
    for place in 0..8 {
        let mut control = fleet.control();
        let first = place % control.len();
        control.rotate_left(first);
        let parts = ServerParts {
            id: format!("i-entry{place}"),
            service: "entrydesk".to_owned(),
            address: fleet.server_address(place),
            zone: ZONES[place % ZONES.len()].to_owned(),
            slots: 4,
            work: Duration::from_millis(100),
            control: Arc::new(Mutex::new(control)),
            heartbeat: HEARTBEAT,
        };
        let server = Server::spawn(parts, runs.clone(), record.clone(), ending.clone());
        servers.push(server.map_err(|error| error.to_string())?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the front machines did not get ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let tally: Arc<[AtomicU64; 2]> = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let mut clients = Vec::new();
    for place in 0..CLIENTS {
        let fronts = fleet.names(true);
        let (front, stop) = (fleet.address(&fronts[place % fronts.len()]), stop.clone());
        let (record, tally) = (record.clone(), tally.clone());
        clients.push(thread::spawn(move || press(front, place as u64 + 1, stop, record, tally)));
    }
    thread::sleep(Duration::from_secs(5));

    // The network between the new machine and those that it is told of.
    let cut = Arc::new(AtomicBool::new(trouble()));
    let mut seeds = Vec::new();
    for (place, ip) in fleet.seed_ips().iter().enumerate() {
        let near = fleet.spare_ip(200 + place as u8);
        let passed = proxy::spawn(fleet.internal(&near), fleet.internal(ip), cut.clone());
        passed.map_err(|error| error.to_string())?;
        seeds.push(near);
    }
    let gone = fleet.names(false).iter().find(|name| **name == "core-fort-hall-2").cloned();
    let gone = gone.ok_or("there is no such machine")?;
    fleet.kill(&gone);
    thread::sleep(Duration::from_secs(1));
    let new = "core-fort-hall-3";
    fleet.add_core(new, &gone, 30, &seeds);
    fleet.start(new)?;
    let started = Instant::now();
    let new_control = fleet.address(new);
    record.line(format!(
        "platform: {gone} is gone, {new} takes its place at {new_control}, cut off: {}",
        trouble()
    ));
    let listening = || std::net::TcpStream::connect(new_control).is_ok();
    if !wait_until(Duration::from_secs(3), listening) {
        return Err("the new machine does not serve control".to_owned());
    }
    assert!(REPORT_AT >= SEED_LAG && REPORT_AT >= CONTACT_WINDOW);
    thread::sleep(REPORT_AT.saturating_sub(started.elapsed()));

    // The server reports there first, and to the others where it is refused.
    let leaving = busiest(&servers, &runs);
    {
        let mut list = leaving.parts.control.lock().unwrap();
        list.retain(|address| *address != fleet.address(&gone));
        list.insert(0, new_control);
    }
    let Some((acknowledged, by)) = leaving.drain() else {
        return Err("no machine acknowledged that the server leaves".to_owned());
    };
    let at = started.elapsed();
    record.say(format!(
        "draining acknowledged {:.2} s after the start of the new machine, by {}",
        at.as_secs_f64(),
        if by == new_control { "that machine" } else { "another" }
    ));
    // It goes on serving for drainMs and a little longer.
    thread::sleep((DRAIN + Duration::from_millis(1_000)).saturating_sub(acknowledged.elapsed()));
    let ended = Instant::now();
    leaving.leave();
    thread::sleep(CUT.saturating_sub(started.elapsed()));
    cut.store(false, Ordering::SeqCst);
    record.line("platform: the new machine is cut off no more");
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let runs = runs.lock().unwrap();
    let at_it: Vec<_> = runs.iter().filter(|run| run.server == leaving.parts.id).collect();
    // Front machines are in touch again a contact window after the start of the new machine.
    let in_touch = started + CONTACT_WINDOW;
    let late = at_it
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN && run.at > in_touch && run.at < ended);
    let late = late.count();
    let before = at_it.iter().filter(|run| run.at <= acknowledged).count();
    let within = at_it.len() - before - late;
    record.say(format!(
        "requests at the server that left: {before} before the ack, {within} within drainMs of it, {late} later"
    ));
    let (served, not) = (tally[0].load(Ordering::SeqCst), tally[1].load(Ordering::SeqCst));
    record.say(format!("clients: {served} requests answered 200, {not} otherwise"));
    if before == 0 {
        return Err("the server got no requests before".to_owned());
    }
    Ok(if late == 0 { Verdict::Held } else { Verdict::Broken })
}
