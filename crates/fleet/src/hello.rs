//! The hello that opens each connection between two VMs, before any other message.
//!
//! Failure: a stray or hostile process connects to the fleet's port. Symptom without a guard: it
//! could announce members, draw grants or close claims. Each end sends a fresh nonce and proves by
//! an HMAC over both nonces that it knows the fleet's secret. A recorded hello is of no use later,
//! since the other end's nonce is new each time; the role in the HMAC keeps an answer from being
//! sent back as a proof. The secret itself never travels. The bytes after the hello are neither
//! encrypted nor signed: the network between the VMs must keep others from changing them.

use std::{io, time::Duration};

use crate::wire::WIRE_VERSION;
use derive::domain;
use hmac::{Hmac, Mac};
use model::secret::SharedSecret;
use rand::{TryRngCore, rngs::OsRng};
use serde::{Serialize, de::DeserializeOwned};
use sha2::Sha256;
use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// How long a hello may take in all.
pub const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest message of a hello, in bytes: an unproved peer may make us hold no more.
pub const HELLO_LIMIT: usize = 128;

/// Why a connection was closed before its first message.
#[derive(Debug, Snafu)]
pub enum HelloError {
    /// The peer speaks another version.
    #[snafu(display("the peer speaks version {theirs} of the messages, this VM {WIRE_VERSION}"))]
    Version {
        /// The peer's version.
        theirs: u32,
    },
    /// The peer does not know the secret.
    #[snafu(display("the peer did not prove the fleet's secret; give each VM the same one"))]
    Proof,
    /// The peer sent something else than a hello.
    #[snafu(display("the peer sent no hello"))]
    Malformed,
    /// The hello was not finished in time.
    #[snafu(display("the hello took longer than {HELLO_TIMEOUT:?}"))]
    Late,
    /// The connection broke.
    #[snafu(display("the connection broke during the hello: {source}"))]
    Broken {
        /// What the system said.
        source: io::Error,
    },
}

/// What either end draws anew for each connection.
pub type HelloNonce = [u8; 32];

/// The opening end's first message.
#[domain]
pub struct HelloOpen {
    /// The version of the messages that it speaks.
    pub version: u32,
    /// Its nonce.
    pub nonce: HelloNonce,
}

/// The answering end's message.
#[domain]
pub struct HelloAnswer {
    /// The version of the messages that it speaks.
    pub version: u32,
    /// Its nonce.
    pub nonce: HelloNonce,
    /// Its proof.
    pub proof: [u8; 32],
}

/// The opening end's second message.
#[domain]
pub struct HelloProof {
    /// Its proof.
    pub proof: [u8; 32],
}

/// Which end proves itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelloRole {
    /// The end that opened the connection.
    Opener,
    /// The end that accepted it.
    Answerer,
}

/// Returns the proof of one end over both nonces.
///
/// # Panics
///
/// Never: HMAC takes keys of each length.
pub fn prove(
    secret: &SharedSecret,
    role: HelloRole,
    opener: &HelloNonce,
    answerer: &HelloNonce,
) -> [u8; 32] {
    let label: &[u8] = match role {
        HelloRole::Opener => b"coltsfootcrank opener",
        HelloRole::Answerer => b"coltsfootcrank answerer",
    };
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length will do");
    mac.update(label);
    mac.update(&WIRE_VERSION.to_le_bytes());
    mac.update(opener);
    mac.update(answerer);
    mac.finalize().into_bytes().into()
}

fn check(given: &[u8; 32], right: &[u8; 32]) -> Result<(), HelloError> {
    ensure!(bool::from(given.ct_eq(right)), ProofSnafu);
    Ok(())
}

fn check_version(theirs: u32) -> Result<(), HelloError> {
    ensure!(theirs == WIRE_VERSION, VersionSnafu { theirs });
    Ok(())
}

/// Greets as the end that opened the connection.
///
/// # Errors
///
/// Fails when the peer does not prove the secret in time; the connection must be closed then.
pub async fn open<S>(stream: &mut S, secret: &SharedSecret) -> Result<(), HelloError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let greeting = async {
        let nonce = draw_nonce()?;
        send(stream, &HelloOpen { version: WIRE_VERSION, nonce }).await?;
        let answer: HelloAnswer = receive(stream).await?;
        check_version(answer.version)?;
        check(&answer.proof, &prove(secret, HelloRole::Answerer, &nonce, &answer.nonce))?;
        let proof = prove(secret, HelloRole::Opener, &nonce, &answer.nonce);
        send(stream, &HelloProof { proof }).await
    };
    timeout(HELLO_TIMEOUT, greeting).await.map_err(|_| HelloError::Late)?
}

/// Greets as the end that accepted the connection.
///
/// # Errors
///
/// Fails when the peer does not prove the secret in time; the connection must be closed then.
pub async fn accept<S>(stream: &mut S, secret: &SharedSecret) -> Result<(), HelloError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let greeting = async {
        let open: HelloOpen = receive(stream).await?;
        check_version(open.version)?;
        let nonce = draw_nonce()?;
        let proof = prove(secret, HelloRole::Answerer, &open.nonce, &nonce);
        send(stream, &HelloAnswer { version: WIRE_VERSION, nonce, proof }).await?;
        let given: HelloProof = receive(stream).await?;
        check(&given.proof, &prove(secret, HelloRole::Opener, &open.nonce, &nonce))
    };
    timeout(HELLO_TIMEOUT, greeting).await.map_err(|_| HelloError::Late)?
}

fn draw_nonce() -> Result<HelloNonce, HelloError> {
    let mut nonce = [0; 32];
    OsRng.try_fill_bytes(&mut nonce).map_err(io::Error::other).context(BrokenSnafu)?;
    Ok(nonce)
}

async fn send<S, T>(stream: &mut S, message: &T) -> Result<(), HelloError>
where
    S: AsyncWrite + Unpin,
    T: Serialize,
{
    let body = postcard::to_stdvec(message).map_err(|_| HelloError::Malformed)?;
    let length = u16::try_from(body.len()).map_err(|_| HelloError::Malformed)?;
    stream.write_u16(length).await.context(BrokenSnafu)?;
    stream.write_all(&body).await.context(BrokenSnafu)?;
    stream.flush().await.context(BrokenSnafu)
}

/// Reads no byte beyond the message: what follows belongs to the messages after the hello.
async fn receive<S, T>(stream: &mut S) -> Result<T, HelloError>
where
    S: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let length = usize::from(stream.read_u16().await.context(BrokenSnafu)?);
    ensure!(length <= HELLO_LIMIT, MalformedSnafu);
    let mut body = [0; HELLO_LIMIT];
    stream.read_exact(&mut body[..length]).await.context(BrokenSnafu)?;
    postcard::from_bytes(&body[..length]).map_err(|_| HelloError::Malformed)
}
