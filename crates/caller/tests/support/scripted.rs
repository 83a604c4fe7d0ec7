//! An upstream whose answers are bytes that a test gives.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::any_port;

/// The header by which requests are named, as [`super::copies::headers`] has it.
const ID_LINE: &str = "x-id: ";

/// What stands for the request's own identifier in the bytes of an answer.
const ID_MARK: &str = "{id}";

/// How long the bytes of an answer have before its connection is reset, which may overtake them.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    Close,
    Reset,
    Stay,
}

#[derive(Debug)]
struct ScriptedState {
    answer: Mutex<Arc<[u8]>>,
    end: AnswerEnd,
    open: AtomicUsize,
    requests: AtomicUsize,
    /// How many requests are still answered well.
    whole_left: AtomicUsize,
}

/// An upstream that answers some requests well and each later one with the same bytes.
#[derive(Clone, Debug)]
pub struct ScriptedUpstream {
    address: SocketAddr,
    state: Arc<ScriptedState>,
}

impl ScriptedUpstream {
    /// Spawns one that answers `whole` requests well before it answers so. `{id}` stands for a request's identifier.
    pub async fn spawn(whole: usize, answer: &[u8], end: AnswerEnd) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ScriptedState {
            answer: Mutex::new(answer.into()),
            end,
            open: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            whole_left: AtomicUsize::new(whole),
        });
        let held = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = held.clone();
                tokio::spawn(async move {
                    state.open.fetch_add(1, Ordering::SeqCst);
                    // The other end may close the connection at any time.
                    let _ = serve(stream, &state).await;
                    state.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, state }
    }

    /// Answers so from now on, after some requests that are answered well.
    pub fn set_answer(&self, whole: usize, answer: &[u8]) {
        *self.state.answer.lock().unwrap() = answer.into();
        self.state.whole_left.store(whole, Ordering::SeqCst);
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// How many requests have been read.
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, state: &ScriptedState) -> std::io::Result<()> {
    let order = Ordering::SeqCst;
    loop {
        let id = read_request(&mut stream).await?;
        state.requests.fetch_add(1, order);
        if state.whole_left.fetch_update(order, order, |left| left.checked_sub(1)).is_ok() {
            let good =
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nwell";
            stream.write_all(&named(good.as_bytes(), &id)).await?;
            continue;
        }
        let answer = state.answer.lock().unwrap().clone();
        stream.write_all(&named(&answer, &id)).await?;
        match state.end {
            AnswerEnd::Stay => (),
            AnswerEnd::Close => return Ok(()),
            AnswerEnd::Reset => {
                sleep(RESET_DELAY).await;
                return stream.set_zero_linger();
            }
        }
    }
}

/// Puts a request's identifier into the bytes of an answer.
fn named(answer: &[u8], id: &str) -> Vec<u8> {
    let Some(at) = answer.windows(ID_MARK.len()).position(|part| part == ID_MARK.as_bytes()) else {
        return answer.to_vec();
    };
    [&answer[..at], id.as_bytes(), &answer[at + ID_MARK.len()..]].concat()
}

/// Reads a request without a body and returns its identifier.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head.lines().find_map(|line| line.strip_prefix(ID_LINE));
    Ok(id.unwrap_or_default().to_owned())
}
