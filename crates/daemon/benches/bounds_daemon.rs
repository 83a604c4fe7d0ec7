//! What forming a log line costs the thread that has something to say. Handing it to the thread that
//! writes it is not measured.
//!
//! Bound: a structured line, with each value looked through for what needs quotes, costs at most 1.5
//! times the same text written plainly. Both are measured in turns on the same thread, so that a
//! busy machine slows both, and the median of the turns' ratios counts.

use std::{
    io::{self, Write},
    process::ExitCode,
    time::Instant,
};

use daemon::logging::write_line;
use flexi_logger::DeferredNow;
use log::{Level, Record, kv};

const LINES: u32 = 20_000;
const TURNS: usize = 31;
const BOUND: f64 = 1.5;

/// The pairs of the commonest line, that of a placement.
const PAIRS: [(&str, &str); 6] = [
    ("call", "123456789"),
    ("attempt", "1"),
    ("service", "cluebook"),
    ("upstream", "cluebook-11"),
    ("route", "clue"),
    ("reason", "first"),
];

fn main() -> io::Result<ExitCode> {
    let mut turns = Vec::with_capacity(TURNS);
    for _ in 0..TURNS {
        let structured = each_ns(|out, record| write_line(out, &mut DeferredNow::new(), record))?;
        turns.push([structured, each_ns(plain_line)?]);
    }
    let [structured, plain] = [0, 1].map(|place| median(turns.iter().map(|turn| turn[place])));
    let ratio = median(turns.iter().map(|turn| turn[0] / turn[1]));
    let each_second = 1e9 / structured;
    let mut out = io::stdout();
    writeln!(out, "line                           ns each")?;
    writeln!(out, "structured                     {structured:8.1}   {each_second:.0} lines/s")?;
    writeln!(out, "plain                          {plain:8.1}")?;
    writeln!(out, "structured / plain             {ratio:8.3}   bound {BOUND}")?;
    Ok(if ratio <= BOUND { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn plain_line(out: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    let time = DeferredNow::new().now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.6fZ").to_string();
    write!(out, "{time} {} {} {}", record.level(), record.target(), record.args())?;
    record.key_values().visit(&mut PlainPairs(out)).map_err(io::Error::other)
}

struct PlainPairs<'a>(&'a mut dyn Write);

impl<'kvs> kv::VisitSource<'kvs> for PlainPairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}").map_err(kv::Error::from)
    }
}

/// Returns the nanoseconds for each line.
fn each_ns(write_one: impl Fn(&mut dyn Write, &Record<'_>) -> io::Result<()>) -> io::Result<f64> {
    let pairs: &[(&str, &str)] = &PAIRS;
    let mut out = Vec::with_capacity(256 * LINES as usize);
    let started = Instant::now();
    for _ in 0..LINES {
        let args = format_args!("placed");
        let mut builder = Record::builder();
        let builder = builder.args(args).level(Level::Info).target("caller::tries");
        write_one(&mut out, &builder.key_values(&pairs).build())?;
    }
    Ok(started.elapsed().as_secs_f64() * 1e9 / f64::from(LINES))
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
