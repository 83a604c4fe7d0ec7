//! `coltsfootcrankd`: parses, builds, runs and maps errors to exit codes.

use std::{env, process::ExitCode};

use daemon::{
    args::Coltsfootcrankd,
    logging,
    node::{DaemonError, DaemonNode},
    settings::{DaemonSettings, SettingsError},
};
use snafu::Snafu;
use tokio::signal::unix::{SignalKind, signal};

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

#[derive(Debug, Snafu)]
enum MainError {
    #[snafu(transparent)]
    Settings { source: SettingsError },
    #[snafu(transparent)]
    Daemon { source: DaemonError },
    #[snafu(display("cannot start: {source}"))]
    System { source: std::io::Error },
}

impl MainError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings { .. } => ExitCode::from(EXIT_SETTINGS),
            Self::Daemon { .. } | Self::System { .. } => ExitCode::from(EXIT_START),
        }
    }
}

fn main() -> ExitCode {
    let args = Coltsfootcrankd::from_env_or_exit();
    if args.version {
        eprintln!("coltsfootcrankd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootcrankd: {error}");
            error.exit_code()
        }
    }
}

fn run(args: &Coltsfootcrankd) -> Result<(), MainError> {
    let settings = DaemonSettings::from_args(args, |name| env::var(name).ok())?;
    if args.check {
        return Ok(());
    }
    let level = env::var("COLTSFOOTCRANK_LOG").unwrap_or_else(|_| "info".to_owned());
    let _log = logging::start(&level).map_err(std::io::Error::other).map_err(system)?;
    let runtime = tokio::runtime::Runtime::new().map_err(system)?;
    runtime.block_on(serve(&settings))
}

async fn serve(settings: &DaemonSettings) -> Result<(), MainError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(system)?;
    let node = DaemonNode::spawn(settings).await?;
    eprintln!("callers {}", node.caller_address());
    eprintln!("announce {}", node.announce_address());
    eprintln!("operators {}", node.operator_address());
    eprintln!("platform {}", node.platform_address());
    eprintln!("fleet {}", node.fleet_address());
    tokio::select! {
        _ = terminate.recv() => (),
        () = node.drain_asked() => (),
    }
    node.stop().await;
    Ok(())
}

fn system(source: std::io::Error) -> MainError {
    MainError::System { source }
}
