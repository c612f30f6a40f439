//! Messages between VMs about evacuated failure domains, and the text of headers of the catalog response.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bincode::{Decode, Encode};

use crate::document::Version;
use crate::wire::{decode_within, encode};

/// Maximum length of the name of a failure domain, as in the records of leaves, so that several facts fit in
/// one datagram.
pub const MAX_DOMAIN_BYTES: usize = 256;

/// Maximum size in memory of what a header of a catalog response has: 256 services or 64 domains with names of
/// the greatest length take less.
const MAX_DECODED_BYTES: usize = 131_072;

/// Whether a failure domain is evacuated as of a version of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Evacuation {
    /// Name of the failure domain.
    pub domain: Box<str>,
    /// Version of the store from which this is known.
    pub version: Version,
    /// Whether the domain is evacuated.
    pub is_active: bool,
}

impl Evacuation {
    /// Returns the precedence among the evacuations of a domain; the greater one is newer.
    ///
    /// A full read of the store is not one snapshot, so it may differ from a watch of the same version. The
    /// evacuation is in force then until the next version.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::document::Version;
    /// use cloverrack::gateway::evacuation::Evacuation;
    /// let started = Evacuation {
    ///     domain: "b".into(),
    ///     version: Version { epoch: 1, revision: 7 },
    ///     is_active: true,
    /// };
    /// let ended = Evacuation {
    ///     version: Version { epoch: 1, revision: 8 },
    ///     is_active: false,
    ///     ..started.clone()
    /// };
    /// assert!(ended.precedence() > started.precedence());
    /// ```
    pub fn precedence(&self) -> [u64; 3] {
        let Version { epoch, revision } = self.version;
        [epoch, revision, u64::from(self.is_active)]
    }
}

/// Encodes a message as the text of a header; `None` if it is too large.
pub fn encode_header<T: Encode>(message: &T) -> Option<String> {
    let bytes = encode(message).ok()?;
    Some(BASE64_STANDARD_NO_PAD.encode(bytes))
}

/// Decodes the text of a header; `None` if it is malformed.
///
/// # Examples
///
/// ```
/// use cloverrack::document::Version;
/// use cloverrack::gateway::evacuation::Evacuation;
/// use cloverrack::gateway::evacuation::message::{decode_header, encode_header};
/// let evacuations = vec![Evacuation {
///     domain: "b".into(),
///     version: Version { epoch: 1, revision: 7 },
///     is_active: true,
/// }];
/// let text = encode_header(&evacuations).unwrap_or_default();
/// assert_eq!(decode_header(&text), Some(evacuations));
/// assert_eq!(decode_header::<Vec<Evacuation>>("?"), None);
/// ```
pub fn decode_header<T: Decode<()>>(text: &str) -> Option<T> {
    let bytes = BASE64_STANDARD_NO_PAD.decode(text).ok()?;
    decode_within::<MAX_DECODED_BYTES, _>(&bytes).ok()
}
