//! Messages between VMs about evacuated failure domains.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bincode::{Decode, Encode};

use crate::document::Version;
use crate::wire::{decode_within, encode};

/// Maximum length of the name of a failure domain, as in the records of leaves, so that several facts fit in
/// one datagram.
pub const MAX_DOMAIN_BYTES: usize = 256;

/// Maximum size of the evacuations of a catalog response in memory: those of 64 domains take less than half.
const MAX_DECODED_BYTES: usize = 65_536;

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

/// Encodes evacuations as the text of a header; `None` if there are none.
pub fn encode_header(evacuations: &[Evacuation]) -> Option<String> {
    if evacuations.is_empty() {
        return None;
    }
    let bytes = encode(&evacuations.to_vec()).ok()?;
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
/// assert_eq!(decode_header("?"), None);
/// ```
pub fn decode_header(text: &str) -> Option<Vec<Evacuation>> {
    let bytes = BASE64_STANDARD_NO_PAD.decode(text).ok()?;
    decode_within::<MAX_DECODED_BYTES, _>(&bytes).ok()
}
