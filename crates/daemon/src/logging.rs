//! The log: one line an event with stable keys, written off the traffic threads.

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode};
use log::{Record, kv};
use std::io::Write;

/// How many bytes may wait to be written.
const POOL_LINES: usize = 4_096;

/// How many bytes a line usually has.
const LINE_CAPACITY: usize = 256;

/// Starts the log on standard error. `COLTSFOOTCRANK_LOG` sets the level, `info` by default.
///
/// # Errors
///
/// Fails when the level cannot be read or a log runs already.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let mode = WriteMode::AsyncWith {
        pool_capa: POOL_LINES,
        message_capa: LINE_CAPACITY,
        flush_interval: std::time::Duration::from_millis(200),
    };
    Logger::try_with_str(level)?.format(line).write_mode(mode).log_to_stderr().start()
}

fn line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(w, "{time} {} {} {}", record.level(), record.target(), record.args())?;
    let mut pairs = PairWriter(w);
    record.key_values().visit(&mut pairs).map_err(std::io::Error::other)
}

struct PairWriter<'a>(&'a mut dyn Write);

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}").map_err(kv::Error::from)
    }
}
