//! What one VM takes from its callers.

use std::time::Duration;

/// Limits towards callers. They bound the memory that callers can take: at the most `calls` times
/// `repeat_bytes` for requests, as much for the beginnings of answers, and `large_bodies` times
/// `keyed_bytes`.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Connections at once. One more is answered with a refusal and closed.
    pub connections: usize,
    /// Calls at once, over all connections. One more is refused.
    pub calls: usize,
    /// Calls at once on one HTTP/2 connection.
    pub streams: u32,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Header lines of a request.
    pub headers: usize,
    /// Bytes up to which a request body is kept, so that the call can be repeated, and up to which
    /// an answer is waited for as a whole before it is passed on.
    pub repeat_bytes: usize,
    /// Bytes of a keyed call's body, which must be whole for its digest before anything is sent.
    pub keyed_bytes: usize,
    /// Keyed calls at once whose body is larger than `repeat_bytes`. One more is refused: without
    /// this bound, payments of the largest size could take `calls` times `keyed_bytes`.
    pub large_bodies: usize,
    /// Bytes of a body that streams through.
    pub stream_bytes: u64,
    /// How long a caller may take to send a head, and how long its connection may be idle.
    pub head_timeout: Duration,
    /// How long a caller may pause within a body.
    pub body_idle: Duration,
    /// How long a caller may take nothing of an answer.
    pub write_idle: Duration,
    /// How long the beginning of an answer is waited for after its head.
    pub answer_patience: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            calls: 4_096,
            streams: 64,
            header_bytes: 32 * 1_024,
            headers: 100,
            repeat_bytes: 64 * 1_024,
            keyed_bytes: 1_024 * 1_024,
            large_bodies: 64,
            stream_bytes: 1_024 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(10),
            body_idle: Duration::from_secs(10),
            write_idle: Duration::from_secs(30),
            answer_patience: Duration::from_millis(50),
        }
    }
}
