//! Record framing: payload length, CRC-32 of the length, CRC-32 of the payload, payload.
//!
//! Integers are little-endian `u32`.

/// Size of the header before each payload, in bytes.
pub const HEADER_LENGTH: usize = 12;

/// The result of reading a frame at an offset.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// The payload of a complete frame and the offset after the frame.
    Complete(&'a [u8], usize),
    /// The offset is at the end of the file.
    End,
    /// An incomplete last write: the rest of the file is all zeros or shorter than one frame.
    Torn,
    /// A checksum does not match.
    Corrupt,
}

/// Appends a frame with `payload` to `bytes`.
///
/// # Panics
/// If the payload is 4 GiB or larger.
pub fn push(bytes: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("a record is smaller than 4 GiB").to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
}

/// Reads the frame at `offset`.
///
/// A complete frame with a wrong checksum is corrupt even at the end of the file: the record may
/// have been acknowledged, so a voter must not truncate it.
pub fn read(bytes: &[u8], offset: usize) -> Frame<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    // A file system may extend a file before it writes the content, which leaves a tail of zeros.
    if rest.len() < HEADER_LENGTH || rest.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let header_field = |from: usize| [rest[from], rest[from + 1], rest[from + 2], rest[from + 3]];
    if crc32fast::hash(&header_field(0)) != u32::from_le_bytes(header_field(4)) {
        return Frame::Corrupt;
    }
    let length = u32::from_le_bytes(header_field(0)) as usize;
    let Some(payload) = rest.get(HEADER_LENGTH..HEADER_LENGTH + length) else { return Frame::Torn };
    if crc32fast::hash(payload) != u32::from_le_bytes(header_field(8)) {
        return Frame::Corrupt;
    }
    Frame::Complete(payload, offset + HEADER_LENGTH + length)
}
