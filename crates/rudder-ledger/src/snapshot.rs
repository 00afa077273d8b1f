//! Snapshots of the state machine, as bytes.

use crate::Ledger;

/// Why a snapshot could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The state cannot be encoded.
    #[error("cannot encode the snapshot: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are no snapshot.
    #[error("cannot decode the snapshot: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl Ledger {
    /// Encodes the whole state; costs time and memory in proportion to it.
    ///
    /// # Errors
    /// When encoding fails.
    pub fn try_to_bytes(&self) -> Result<Vec<u8>, Error> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes what [`Ledger::try_to_bytes`] wrote.
    ///
    /// # Errors
    /// When `bytes` are no snapshot.
    pub fn try_from_bytes(bytes: &[u8]) -> Result<Ledger, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
