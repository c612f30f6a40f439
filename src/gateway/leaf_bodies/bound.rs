//! Computes the bytes of request bodies that one VM may have in flight to a leaf.

/// Size up to which a body is not counted, as a divisor of the largest size. A leaf accepts some 75 connections;
/// small bodies on all of them take about as much as one of the largest size.
const SMALL_BODY_DIVISOR: u64 = 64;

/// Bound on the bytes of bodies in flight to one leaf, from the configuration.
///
/// No VM knows the memory of a leaf, or what other VMs send to it. A leaf that offers slots has to be able to run
/// a request of the largest allowed size in each, so that the bodies in flight from all VMs may take this much.
/// It is divided evenly among the VMs that use the leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBound {
    /// Largest size of a body.
    pub max_body_bytes: u64,
    /// Number of VMs that use the leaves.
    pub vms: u32,
}

impl BodyBound {
    /// Returns whether a body is counted.
    pub fn applies_to(&self, body_bytes: u64) -> bool {
        body_bytes > self.max_body_bytes / SMALL_BODY_DIVISOR
    }

    /// Returns whether a leaf with `slots` has room for a body beside `in_flight_bytes` of this VM. A body of any
    /// size has if this VM has no other in flight to the leaf.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::BodyBound;
    /// let bound = BodyBound { max_body_bytes: 1_000, vms: 2 };
    /// assert!(bound.has_room(4, 1_000, 1_000));
    /// assert!(!bound.has_room(4, 1_000, 1_001));
    /// assert!(bound.has_room(1, 0, 1_000));
    /// ```
    pub fn has_room(&self, slots: u32, in_flight_bytes: u64, body_bytes: u64) -> bool {
        let fleet_bytes = self.max_body_bytes.saturating_mul(u64::from(slots.max(1)));
        let share_bytes = fleet_bytes / u64::from(self.vms.max(1));
        in_flight_bytes == 0 || in_flight_bytes.saturating_add(body_bytes) <= share_bytes
    }
}
