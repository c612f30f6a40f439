//! Keeps the calls of all VMs to a leaf within the rate that the leaf has named. Pure logic without
//! I/O.
//!
//! Handles leaves that take fewer requests than usual for a while, under a load of all VMs together
//! that exceeds it. VMs tell each other how many calls they have sent to such a leaf, and each
//! deducts the calls of all of them from the same rate: a VM uses what the others leave, without a
//! coordinator. A VM that is not heard, since it starts, is frozen or is cut off, is assumed to use
//! an equal share.

use std::collections::BTreeMap;
use std::net::IpAddr;

use bincode::{Decode, Encode};

/// Longest time that a call waits for its turn. A request that would wait longer goes to another
/// leaf or is rejected at once.
pub const MAX_WAIT_US: u64 = 50_000;

/// Time for which unused calls accumulate, divided among the VMs: all of them may send these calls
/// before they hear of each other.
const BURST_US: u64 = 500_000;

/// Time without a report after which a VM is assumed to use an equal share. It exceeds some
/// intervals between reports, since datagrams may be lost.
const SILENCE_US: u64 = 300_000;

/// Time after the last answer or report on a limit after which it is dropped.
const RETENTION_US: u64 = 10_000_000;

/// Time for which a VM that loses at least half of the others assumes that they still use their
/// shares. More likely than their failure is that it was cut off from them.
const ISOLATION_MS: u64 = 15_000;

/// Budget units per call.
const UNITS_PER_CALL: i64 = 1_000_000;

/// Units per second of a rate of a thousandth of a call per second.
const UNITS_PER_MILLI_RATE: i64 = UNITS_PER_CALL / 1_000;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// Largest rate that counts as a limit, in thousandths of a call per second.
const MAX_RATE_MILLI: u64 = 1_000_000_000;

/// Rate in thousandths of a call per second; `None` if a leaf names no limit.
pub type Rate = Option<u64>;

/// Parses the rate that a leaf names, a decimal number of requests per second.
///
/// Returns `None` for text that is no finite number of at least 0.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::rate_limit::parse_rate;
/// assert_eq!(parse_rate("24.5"), Some(24_500));
/// assert_eq!(parse_rate("-1"), None);
/// assert_eq!(parse_rate("many"), None);
/// ```
pub fn parse_rate(text: &str) -> Rate {
    let rate_per_s: f64 = text.trim().parse().ok()?;
    if !rate_per_s.is_finite() || rate_per_s < 0.0 {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the value is clamped to the range"
    )]
    Some((rate_per_s * 1_000.0).min(MAX_RATE_MILLI as f64) as u64)
}

/// Calls of another VM to a leaf.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    /// Number of calls that the VM has reported, since its process started.
    calls: u64,
    heard_us: u64,
}

/// What a VM reports about a leaf that has named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct RateUsage {
    /// Latest limit that is known.
    pub rate_milli: Rate,
    /// Time since the answer that named or ended the limit.
    pub age_us: u64,
    /// Number of calls that the VM has sent since it learned of the limit.
    pub calls: u64,
}

/// Limit of one leaf process, with the calls that all VMs may still send.
#[derive(Clone, Debug)]
pub struct RateLimit {
    rate_milli: Rate,
    answered_us: u64,
    /// Calls that all VMs together may send now; negative if they have sent too many.
    available_units: i64,
    updated_us: u64,
    own_calls: u64,
    peers: BTreeMap<IpAddr, PeerUsage>,
}

impl RateLimit {
    /// Creates the limit that an answer at `answered_us` named.
    pub fn new(rate_milli: u64, answered_us: u64) -> Self {
        Self {
            rate_milli: Some(rate_milli),
            answered_us,
            available_units: 0,
            updated_us: answered_us,
            own_calls: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Applies the limit that an answer names, or `None` for an answer without one. An answer that
    /// is older than the latest known one is ignored.
    pub fn record_answer(&mut self, rate_milli: Rate, answered_us: u64, vms: u32) {
        if answered_us < self.answered_us {
            return;
        }
        self.refill(answered_us, vms);
        if self.rate_milli.is_none() {
            self.available_units = 0;
            self.updated_us = self.updated_us.max(answered_us);
        }
        self.rate_milli = rate_milli;
        self.answered_us = answered_us;
    }

    /// Returns whether the leaf limits the rate.
    pub fn is_active(&self) -> bool {
        self.rate_milli.is_some()
    }

    /// Returns whether nothing has been heard of the limit for so long that it no longer counts.
    pub fn is_expired(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.answered_us) > RETENTION_US
    }

    /// Returns the time until this VM may send a call, or `None` if the leaf takes none.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::rate_limit::RateLimit;
    /// let mut limit = RateLimit::new(10_000, 0);
    /// assert_eq!(limit.wait_us(200_000, 1), Some(0));
    /// limit.reserve(200_000, 1);
    /// limit.reserve(200_000, 1);
    /// assert_eq!(limit.wait_us(200_000, 1), Some(100_000));
    /// ```
    pub fn wait_us(&self, now_us: u64, vms: u32) -> Option<u64> {
        let Some(rate_milli) = self.rate_milli else {
            return Some(0);
        };
        let missing = UNITS_PER_CALL - self.available(now_us, vms);
        if missing <= 0 {
            return Some(0);
        }
        let units_per_s = self.income_per_s(rate_milli, now_us, vms);
        if units_per_s <= 0 {
            return None;
        }
        let missing_us = u128::from(missing.unsigned_abs()) * u128::from(US_PER_S);
        let wait_us = missing_us.div_ceil(u128::from(units_per_s.unsigned_abs()));
        Some(u64::try_from(wait_us).unwrap_or(u64::MAX))
    }

    /// Deducts a call of this VM, which may begin after [`RateLimit::wait_us`].
    pub fn reserve(&mut self, now_us: u64, vms: u32) {
        self.own_calls += 1;
        if self.is_active() {
            self.refill(now_us, vms);
            self.available_units -= UNITS_PER_CALL;
        }
    }

    /// Returns what this VM reports to the others.
    pub fn usage(&self, now_us: u64) -> RateUsage {
        RateUsage {
            rate_milli: self.rate_milli,
            age_us: now_us.saturating_sub(self.answered_us),
            calls: self.own_calls,
        }
    }

    /// Applies the report of another VM.
    pub fn apply_usage(&mut self, peer: IpAddr, usage: &RateUsage, now_us: u64, vms: u32) {
        let answered_us = now_us.saturating_sub(usage.age_us);
        self.record_answer(usage.rate_milli, answered_us, vms);
        self.refill(now_us, vms);
        self.peers
            .retain(|_, known| now_us.saturating_sub(known.heard_us) <= RETENTION_US);
        let share = self.share_per_s(vms);
        let Some(known) = self.peers.get_mut(&peer) else {
            let first = PeerUsage {
                calls: usage.calls,
                heard_us: now_us,
            };
            self.peers.insert(peer, first);
            return;
        };
        // Fewer calls than before are those of a new process.
        let calls = usage.calls.checked_sub(known.calls).unwrap_or(usage.calls);
        let silent_us = now_us.saturating_sub(known.heard_us);
        let assumed = units(share, silent_us.saturating_sub(SILENCE_US));
        known.calls = usage.calls;
        known.heard_us = now_us;
        let calls = i64::try_from(calls).unwrap_or(i64::MAX);
        let used = calls.saturating_mul(UNITS_PER_CALL).saturating_sub(assumed);
        let rate_per_s = self.rate_milli.map_or(0, units_per_s);
        // More than a second's worth would be owed only after a long silence.
        if self.is_active() {
            self.available_units -= used.clamp(0, rate_per_s.max(UNITS_PER_CALL));
        }
    }

    /// Returns the calls per second that a VM gets if all use the same share.
    fn share_per_s(&self, vms: u32) -> i64 {
        self.rate_milli.map_or(0, units_per_s) / i64::from(vms.max(1))
    }

    /// Returns the units per second that the VMs which are heard may use.
    fn income_per_s(&self, rate_milli: u64, now_us: u64, vms: u32) -> i64 {
        let mut peers = self.peers.values();
        let is_heard = |peer: &&PeerUsage| now_us.saturating_sub(peer.heard_us) <= SILENCE_US;
        let heard = peers.by_ref().filter(is_heard).count();
        let others = usize::try_from(vms.max(1) - 1).unwrap_or(usize::MAX);
        let silent = i64::try_from(others.saturating_sub(heard)).unwrap_or(i64::MAX);
        units_per_s(rate_milli) - silent.saturating_mul(self.share_per_s(vms))
    }

    fn available(&self, now_us: u64, vms: u32) -> i64 {
        let Some(rate_milli) = self.rate_milli else {
            return self.available_units;
        };
        let elapsed_us = now_us.saturating_sub(self.updated_us).min(US_PER_S);
        let income = units(self.income_per_s(rate_milli, now_us, vms), elapsed_us);
        let burst = units(self.share_per_s(vms), BURST_US).max(UNITS_PER_CALL);
        self.available_units.saturating_add(income).min(burst)
    }

    fn refill(&mut self, now_us: u64, vms: u32) {
        if now_us <= self.updated_us {
            return;
        }
        self.available_units = self.available(now_us, vms);
        self.updated_us = now_us;
    }
}

fn units_per_s(rate_milli: u64) -> i64 {
    i64::try_from(rate_milli.min(MAX_RATE_MILLI)).unwrap_or(i64::MAX) * UNITS_PER_MILLI_RATE
}

/// Returns the units that a rate yields in a time.
fn units(units_per_s: i64, elapsed_us: u64) -> i64 {
    let units = i128::from(units_per_s) * i128::from(elapsed_us) / i128::from(US_PER_S);
    i64::try_from(units).unwrap_or(i64::MAX)
}

/// Number of VMs among which the rates are divided.
#[derive(Clone, Copy, Debug)]
pub struct SharingVms {
    vms: u32,
    /// Time since which fewer VMs than `vms` are live.
    fewer_since_ms: Option<u64>,
}

impl Default for SharingVms {
    fn default() -> Self {
        Self {
            vms: 1,
            fewer_since_ms: None,
        }
    }
}

impl SharingVms {
    /// Sets the number of live VMs, this one included.
    ///
    /// A VM that loses at least half of the others keeps its share for a while: those of a
    /// partition of the fleet which are fewer must not use the rate that the others use as well.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::rate_limit::SharingVms;
    /// let mut sharing = SharingVms::default();
    /// sharing.set_live(7, 0);
    /// sharing.set_live(6, 100);
    /// assert_eq!(sharing.count(), 6);
    /// sharing.set_live(1, 200);
    /// assert_eq!(sharing.count(), 6, "this VM may be cut off");
    /// sharing.set_live(1, 20_000);
    /// assert_eq!(sharing.count(), 1);
    /// ```
    pub fn set_live(&mut self, live: u32, now_ms: u64) {
        let live = live.max(1);
        if live > self.vms / 2 {
            self.vms = live;
            self.fewer_since_ms = None;
            return;
        }
        let since_ms = *self.fewer_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= ISOLATION_MS {
            self.vms = live;
            self.fewer_since_ms = None;
        }
    }

    /// Returns the number of VMs that share a rate.
    pub fn count(self) -> u32 {
        self.vms
    }
}
