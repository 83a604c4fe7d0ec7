//! Bodies of some size.

use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use super::wire::TestBody;

pub const MEGABYTE: usize = 1_024 * 1_024;

/// Makes a body that comes in frames of a megabyte.
pub fn megabytes(count: usize) -> TestBody {
    let chunk = Bytes::from(vec![7; MEGABYTE]);
    let frames = stream::iter((0..count).map(move |_| Ok(Frame::data(chunk.clone()))));
    StreamBody::new(frames).boxed_unsync()
}
