//! One upstream stand-in as a process of its own, for trying the fleet out by hand:
//! `upstream SERVICE NAME ANNOUNCE SECRET-FILE`.
//!
//! Announces itself to the port given, with 4 slots, answers each call after 5 ms and ends when it
//! is told to, after announcing that it leaves.

use std::{env, error::Error, fs, process::ExitCode, time::Duration};

use standin::upstream::{StandinSettings, UpstreamStandin};
use tokio::signal::unix::{SignalKind, signal};

/// How long it goes on answering after it announced that it leaves.
const LEAVING: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let [service, name, announce, secret] = args.as_slice() else {
        eprintln!("usage: upstream SERVICE NAME ANNOUNCE-IP:PORT SECRET-FILE");
        return ExitCode::from(2);
    };
    match run(service, name, announce, secret) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("upstream: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(
    service: &str,
    name: &str,
    announce: &str,
    secret: &str,
) -> Result<(), Box<dyn Error>> {
    let settings = StandinSettings {
        service: service.parse()?,
        upstream: name.parse()?,
        domain: "local".parse()?,
        slots: 4,
        connections: 400,
        takes: Duration::from_millis(5),
        announce: vec![announce.parse()?],
        secret: fs::read_to_string(secret)?.trim().to_owned(),
        seed: 0,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let upstream = UpstreamStandin::spawn(settings).await?;
    eprintln!("{service}/{name} answers on {}", upstream.address());
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    upstream.leave().await?;
    tokio::time::sleep(LEAVING).await;
    Ok(())
}
