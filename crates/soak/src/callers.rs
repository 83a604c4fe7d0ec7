//! Calls, and which service ran them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use futures::future::join_all;
use model::call::{KEY_HEADER, OUTCOME_HEADER};
use standin::{
    call::{call, request},
    upstream::UpstreamStandin,
};
use tokio::time::timeout;
use uuid::Uuid;

/// How long a caller waits.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// What was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokenPromise {
    /// An upstream ran a call for another service.
    WrongService {
        /// The call's key.
        key: String,
        /// The service that was called.
        called: String,
        /// The service that ran it.
        ran: String,
    },
    /// A call that must not run twice ran more than once.
    RanAgain {
        /// The call's key.
        key: String,
        /// How often it ran.
        count: u32,
    },
    /// A call ran of which its caller was told that it had not.
    ToldNotRun {
        /// The call's key.
        key: String,
    },
    /// A caller got for a whole answer what its upstream had not sent as one.
    BrokenAnswer {
        /// The call's key.
        key: String,
        /// The status that it got.
        status: u16,
    },
    /// An upstream ran a call that nobody sent.
    Unasked {
        /// The call's key.
        key: String,
    },
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongService { key, called, ran } => {
                write!(f, "a call for {called} ran at an upstream of {ran} (key {key})")
            }
            Self::ToldNotRun { key } => {
                write!(f, "a call ran that its caller was told had not (key {key})")
            }
            Self::BrokenAnswer { key, status } => {
                write!(f, "a caller got a broken answer of status {status} as whole (key {key})")
            }
            Self::RanAgain { key, count } => write!(f, "a call ran {count} times (key {key})"),
            Self::Unasked { key } => write!(f, "a call ran that nobody sent (key {key})"),
        }
    }
}

/// What a caller was told.
struct ToldEnd {
    key: String,
    /// The status of its answer. 0: none came.
    status: u16,
    not_run: bool,
    /// Whether it is an answer that was never sent as whole.
    broken: bool,
}

async fn send_one(callers: SocketAddr, service: String, key: String) -> ToldEnd {
    let sending =
        call(callers, request("POST", &format!("/{service}"), &[(KEY_HEADER, &key)], b""));
    match timeout(CALL_LIMIT, sending).await {
        Ok(Ok(answer)) => {
            let not_run = answer.header(OUTCOME_HEADER) == "not-run";
            let (status, text) = (answer.status.as_u16(), String::from_utf8_lossy(&answer.body));
            let broken = !is_whole(status, &text, &service);
            ToldEnd { key, status, not_run, broken }
        }
        Ok(Err(_)) | Err(_) => ToldEnd { key, status: 0, not_run: false, broken: false },
    }
}

/// Tells whether an answer is the fleet's, or one that an upstream of the service has sent as whole.
pub fn is_whole(status: u16, text: &str, service: &str) -> bool {
    let upstream = text.strip_suffix(&format!(" /{service} 0"));
    let own = upstream.is_some_and(|upstream| {
        upstream.starts_with(&format!("{service}-")) && !upstream.contains(char::is_whitespace)
    });
    match status {
        200..=299 => own,
        status => (300..600).contains(&status),
    }
}

/// The calls that were sent, by their keys.
#[derive(Debug, Default)]
pub struct SentCalls {
    services: HashMap<String, String>,
    told_not_run: HashSet<String>,
    broken: Vec<BrokenPromise>,
    /// How many calls were answered, by status. 0: none came.
    pub answers: BTreeMap<u16, u32>,
}

impl SentCalls {
    /// Sends a call that must not run twice through a VM, and waits for its answer.
    pub async fn send(&mut self, callers: SocketAddr, service: &str) {
        self.send_together(callers, [service.to_owned()]).await;
    }

    /// Sends calls at the same moment, and waits for their answers.
    pub async fn send_together(
        &mut self,
        callers: SocketAddr,
        services: impl IntoIterator<Item = String>,
    ) {
        let mut sending = Vec::new();
        for service in services {
            let key = Uuid::now_v7().to_string();
            self.record(&key, &service);
            sending.push(send_one(callers, service, key));
        }
        for told in join_all(sending).await {
            *self.answers.entry(told.status).or_default() += 1;
            if told.broken {
                let ToldEnd { key, status, .. } = &told;
                self.broken.push(BrokenPromise::BrokenAnswer { key: key.clone(), status: *status });
            }
            if told.not_run {
                self.record_not_run(&told.key);
            }
        }
    }

    /// Notes a call that is about to be sent.
    pub fn record(&mut self, key: &str, service: &str) {
        self.services.insert(key.to_owned(), service.to_owned());
    }

    /// Notes a call whose caller was told that it had not run.
    pub fn record_not_run(&mut self, key: &str) {
        self.told_not_run.insert(key.to_owned());
    }

    /// Returns how many calls were sent.
    pub fn count(&self) -> usize {
        self.services.len()
    }

    /// Holds what upstreams ran against what was sent.
    pub fn check(&self, upstreams: &[UpstreamStandin]) -> Vec<BrokenPromise> {
        let runs = upstreams.iter().flat_map(|upstream| {
            let service = upstream.settings().service.as_str().to_owned();
            let runs = upstream.runs_by_key().into_iter();
            runs.map(move |(key, count)| (service.clone(), key, count))
        });
        self.check_runs(runs)
    }

    /// Does the same with the service, the key and the count of each run.
    pub fn check_runs(
        &self,
        runs: impl IntoIterator<Item = (String, String, u32)>,
    ) -> Vec<BrokenPromise> {
        let (mut broken, mut counts) = (self.broken.clone(), BTreeMap::<String, u32>::new());
        for (ran, key, count) in runs {
            *counts.entry(key.clone()).or_default() += count;
            if self.told_not_run.contains(&key) {
                broken.push(BrokenPromise::ToldNotRun { key: key.clone() });
            }
            match self.services.get(&key) {
                None => broken.push(BrokenPromise::Unasked { key }),
                Some(called) if *called != ran => {
                    let called = called.clone();
                    broken.push(BrokenPromise::WrongService { key, called, ran });
                }
                Some(_) => (),
            }
        }
        let again = counts.into_iter().filter(|(_, count)| *count > 1);
        broken.extend(again.map(|(key, count)| BrokenPromise::RanAgain { key, count }));
        broken
    }
}
