//! Compression of large byte strings, such as documents with thousands of similar routes.

use thiserror::Error;

/// Byte strings shorter than this are left as they are.
const MIN_PACKED_BYTES: usize = 4 << 10;
/// Marks a packed byte string. No text in UTF-8 and no `MessagePack` value begins with this byte.
const MARKER: u8 = 0xc1;
/// Largest byte string that is unpacked.
const MAX_UNPACKED_BYTES: usize = 32 << 20;
/// Largest ratio of the format; a length that exceeds it is invalid.
const MAX_RATIO: usize = 255;
/// Length of the marker and of the unpacked length.
const HEADER_BYTES: usize = 5;

/// A packed byte string is invalid.
#[derive(Debug, Error)]
pub enum Error {
    /// It is shorter than its header, or names an impossible length.
    #[error("invalid header of packed data")]
    Header,
    /// Its content is damaged.
    #[error("invalid packed data: {0}")]
    Content(#[from] lz4_flex::block::DecompressError),
}

/// Returns the packed form of `bytes`, or `None` if they are better left as they are.
pub fn pack(bytes: &[u8]) -> Option<Vec<u8>> {
    let is_marked = is_packed(bytes);
    if bytes.len() < MIN_PACKED_BYTES && !is_marked {
        return None;
    }
    let length = u32::try_from(bytes.len()).ok()?;
    let compressed = lz4_flex::block::compress(bytes);
    if compressed.len() + HEADER_BYTES >= bytes.len() && !is_marked {
        return None;
    }
    let mut packed = Vec::with_capacity(compressed.len() + HEADER_BYTES);
    packed.push(MARKER);
    packed.extend_from_slice(&length.to_le_bytes());
    packed.extend_from_slice(&compressed);
    Some(packed)
}

/// Returns whether `bytes` are in packed form.
pub fn is_packed(bytes: &[u8]) -> bool {
    bytes.first() == Some(&MARKER)
}

/// Returns the byte string whose packed form is `packed`.
///
/// # Errors
/// Fails if the header or the content is damaged.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, Error> {
    let (header, compressed) = packed.split_at_checked(HEADER_BYTES).ok_or(Error::Header)?;
    let [MARKER, length @ ..] = header else { return Err(Error::Header) };
    let length = length.try_into().map(u32::from_le_bytes).map_err(|_| Error::Header)? as usize;
    if length > MAX_UNPACKED_BYTES || length > (compressed.len() + 1) * MAX_RATIO {
        return Err(Error::Header);
    }
    Ok(lz4_flex::block::decompress(compressed, length)?)
}
