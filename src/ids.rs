//! Identifiers used to handle a request: arena keys, process incarnations, call IDs, snapshots and
//! content fingerprints.
//!
//! Incarnations distinguish a restarted process from its predecessor at the same address, and call
//! IDs are unique across restarts, so a late reply is never matched with a newer call.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// Creates the key of the arena entry at `index`.
            pub fn new(index: usize) -> Self {
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            /// Returns the index into the arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// Key of a VM in a [`Fleet`](crate::Fleet).
    VmKey
);
arena_key!(
    /// Key of a service in a [`Fleet`](crate::Fleet).
    ServiceKey
);
arena_key!(
    /// Key of a leaf in a [`Fleet`](crate::Fleet).
    LeafKey
);

/// Identifies one run of a process by its start time and random bits.
///
/// A process that replaces another at the same address has a different incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Incarnation(u64);

/// Number of random low-order bits in an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Creates an incarnation from a start time and a random number.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::Incarnation;
    /// assert!(Incarnation::new(2, 0) > Incarnation::new(1, u32::MAX));
    /// ```
    pub fn new(start_unix_ms: u64, random: u32) -> Self {
        let low = u64::from(random) & ((1 << INCARNATION_RANDOM_BITS) - 1);
        Self((start_unix_ms << INCARNATION_RANDOM_BITS) | low)
    }

    /// Returns the start time in milliseconds since the Unix epoch.
    pub fn start_unix_ms(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }

    /// Returns the raw bits, which sort in the same order as the incarnations.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Parses the hexadecimal form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 16 {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Unique ID of one leaf call: the incarnation of the issuing process and a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Encode, Decode)]
pub struct CallId {
    /// Process that issued the call.
    pub incarnation: Incarnation,
    /// Sequence number within that process.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.sequence)
    }
}

/// Generates the call IDs of one process.
#[derive(Debug)]
pub struct CallIdGenerator {
    incarnation: Incarnation,
    next_sequence: AtomicU64,
}

impl CallIdGenerator {
    /// Creates a generator for the process `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next_sequence: AtomicU64::new(1),
        }
    }

    /// Returns an ID that was never returned before.
    pub fn next_id(&self) -> CallId {
        CallId {
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Index version together with the shard layout that it was built for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Snapshot {
    /// Index version, increasing within a service.
    pub version: u64,
    /// Layout ID, as declared in the configuration file.
    pub layout: u32,
}

impl Snapshot {
    /// Parses the `version.layout` form that `Display` writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::Snapshot;
    /// let snapshot = Snapshot { version: 7, layout: 1 };
    /// assert_eq!(Snapshot::parse("7.1"), Some(snapshot));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (version, layout) = text.split_once('.')?;
        Some(Self {
            version: version.parse().ok()?,
            layout: layout.parse().ok()?,
        })
    }
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.version, self.layout)
    }
}

/// Hashes the service name and the payload of a request.
///
/// Equal content has the same fingerprint on every VM.
///
/// # Examples
///
/// ```
/// use cloverrack::fingerprint;
/// assert_ne!(fingerprint("a/b", b"x"), fingerprint("a/c", b"x"));
/// ```
pub fn fingerprint(service: &str, payload: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(payload, seed)
}
