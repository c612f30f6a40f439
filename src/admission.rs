//! Admission of requests at the root: a bounded number in flight, shared fairly between members.

use std::collections::HashMap;

use crate::answer::Reason;

/// Requests that one VM runs at a time.
const MAX_IN_FLIGHT: usize = 2_000;

/// Share of all places that one member may hold while others wait, as a divisor.
const MEMBER_SHARE_DIVISOR: usize = 2;

/// Time after which a refused caller should come back.
pub const RETRY_AFTER_MS: u64 = 500;

/// Requests in flight, by member.
#[derive(Debug, Default)]
pub struct Admission {
    total: usize,
    members: HashMap<Box<str>, usize>,
}

impl Admission {
    /// Admits a request of a member.
    ///
    /// # Errors
    ///
    /// Fails with `Overloaded` if the VM is full or the member holds its share of it.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut admission = cloverrack::Admission::default();
    /// assert!(admission.admit("library").is_ok());
    /// admission.release("library");
    /// ```
    pub fn admit(&mut self, member: &str) -> Result<(), Reason> {
        if self.total >= MAX_IN_FLIGHT {
            return Err(Reason::Overloaded);
        }
        let held = self.members.get(member).copied().unwrap_or(0);
        if held >= MAX_IN_FLIGHT / MEMBER_SHARE_DIVISOR {
            return Err(Reason::Overloaded);
        }
        self.total += 1;
        *self.members.entry(member.into()).or_default() += 1;
        Ok(())
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self, member: &str) {
        self.total = self.total.saturating_sub(1);
        let Some(held) = self.members.get_mut(member) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.members.remove(member);
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> usize {
        self.total
    }
}
