//! Framing of records: length, checksum of the length, checksum of the payload, payload.

/// Bytes before each payload.
pub const HEADER: usize = 12;

/// What stands at one position of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// A whole record and the position after it.
    Whole(&'a [u8], usize),
    /// The file ends here.
    End,
    /// The last write did not finish: the file ends within a record whose length is sound.
    Torn,
    /// Bytes that were once sound and are no longer.
    Damaged,
}

/// Appends one framed record to `bytes`.
///
/// # Panics
/// When the payload exceeds 4 GiB.
pub fn push(bytes: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("a record stays below 4 GiB").to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
}

/// Reads the record at `at`.
///
/// Note: a whole record with a wrong checksum is damage even at the very end. It may have been
/// acknowledged, and cutting it off would make a voter forget.
pub fn read(bytes: &[u8], at: usize) -> Frame<'_> {
    let rest = &bytes[at..];
    if rest.is_empty() {
        return Frame::End;
    }
    // File systems may extend a file before they write its content: zeros alone are an unfinished write.
    if rest.len() < HEADER || rest.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let word = |from: usize| [rest[from], rest[from + 1], rest[from + 2], rest[from + 3]];
    if crc32fast::hash(&word(0)) != u32::from_le_bytes(word(4)) {
        return Frame::Damaged;
    }
    let length = u32::from_le_bytes(word(0)) as usize;
    let Some(payload) = rest.get(HEADER..HEADER + length) else { return Frame::Torn };
    if crc32fast::hash(payload) != u32::from_le_bytes(word(8)) {
        return Frame::Damaged;
    }
    Frame::Whole(payload, at + HEADER + length)
}
