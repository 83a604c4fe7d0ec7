//! How the lines of a head end.
//!
//! The HTTP library takes a line feed alone for the end of a line, and two of them for the end of the head
//! (RFC 9112, section 2.2, allows that). A head with a line feed gone astray then ends too early, and its last fields
//! become the body.

use std::ops::Range;

use crate::head::HeadFault;

/// Where the digits of the status stand in a status line: after "HTTP/1.1 ".
const STATUS_DIGITS: Range<usize> = 9..12;

/// The status after which another protocol follows, and no other head.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Where in a head a reader of its bytes is.
#[derive(Clone, Copy, Debug, Default)]
struct HeadPlace {
    /// Whether the status line has ended.
    past_status: bool,
    /// The digits of the status that have come.
    status: u16,
    /// How many bytes of the present line have come, without its end.
    length: usize,
    /// Whether the last of them was a carriage return.
    returned: bool,
}

/// Follows the bytes of one answer up to the end of its head. Interim heads before it are among them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadLines {
    place: HeadPlace,
    ended: bool,
}

impl HeadLines {
    /// Reads on. What comes behind the end of the head is not looked at.
    ///
    /// # Errors
    ///
    /// Fails at a line end that is not a carriage return and a line feed, and at an empty line before the status.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        for &byte in bytes {
            if self.ended {
                break;
            }
            self.read_byte(byte)?;
        }
        Ok(())
    }

    /// Tells whether the head of the answer has come, whole.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    fn read_byte(&mut self, byte: u8) -> Result<(), HeadFault> {
        let place = &mut self.place;
        match (byte, place.returned) {
            (b'\n', true) => self.end_line(),
            (b'\n', false) | (_, true) => Err(HeadFault::LineEnd),
            (b'\r', false) => {
                place.returned = true;
                Ok(())
            }
            (byte, false) => {
                if !place.past_status && STATUS_DIGITS.contains(&place.length) {
                    place.status = place.status * 10 + u16::from(byte.wrapping_sub(b'0'));
                }
                place.length += 1;
                Ok(())
            }
        }
    }

    fn end_line(&mut self) -> Result<(), HeadFault> {
        let ended = std::mem::take(&mut self.place);
        if ended.length > 0 {
            self.place = HeadPlace { past_status: true, status: ended.status, ..self.place };
            return Ok(());
        }
        if !ended.past_status {
            return Err(HeadFault::LineEnd);
        }
        let interim = (100..200).contains(&ended.status) && ended.status != SWITCHING_PROTOCOLS;
        self.ended = !interim;
        Ok(())
    }
}
