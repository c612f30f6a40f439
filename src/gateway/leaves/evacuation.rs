//! Withholds requests from the leaves of evacuated failure domains.

use std::collections::BTreeSet;

use super::Leaves;

impl Leaves {
    /// Returns the failure domains whose leaves get no calls.
    pub fn evacuated_domains(&self) -> &BTreeSet<Box<str>> {
        &self.evacuated_domains
    }

    /// Replaces the failure domains whose leaves get no calls. Open calls may finish, and idle connections
    /// stay open, so that the leaves can be used at once when the evacuation ends. They are cold then.
    pub fn set_evacuated_domains(&mut self, domains: BTreeSet<Box<str>>, now_us: u64) {
        self.evacuated_domains = domains;
        for leaf in self.arena.values_mut() {
            let is_evacuated = self.evacuated_domains.contains(&leaf.record.failure_domain);
            let was_evacuated = std::mem::replace(&mut leaf.is_evacuated, is_evacuated);
            let warmup = self.warmups.get(&leaf.service);
            if let Some(warmup) = warmup.filter(|_| was_evacuated && !is_evacuated) {
                leaf.cold.record_return(warmup.duration_ms, now_us / 1_000);
            }
        }
        self.index_services();
        self.update_cold(now_us);
    }

    /// Lists the leaves of each service that may get calls.
    pub(super) fn index_services(&mut self) {
        self.by_service.clear();
        for key in self.by_id.values() {
            let Some(leaf) = self.arena.get_mut(key) else {
                continue;
            };
            let domain = &leaf.record.failure_domain;
            leaf.is_evacuated = self.evacuated_domains.contains(domain);
            if !leaf.is_departing() && !leaf.is_evacuated {
                self.by_service.entry(leaf.service).or_default().push(*key);
            }
        }
    }

    /// Returns the number of listed leaves whose domains are not evacuated.
    pub fn usable_count(&self) -> usize {
        if self.evacuated_domains.is_empty() {
            return self.count();
        }
        let usable = self.iter().filter(|(_, leaf)| !leaf.is_evacuated);
        usable.count()
    }
}
