//! An upstream that hands out an answer a second time, late: when the next request is at work.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http::HeaderName;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};
use upstream::headers::CallHeaders;

use super::any_port;

/// How long it works on a call, in which a copy is read and acted on.
const WORK: Duration = Duration::from_millis(100);

/// Which answer is handed out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiedAnswer {
    /// "I am another upstream", without the request's identifier.
    Misdirected,
    /// "I am full", with the request's identifier.
    Full,
    /// A good answer.
    Good,
}

/// On which connection the copy comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyPlace {
    /// On the one on which the answer came.
    Same,
    /// On whichever has the next request.
    Any,
}

/// The headers that these upstreams speak.
pub fn headers() -> CallHeaders {
    CallHeaders {
        request_id: Some(HeaderName::from_static("x-id")),
        signature: Some(HeaderName::from_static("x-signed")),
        meant_for: Some(HeaderName::from_static("x-meant-for")),
        not_run: Some(HeaderName::from_static("x-not-run")),
        leaving: Some(HeaderName::from_static("x-leaving")),
        ..CallHeaders::default()
    }
}

/// A running upstream.
#[derive(Clone)]
pub struct CopyingUpstream {
    pub address: SocketAddr,
    copied: CopiedAnswer,
    place: CopyPlace,
    /// How many requests it still answers so, before it runs the others.
    left: Arc<AtomicU32>,
    /// Who it is, where it refuses what is meant for another.
    name: watch::Sender<Option<&'static str>>,
    /// What is handed out once more, on any connection.
    owed: Arc<Mutex<Option<String>>>,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl CopyingUpstream {
    pub async fn spawn(copied: CopiedAnswer, place: CopyPlace) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (left, name) = (Arc::default(), watch::Sender::default());
        let (owed, runs) = (Arc::default(), Arc::default());
        let upstream = Self { address, copied, place, left, name, owed, runs };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        upstream
    }

    /// Answers the next request so, and hands that answer out once more.
    pub fn copy_next(&self) {
        self.left.store(1, Ordering::SeqCst);
    }

    /// Starts anew as this upstream: refuses what is meant for another one, and hands each refusal out once more.
    pub fn restart_as(&self, name: &'static str) {
        self.name.send_replace(Some(name));
    }

    fn is_misdirected(&self, head: &str) -> bool {
        let meant_for = head.lines().find_map(|line| line.strip_prefix("x-meant-for: "));
        self.name.borrow().is_some_and(|name| meant_for != Some(name))
    }

    /// Hands this out while the next request is at work.
    pub fn owe(&self, answer: &str) {
        *self.owed.lock().unwrap() = Some(answer.to_owned());
    }

    /// Returns how often each request ran, by its identifier.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap().clone()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut owed = None;
        let mut request = vec![0; 16 * 1_024];
        let mut life = self.name.subscribe();
        loop {
            let length = tokio::select! {
                read = stream.read(&mut request) => read.unwrap_or(0),
                _ = life.changed() => 0,
            };
            if length == 0 {
                return;
            }
            let head = String::from_utf8_lossy(&request[..length]).to_ascii_lowercase();
            let id = head.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or("");
            let before = match self.place {
                CopyPlace::Same => owed.take(),
                CopyPlace::Any => self.owed.lock().unwrap().take(),
            };
            let counted = |left: u32| left.checked_sub(1);
            let copies = self.is_misdirected(&head)
                || self.left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, counted).is_ok();
            let answer = if copies {
                self.copied_answer(id)
            } else {
                *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                good(id)
            };
            if let Some(copy) = before {
                stream.write_all(copy.as_bytes()).await.unwrap();
                sleep(WORK).await;
            }
            if copies {
                match self.place {
                    CopyPlace::Same => owed = Some(answer.clone()),
                    CopyPlace::Any => *self.owed.lock().unwrap() = Some(answer.clone()),
                }
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn copied_answer(&self, id: &str) -> String {
        match self.copied {
            CopiedAnswer::Misdirected => {
                "HTTP/1.1 421 Other\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            CopiedAnswer::Full => format!(
                "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            ),
            CopiedAnswer::Good => {
                *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                good(id)
            }
        }
    }
}

/// Makes the answer to a request that ran. One without an identifier gets none.
fn good(id: &str) -> String {
    let body = format!("ran {id}");
    let length = body.len();
    let echo = if id.is_empty() { String::new() } else { format!("x-id: {id}\r\n") };
    format!("HTTP/1.1 200 OK\r\n{echo}x-signed: 1\r\ncontent-length: {length}\r\n\r\n{body}")
}
