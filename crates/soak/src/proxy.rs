//! A proxy before one VM, which can hold what others send it and deliver it late.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// For how long a connection stays open behind the proxy after its other end has gone, as where a cut hides the end.
const END_HIDDEN_FOR: Duration = Duration::from_secs(10);

/// Which connections are held: those opened in a span of time.
#[derive(Clone, Copy, Debug)]
struct HeldConnections {
    since: Instant,
    /// `None`: up to now.
    until: Option<Instant>,
}

impl HeldConnections {
    fn contains(&self, opened: Instant) -> bool {
        opened >= self.since && self.until.is_none_or(|until| opened < until)
    }
}

/// A proxy before one VM.
pub struct LateProxy {
    address: SocketAddr,
    held: watch::Sender<Option<HeldConnections>>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    late_bytes: Arc<AtomicU64>,
}

impl LateProxy {
    /// Listens on loopback. Connections are closed until there is a target.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no port.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (held, watched) = watch::channel(None);
        let target = Arc::<Mutex<Option<SocketAddr>>>::default();
        let late_bytes = Arc::<AtomicU64>::default();
        let (to, late) = (target.clone(), late_bytes.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = *to.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(target) = target else { continue };
                tokio::spawn(forward(stream, target, watched.clone(), late.clone()));
            }
        });
        Ok(Self { address, held, target, late_bytes })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to this address.
    pub fn forward_to(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Holds what comes on connections that were opened since a moment.
    pub fn hold_since(&self, opened: Instant) {
        self.held.send_replace(Some(HeldConnections { since: opened, until: None }));
    }

    /// Lets connections pass that are opened from now on. Those that are held stay so.
    pub fn let_new_pass(&self) {
        self.held.send_modify(|held| {
            if let Some(held) = held {
                held.until = Some(Instant::now());
            }
        });
    }

    /// Delivers what is held.
    pub fn deliver(&self) {
        self.held.send_replace(None);
    }

    /// Returns how many bytes were delivered late.
    pub fn late_bytes(&self) -> u64 {
        self.late_bytes.load(Ordering::Relaxed)
    }
}

async fn forward(
    stream: TcpStream,
    target: SocketAddr,
    held: watch::Receiver<Option<HeldConnections>>,
    late_bytes: Arc<AtomicU64>,
) {
    let opened = Instant::now();
    let Ok(behind) = TcpStream::connect(target).await else { return };
    // Small messages go on at once, as without the proxy.
    let _ = (stream.set_nodelay(true), behind.set_nodelay(true));
    let (from, mut back) = stream.into_split();
    let (mut answers, to) = behind.into_split();
    let backward = async {
        // An end on either side ends this direction.
        let _ = copy(&mut answers, &mut back).await;
    };
    tokio::join!(deliver(from, to, opened, held, late_bytes), backward);
}

/// Passes bytes on, those that are held once they are no more, also where their sender has gone meanwhile.
async fn deliver(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    opened: Instant,
    mut held: watch::Receiver<Option<HeldConnections>>,
    late_bytes: Arc<AtomicU64>,
) {
    let is_held = |held: &Option<HeldConnections>| held.is_some_and(|held| held.contains(opened));
    let mut buffer = vec![0; 64 * 1_024];
    let mut was_held = false;
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let late = is_held(&held.borrow());
        was_held |= late;
        if held.wait_for(|held| !is_held(held)).await.is_err() {
            return;
        }
        if read == 0 {
            break;
        }
        if late {
            late_bytes.fetch_add(read as u64, Ordering::Relaxed);
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    if was_held {
        sleep(END_HIDDEN_FOR).await;
    }
}
