//! The process around one daemon: from its settings to its exit code.

use std::{env, future::Future, io, io::Write, path::PathBuf, sync::Arc, time::Duration};

use crate::{
    args::Coltsfootcrankd,
    embedded::{self, EmbeddedError, EmbeddedFolder},
    exit::{EXIT_CONTROL, EXIT_CUT, EXIT_SETTINGS, EXIT_START},
    logging,
    node::{DaemonError, DaemonNode},
    settings::{ProcessSettings, SettingsError},
};
use control::fault::ControlError;
use flexi_logger::FlexiLoggerError;
use snafu::{ResultExt, Snafu};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, interval_at, sleep},
};

/// How often a planned stop that takes long says so.
const NOTICE_PERIOD: Duration = Duration::from_secs(10);

/// Why the process did not end as planned.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The settings do not do.
    #[snafu(transparent)]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// The folder of an embedded VM could not be made.
    #[snafu(transparent)]
    Embedded {
        /// Why.
        source: EmbeddedError,
    },
    /// The log could not be started.
    #[snafu(display("cannot start the log: {source}; look at --log-folder and --log-level"))]
    Log {
        /// What the library said.
        source: FlexiLoggerError,
    },
    /// The daemon could not be started.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Why.
        source: DaemonError,
    },
    /// The system refused something.
    #[snafu(display("cannot {doing}: {source}"))]
    System {
        /// What was tried.
        doing: &'static str,
        /// What it said.
        source: io::Error,
    },
    /// The control state had to end.
    #[snafu(display("the control state of this VM had to end: {reason}"))]
    Control {
        /// Why, and what to do.
        reason: Arc<ControlError>,
    },
    /// A planned stop was cut short.
    #[snafu(display("the planned stop was cut short by {by}; calls in flight were cut"))]
    Cut {
        /// What cut it.
        by: &'static str,
    },
}

impl ProcessError {
    /// Returns the exit code that supervisors may rely on.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } => EXIT_SETTINGS,
            Self::Embedded { .. } | Self::Log { .. } | Self::Start { .. } | Self::System { .. } => {
                EXIT_START
            }
            Self::Control { .. } => EXIT_CONTROL,
            Self::Cut { .. } => EXIT_CUT,
        }
    }
}

/// Runs the daemon until it is stopped.
///
/// # Errors
///
/// Fails with what the operator should do; [`ProcessError::exit_code`] is what a supervisor sees.
pub fn run(mut args: Coltsfootcrankd) -> Result<(), ProcessError> {
    let variable = |name: &str| env::var(name).ok();
    if args.version {
        return print(concat!("coltsfootcrankd ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    let folder = embedded_folder(&mut args, variable)?;
    let settings = ProcessSettings::from_args(&args, variable)?;
    if args.check {
        return print("the settings are right\n");
    }
    let log = logging::start(&settings.log).context(LogSnafu)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context(SystemSnafu { doing: "start the traffic threads" })?;
    let ended = runtime.block_on(serve(&settings, folder.as_ref()));
    if let Err(error) = &ended {
        log::error!(error:%; "ended");
    }
    // What a cut stop leaves running must not hold up the end of the process.
    runtime.shutdown_background();
    log.shutdown();
    ended
}

fn embedded_folder(
    args: &mut Coltsfootcrankd,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Option<EmbeddedFolder>, ProcessError> {
    if !args.embedded {
        return Ok(None);
    }
    let given = args.data.clone().or_else(|| variable("COLTSFOOTCRANK_DATA")).map(PathBuf::from);
    let folder = EmbeddedFolder::open(given.as_deref())?;
    embedded::complete(args, &folder, variable);
    Ok(Some(folder))
}

async fn serve(
    settings: &ProcessSettings,
    folder: Option<&EmbeddedFolder>,
) -> Result<(), ProcessError> {
    let doing = "listen for signals";
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu { doing })?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SystemSnafu { doing })?;
    let node = DaemonNode::spawn(&settings.daemon).await.context(StartSnafu)?;
    print(&greeting(&node, folder))?;
    tokio::select! {
        () = asked(&mut terminate, &mut interrupt) => log::info!("planned stop asked for by signal"),
        () = node.drain_asked() => log::info!("planned stop asked for by an operator"),
        reason = node.control_failed() => return ControlSnafu { reason }.fail(),
    }
    finish(node.stop(), asked(&mut terminate, &mut interrupt), settings.stop_limit).await
}

async fn asked(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
}

/// Waits for a planned stop to finish what is in flight, and says in the log what it waits for.
///
/// A second request to stop, or the limit, cuts what is left. That breaks what callers were
/// promised, so it is said aloud and has an exit code of its own; the default has no limit.
///
/// # Errors
///
/// Fails when the stop was cut short.
pub async fn finish(
    stop: impl Future<Output = ()>,
    again: impl Future<Output = ()>,
    limit: Option<Duration>,
) -> Result<(), ProcessError> {
    let started = Instant::now();
    let mut notice = interval_at(started + NOTICE_PERIOD, NOTICE_PERIOD);
    let limited = async {
        match limit {
            Some(limit) => sleep(limit).await,
            None => std::future::pending().await,
        }
    };
    let (mut stop, mut again) = (std::pin::pin!(stop), std::pin::pin!(again));
    let mut limited = std::pin::pin!(limited);
    loop {
        tokio::select! {
            () = &mut stop => return Ok(()),
            () = &mut again => return CutSnafu { by: "a second signal" }.fail(),
            () = &mut limited => return CutSnafu { by: "--stop-limit" }.fail(),
            _ = notice.tick() => {
                let waited_s = started.elapsed().as_secs();
                log::info!(waited_s; "planned stop waits for calls in flight");
            }
        }
    }
}

fn greeting(node: &DaemonNode, folder: Option<&EmbeddedFolder>) -> String {
    let mut text = format!(
        "callers {}\nannounce {}\noperators {}\nplatform {}\nfleet {}\n",
        node.caller_address(),
        node.announce_address(),
        node.operator_address(),
        node.platform_address(),
        node.fleet_address()
    );
    if let Some(folder) = folder {
        let secret = folder.secret("--operator-secret");
        text += &format!(
            "\nin another shell:\n  export COLTSFOOTCRANK_OPERATOR={}\n  \
             export COLTSFOOTCRANK_OPERATOR_SECRET={}\n  coltsfootcrank status\n\
             the secret of announcements is in {}\n",
            node.operator_address(),
            secret.display(),
            folder.secret("--announce-secret").display()
        );
    }
    text
}

fn print(text: &str) -> Result<(), ProcessError> {
    let mut out = io::stdout();
    let printed = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    printed.context(SystemSnafu { doing: "print" })
}
