//! The log: one line an event with stable keys, written off the traffic threads.
//!
//! A line is `TIME LEVEL TARGET event=WHAT key=value ..`. Values with white space, quotes or
//! equals signs are quoted, and a line break is written as `\n`, so that an event never spans lines
//! and nothing that a peer sends can look like an event of its own.
//!
//! A traffic thread only formats the line; a thread of the log library writes it.

use std::{
    fmt::{self, Write as _},
    io::{self, Write},
    path::PathBuf,
    time::Duration,
};

use crate::{
    args::Coltsfootcrankd,
    reader::{MalformedSnafu, SettingReader, SettingsError},
};
use flexi_logger::{
    Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, LogSpecification, Logger,
    LoggerHandle, Naming, WriteMode,
};
use log::{LevelFilter, Record, kv};
use snafu::ensure;

/// Libraries that speak only of errors, unless the level names them. tarpc writes several lines at
/// `info` for each message between VMs: without this an idle VM of a fleet of five wrote some
/// hundred lines a second, each of them formatted on a thread that has calls to serve.
const QUIET_LIBRARIES: [&str; 4] = ["tarpc", "poem", "hyper", "h2"];

/// How many line buffers are kept for reuse.
const POOL_LINES: usize = 4_096;

/// How many bytes a line usually has.
const LINE_CAPACITY: usize = 256;

/// How often buffered lines are written out.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);

const LEVEL: &str = "error, warn, info, debug or trace, or a list such as info,fleet=debug";
const DEFAULT_LEVEL: &str = "info";
const DEFAULT_FILE_BYTES: u64 = 100_000_000;
const DEFAULT_FILES: u64 = 10;

/// Files that the log is written to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFiles {
    /// The folder.
    pub folder: PathBuf,
    /// At which size a file is closed, in bytes.
    pub file_bytes: u64,
    /// How many closed files are kept.
    pub files: usize,
}

/// What is logged, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// What is logged, in the form that flexi_logger reads.
    pub level: String,
    /// Where to. `None`: standard error.
    pub files: Option<LogFiles>,
}

impl LogSettings {
    pub(crate) fn read(
        args: &Coltsfootcrankd,
        reader: &SettingReader<'_>,
    ) -> Result<Self, SettingsError> {
        let flag = "--log-level";
        let level = reader.text(&args.log_level, flag).unwrap_or_else(|| DEFAULT_LEVEL.to_owned());
        ensure!(is_level(&level), MalformedSnafu { flag, value: level, expected: LEVEL });
        let bytes = reader.number(&args.log_file_bytes, "--log-file-bytes", 10_000..=u64::MAX)?;
        let count =
            reader.number(&args.log_files, "--log-files", 1..=10_000)?.unwrap_or(DEFAULT_FILES);
        let folder = reader.folder(&args.log_folder, "--log-folder")?;
        let files = folder.map(|folder| LogFiles {
            folder,
            file_bytes: bytes.unwrap_or(DEFAULT_FILE_BYTES),
            files: usize::try_from(count).unwrap_or(usize::MAX),
        });
        Ok(Self { level, files })
    }
}

/// The log library reads a word that is no level as the name of a module, so that `--log-level wran`
/// would log nothing and say nothing. Here a bare word must be a level.
fn is_level(text: &str) -> bool {
    let parts = text.split(',').map(|part| part.rsplit_once('=').unwrap_or(("-", part)));
    let mut known = parts
        .map(|(module, level)| !module.is_empty() && level.trim().parse::<LevelFilter>().is_ok());
    known.all(|known| known) && LogSpecification::parse(text).is_ok()
}

/// Returns a level with the libraries quieted that it does not name.
pub fn quieted(level: &str) -> String {
    let named = |library: &&&str| {
        level
            .split(',')
            .any(|part| part.split_once('=').is_some_and(|(m, _)| m.trim() == **library))
    };
    let quiet = QUIET_LIBRARIES.iter().filter(|library| !named(library));
    let quiet = quiet.map(|library| format!(",{library}=error"));
    std::iter::once(level.to_owned()).chain(quiet).collect()
}

/// Starts the log. It ends, with all lines written, when the handle is shut down.
///
/// # Errors
///
/// Fails when a file cannot be opened or a log runs already.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    let mode = WriteMode::AsyncWith {
        pool_capa: POOL_LINES,
        message_capa: LINE_CAPACITY,
        flush_interval: FLUSH_PERIOD,
    };
    let logger =
        Logger::try_with_str(quieted(&settings.level))?.format(write_line).write_mode(mode);
    let logger = match &settings.files {
        None => logger.log_to_stderr(),
        Some(files) => {
            let spec = FileSpec::default().directory(&files.folder).basename("coltsfootcrankd");
            let size = Criterion::Size(files.file_bytes);
            logger.log_to_file(spec.suppress_timestamp()).append().rotate(
                size,
                Naming::Numbers,
                Cleanup::KeepLogFiles(files.files),
            )
        }
    };
    logger.start()
}

/// Writes one event as a line, without the line break at its end.
///
/// # Errors
///
/// Fails when the writer does.
pub fn write_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let mut line = String::with_capacity(LINE_CAPACITY);
    let time = now.now_utc_owned();
    let written = write!(
        line,
        "{} {} {} event=",
        time.format("%Y-%m-%dT%H:%M:%S%.6fZ"),
        record.level(),
        record.target()
    );
    written.and_then(|()| push_value(&mut line, record.args())).map_err(io::Error::other)?;
    record.key_values().visit(&mut PairWriter(&mut line)).map_err(io::Error::other)?;
    w.write_all(line.as_bytes())
}

struct PairWriter<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}=")?;
        push_value(self.0, &value)?;
        Ok(())
    }
}

/// Appends a value, and goes back to quote it only where that turns out to be needed.
fn push_value(line: &mut String, value: &dyn fmt::Display) -> fmt::Result {
    let start = line.len();
    write!(line, "{value}")?;
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if line.len() > start && line[start..].chars().all(plain) {
        return Ok(());
    }
    let value = line.split_off(start);
    write!(line, "{value:?}")
}
