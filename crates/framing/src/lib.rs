//! Decides whether the head of an answer is sound, before anything of the answer is used.
//!
//! An HTTP client may be lenient with a head: what it makes of the body is its own matter. A proxy writes a head of its
//! own before the body that it read, and says there that this is the whole of it. So it takes only a head that
//! says in one way where the body ends.
//!
//! - [`head`]: what the fields of a head say;
//! - [`lines`]: how the lines of a head end, which can be seen in its bytes alone;
//! - [`stream`]: a connection on which each answer's bytes are watched.

pub mod head;
pub mod lines;
pub mod stream;
