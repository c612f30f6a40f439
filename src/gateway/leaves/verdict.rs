//! Verdict on one leaf for a call that would be sent now, by which a leaf is chosen and a choice is
//! explained.

/// Verdict on one leaf of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafVerdict {
    /// The leaf can take the call. The leaf with the lowest total cost is chosen.
    Available(LeafCost),
    /// The leaf has announced its end, or is no longer listed.
    Draining,
    /// The failure domain of the leaf is evacuated.
    Evacuated,
    /// The request was sent to the leaf before.
    Tried,
    /// Another process replied at the address of the leaf.
    Misdirected {
        /// End of the exclusion, as time since boot.
        until_ms: u64,
    },
    /// The address of the leaf refuses connections.
    Unreachable {
        /// Time since which it does.
        since_us: u64,
    },
    /// All connections that this VM may open to the leaf are in use.
    NoConnection,
    /// The leaf takes no further call for now, by the limit that it has named.
    RateLimited,
    /// The leaf has to answer an open call first, after a time without calls.
    Recovering,
    /// The leaf wants no calls from this VM for now.
    RetryAfter {
        /// Time at which it may be called.
        at_us: u64,
    },
}

/// Parts of the cost of a call, as additions to its expected latency in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeafCost {
    /// Expected latency, with the costs of failures and stalls.
    pub expected_us: u64,
    /// Cost of a call to another failure domain.
    pub distance_us: u64,
    /// Cost of a new connection.
    pub connect_us: u64,
    /// Cost of a leaf that has started recently.
    pub warmup_us: u64,
    /// Rest of a predicted pause.
    pub pause_us: u64,
    /// Wait for the rate that the leaf has named.
    pub rate_wait_us: u64,
    /// Cost of a leaf that wants no calls from another VM.
    pub last_choice_us: u64,
}

impl LeafCost {
    /// Returns the sum of all parts.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::LeafCost;
    /// let cost = LeafCost { expected_us: 15_000, connect_us: 7_000, ..LeafCost::default() };
    /// assert_eq!(cost.total_us(), 22_000);
    /// ```
    pub fn total_us(&self) -> u64 {
        self.expected_us
            + self.distance_us
            + self.connect_us
            + self.warmup_us
            + self.pause_us
            + self.rate_wait_us
            + self.last_choice_us
    }
}
