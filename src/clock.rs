//! Clocks for the timing of requests: time since boot and the wall clock.
//!
//! Time since boot includes the time for which the machine was suspended, so a pause shows up in
//! elapsed times. The wall clock is used for deadlines that other processes, such as targets,
//! check.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns microseconds since boot, including suspended time.
///
/// # Examples
///
/// ```
/// let earlier = cloverrack::clock::boot_us();
/// assert!(cloverrack::clock::boot_us() >= earlier);
/// ```
pub fn boot_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}

/// Returns milliseconds since boot, including suspended time.
pub fn boot_ms() -> u64 {
    boot_us() / 1_000
}

/// Returns milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
