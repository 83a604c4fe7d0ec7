//! Stand-ins and drivers of the review's scripts: `review-2 CASE RECORD`. `TROUBLE=0` leaves the
//! disruption out. Exits with 0 where the rule held, 1 where it was broken, 2 where the case could not run.

mod fleet;
mod founding;
mod http;
mod leaving;
mod operator;
mod replacing;
mod routes;
mod stopping;
mod target;
mod wiping;

use std::{
    fs::File,
    io::Write,
    process::exit,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Writes a line to the record, with the seconds since the start.
pub fn note(line: &str) {
    let Some((begun, file)) = RECORD.get() else { return };
    let line = format!("{:8.3} s  {line}\n", begun.elapsed().as_secs_f64());
    print!("{line}");
    let _ = file.lock().map(|mut file| file.write_all(line.as_bytes()));
}

/// Ends a case that cannot run, and the processes that it started.
pub fn cannot_run(why: &str) -> ! {
    note(&format!("cannot run: {why}"));
    fleet::end_all();
    exit(2)
}

/// Tells whether the disruption is to be brought about.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, record) =
        (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let Ok(file) = File::create(&record) else {
        eprintln!("review-2 CASE RECORD: {record:?} cannot be written");
        exit(2)
    };
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    note(&format!("case {case}, disruption: {}", if trouble() { "yes" } else { "no" }));
    let held = match case.as_str() {
        "founding" => founding::run(),
        "leaving" => leaving::run(),
        "wiping" => wiping::run(),
        "replacing" => replacing::run(),
        "routes" => routes::run(),
        "stopping" => stopping::run(),
        _ => cannot_run("there is no such case"),
    };
    note(if held { "the rule held" } else { "the rule was broken" });
    exit(i32::from(!held))
}
