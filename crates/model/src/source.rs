//! The document that a configuration was read from, held in packed pieces.
//!
//! Load: an operator's tool sends its whole document for each change, 19 MB of it at 93,000 routes, 20,000 times a day,
//! and reads it back as it was sent. A document is cut where its content says (content-defined chunking), so a
//! change moves the pieces around it and no others, and a document is kept and sent as what it does not share with
//! the one before.

use std::{io, io::Read, io::Write, sync::Arc};

use derive::domain;
use fastcdc::v2020::FastCDC;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use imbl::Vector;
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// The sizes of pieces, in bytes: the least, the usual and the largest. All VMs must cut alike, so they never change.
const PIECE_BYTES: (u32, u32, u32) = (1_024, 4_096, 16_384);

/// One piece of a document.
#[domain]
pub struct SourcePiece {
    digest: u128,
    length: u32,
    packed: Box<[u8]>,
}

impl SourcePiece {
    fn new(digest: u128, text: &[u8]) -> Self {
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(text).expect("a list of bytes takes all");
        let packed = packer.finish().expect("a list of bytes takes all").into();
        Self { digest, length: u32::try_from(text.len()).unwrap_or(u32::MAX), packed }
    }

    fn unpack_into(&self, text: &mut Vec<u8>) -> io::Result<()> {
        let limit = u64::from(PIECE_BYTES.2);
        DeflateDecoder::new(self.packed.as_ref()).take(limit).read_to_end(text)?;
        Ok(())
    }

    /// Returns the bytes that it takes in a message, roughly.
    pub fn size(&self) -> usize {
        self.packed.len() + 24
    }
}

/// A step from one document to the next.
#[domain]
pub enum SourceStep {
    /// Goes on with pieces of the one before.
    Keep {
        /// The place of the first.
        first: u32,
        /// How many.
        count: u32,
    },
    /// Goes on with a new piece.
    Add(SourcePiece),
}

/// A document. A clone shares its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceText {
    pieces: Vector<Arc<SourcePiece>>,
}

/// Where the content says that pieces end.
fn cut(text: &[u8]) -> impl Iterator<Item = (u128, &[u8])> {
    let (least, usual, largest) = PIECE_BYTES;
    let cuts = FastCDC::new(text, least, usual, largest);
    cuts.map(|chunk| {
        let piece = &text[chunk.offset..chunk.offset + chunk.length];
        (xxh3_128(piece), piece)
    })
}

impl SourceText {
    /// Packs a document.
    pub fn from_text(text: &str) -> Self {
        Self::default().succeeded_by(text)
    }

    /// Packs the document that follows this one. What both share is shared, not packed again.
    #[must_use]
    pub fn succeeded_by(&self, text: &str) -> Self {
        let held: std::collections::HashMap<u128, &Arc<SourcePiece>> =
            self.pieces.iter().map(|piece| (piece.digest, piece)).collect();
        let piece = |(digest, text): (u128, &[u8])| match held.get(&digest) {
            Some(&piece) => piece.clone(),
            None => Arc::new(SourcePiece::new(digest, text)),
        };
        Self { pieces: cut(text.as_bytes()).map(piece).collect() }
    }

    /// Returns the document.
    ///
    /// # Errors
    ///
    /// Fails when a piece is damaged.
    pub fn to_text(&self) -> io::Result<String> {
        let length = self.pieces.iter().map(|piece| piece.length as usize).sum();
        let mut text = Vec::with_capacity(length);
        self.pieces.iter().try_for_each(|piece| piece.unpack_into(&mut text))?;
        String::from_utf8(text).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Returns a digest of the document.
    pub fn digest(&self) -> u128 {
        let mut digest = Xxh3::new();
        self.pieces.iter().for_each(|piece| digest.update(&piece.digest.to_le_bytes()));
        digest.digest128()
    }

    /// Lists the steps that lead to another document.
    pub fn steps_to(&self, next: &Self) -> Vec<SourceStep> {
        let places: std::collections::HashMap<u128, u32> =
            self.pieces.iter().map(|piece| piece.digest).zip(0..).collect();
        let mut steps = Vec::new();
        for piece in &next.pieces {
            let place = places.get(&piece.digest).copied();
            match (steps.last_mut(), place) {
                (Some(SourceStep::Keep { first, count }), Some(place))
                    if *first + *count == place =>
                {
                    *count += 1;
                }
                (_, Some(place)) => steps.push(SourceStep::Keep { first: place, count: 1 }),
                (_, None) => steps.push(SourceStep::Add(piece.as_ref().clone())),
            }
        }
        steps
    }

    /// Follows one step of a way from `base`. `None`: it does not lead on from there.
    #[must_use]
    pub fn with_step(mut self, base: &Self, step: SourceStep) -> Option<Self> {
        match step {
            SourceStep::Keep { first, count } => {
                let (first, count) = (first as usize, count as usize);
                let end = first.checked_add(count).filter(|&end| end <= base.pieces.len())?;
                self.pieces.append(base.pieces.clone().slice(first..end));
            }
            SourceStep::Add(piece) => self.pieces.push_back(Arc::new(piece)),
        }
        Some(self)
    }

    /// Returns how many pieces it has.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Tells whether it has none.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Lists pieces from a place on, at most of `limit` bytes together but one at least.
    pub fn page(&self, first: usize, limit: usize) -> Vec<SourcePiece> {
        let mut left = limit;
        let pieces = self.pieces.iter().skip(first).enumerate().take_while(|(number, piece)| {
            let fits = piece.size() <= left;
            left = left.saturating_sub(piece.size());
            fits || *number == 0
        });
        pieces.map(|(_, piece)| piece.as_ref().clone()).collect()
    }

    /// Adds pieces that follow on.
    pub fn extend(&mut self, pieces: Vec<SourcePiece>) {
        self.pieces.extend(pieces.into_iter().map(Arc::new));
    }
}
