//! Decides which contents are refused because they crash the leaves that run them. Pure decision
//! logic without I/O.
//!
//! Handles requests that crash each leaf and are sent again, to any VM: VMs exchange the attempts
//! under which leaves crashed, so that all refuse the content after the third crash. Leaves also
//! crash for other reasons, and take the healthy requests with them that they run at that time. An
//! attempt therefore counts only if no leaf of the same shard answered it, a later success of the
//! content discards it, and a single attempt never suffices.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use bincode::{Decode, Encode};

use super::content::Content;
use crate::quarantine::QUARANTINE_MS;

/// Number of leaf processes that have to crash before a content is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Number of attempts under which they have to crash, at times that don't overlap. One loss of power
/// or one cut may end several leaves, and the runs of several attempts that were in flight.
const ATTEMPTS_TO_QUARANTINE: usize = 2;

/// Number of callers whose attempts have to crash leaves before a content is quarantined for all
/// callers. Another caller's requests with the same path and body may be healthy, and one of them
/// may have run beside the request that crashed a leaf.
const CALLERS_TO_QUARANTINE: usize = 3;

/// Time for which an attempt counts as evidence. It exceeds the quarantine, so that a content which
/// crashes a leaf after its quarantine is quarantined again at once.
pub const EVIDENCE_RETENTION_MS: u64 = 2 * QUARANTINE_MS;

/// Maximum number of contents with evidence; bounds memory.
const MAX_CONTENTS: usize = 1_000;

/// Maximum number of attempts, and of callers with a success, that are stored for a content.
const MAX_RECORDS_PER_CONTENT: usize = 16;

/// Maximum number of crashed leaves in a record of an attempt.
pub const MAX_LEAVES_PER_ATTEMPT: usize = CRASHES_TO_QUARANTINE;

/// Attempt of a caller under which leaves of a shard crashed and no leaf of this shard answered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CrashedAttempt {
    /// Content that the caller asked for.
    pub content: Content,
    /// Hash of the request ID, which differs in each attempt.
    pub request_hash: u64,
    /// Hashes of the crashed processes, at most [`MAX_LEAVES_PER_ATTEMPT`].
    pub leaves: Vec<u64>,
    /// Wall-clock time at which the first of these leaves is known to have lived; 0 if it is not
    /// known.
    pub alive_unix_ms: u64,
    /// Wall-clock time of the observation, by which all of them had ended.
    pub observed_unix_ms: u64,
}

impl CrashedAttempt {
    /// Adds the leaves of a later record of the same attempt.
    fn merge(&mut self, other: &Self) {
        self.leaves.extend(&other.leaves);
        self.leaves.sort_unstable();
        self.leaves.dedup();
        self.leaves.truncate(MAX_LEAVES_PER_ATTEMPT);
        self.alive_unix_ms = self.alive_unix_ms.min(other.alive_unix_ms);
        self.observed_unix_ms = self.observed_unix_ms.max(other.observed_unix_ms);
    }

    /// Returns whether the attempt is too old to count as evidence.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.observed_unix_ms.saturating_add(EVIDENCE_RETENTION_MS) <= now_unix_ms
    }
}

/// Success of a content that had crashed attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ContentSuccess {
    /// Content that leaves answered.
    pub content: Content,
    /// Wall-clock time up to which crashed attempts are discarded.
    pub until_unix_ms: u64,
}

impl ContentSuccess {
    /// Returns whether all attempts that the success discards have expired.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.until_unix_ms.saturating_add(EVIDENCE_RETENTION_MS) <= now_unix_ms
    }
}

/// What is known about a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentVerdict {
    /// No leaf crashed under it.
    Unsuspected,
    /// Leaves crashed under it, too few for a quarantine. It must run on one leaf before it is sent
    /// to others.
    Suspect,
    /// It is refused until a wall-clock time.
    Quarantined {
        /// End of the quarantine.
        until_unix_ms: u64,
    },
}

/// Evidence on one content.
#[derive(Debug, Default)]
struct Evidence {
    attempts: Vec<CrashedAttempt>,
    /// Latest success of each caller.
    successes: Vec<(IpAddr, u64)>,
}

/// Evidence by content fingerprint.
#[derive(Debug, Default)]
pub struct ContentQuarantine {
    contents: HashMap<u64, Evidence>,
}

impl ContentQuarantine {
    /// Returns what is known about a content.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Content, ContentQuarantine, ContentVerdict, CrashedAttempt};
    /// let content = Content { fingerprint: 7, caller: [127, 0, 0, 1].into() };
    /// let crashed = |request_hash, leaves, alive_unix_ms| CrashedAttempt {
    ///     content,
    ///     request_hash,
    ///     leaves,
    ///     alive_unix_ms,
    ///     observed_unix_ms: alive_unix_ms + 5,
    /// };
    /// let mut quarantine = ContentQuarantine::default();
    /// quarantine.add_attempt(crashed(1, vec![10, 11], 100), 300);
    /// assert_eq!(quarantine.verdict(&content, 300), ContentVerdict::Suspect);
    /// quarantine.add_attempt(crashed(2, vec![12], 200), 300);
    /// assert!(matches!(quarantine.verdict(&content, 300), ContentVerdict::Quarantined { .. }));
    /// ```
    pub fn verdict(&self, content: &Content, now_unix_ms: u64) -> ContentVerdict {
        let Some(evidence) = self.contents.get(&content.fingerprint) else {
            return ContentVerdict::Unsuspected;
        };
        let own = evidence.of_caller(content.caller, now_unix_ms);
        let all = evidence.of_all_callers(now_unix_ms);
        let of_caller = quarantine_end_ms(&own);
        let of_all =
            quarantine_end_ms(&all).filter(|_| caller_count(&all) >= CALLERS_TO_QUARANTINE);
        match of_caller.max(of_all).filter(|end_ms| *end_ms > now_unix_ms) {
            Some(until_unix_ms) => ContentVerdict::Quarantined { until_unix_ms },
            None if own.is_empty() && all.is_empty() => ContentVerdict::Unsuspected,
            None => ContentVerdict::Suspect,
        }
    }

    /// Returns the record of a success of a content, or `None` if it would discard no evidence.
    pub fn success(&self, content: &Content, now_unix_ms: u64) -> Option<ContentSuccess> {
        let evidence = self.contents.get(&content.fingerprint)?;
        let own = evidence.of_caller(content.caller, now_unix_ms);
        let discarded = own.into_iter().chain(evidence.of_all_callers(now_unix_ms));
        // The clock of the VM that observed the crash may be ahead.
        let latest_ms = discarded.map(|attempt| attempt.observed_unix_ms).max()?;
        Some(ContentSuccess {
            content: *content,
            until_unix_ms: latest_ms.max(now_unix_ms),
        })
    }

    /// Adds an attempt under which leaves crashed, observed by this or another VM. Returns the end
    /// of the quarantine if the attempt caused it.
    pub fn add_attempt(&mut self, mut attempt: CrashedAttempt, now_unix_ms: u64) -> Option<u64> {
        if attempt.is_expired(now_unix_ms) {
            return None;
        }
        let content = attempt.content;
        let was_quarantined = matches!(
            self.verdict(&content, now_unix_ms),
            ContentVerdict::Quarantined { .. }
        );
        let attempts = &mut self.entry(content.fingerprint, now_unix_ms).attempts;
        attempts.retain(|known| {
            let is_same = (known.content, known.request_hash) == (content, attempt.request_hash);
            if is_same {
                attempt.merge(known);
            }
            !is_same && !known.is_expired(now_unix_ms)
        });
        if attempts.len() >= MAX_RECORDS_PER_CONTENT {
            attempts.remove(0);
        }
        attempts.push(attempt);
        match self.verdict(&content, now_unix_ms) {
            ContentVerdict::Quarantined { until_unix_ms } if !was_quarantined => {
                Some(until_unix_ms)
            }
            _ => None,
        }
    }

    /// Returns what is known about an attempt.
    pub fn attempt(&self, content: &Content, request_hash: u64) -> Option<&CrashedAttempt> {
        let evidence = self.contents.get(&content.fingerprint)?;
        let mut attempts = evidence.attempts.iter();
        attempts.find(|known| (known.content, known.request_hash) == (*content, request_hash))
    }

    /// Adds a success that this or another VM observed.
    pub fn add_success(&mut self, success: ContentSuccess, now_unix_ms: u64) {
        if success.is_expired(now_unix_ms) {
            return;
        }
        let caller = success.content.caller;
        let successes = &mut self
            .entry(success.content.fingerprint, now_unix_ms)
            .successes;
        let known = successes.iter().find(|(known, _)| *known == caller);
        let known_ms = known.map_or(0, |(_, until_ms)| *until_ms);
        successes.retain(|(known, _)| *known != caller);
        if successes.len() >= MAX_RECORDS_PER_CONTENT {
            successes.remove(0);
        }
        successes.push((caller, success.until_unix_ms.max(known_ms)));
    }

    /// Removes expired evidence.
    pub fn remove_expired(&mut self, now_unix_ms: u64) {
        self.contents.retain(|_, evidence| {
            let expires_ms = evidence
                .latest_unix_ms()
                .saturating_add(EVIDENCE_RETENTION_MS);
            expires_ms > now_unix_ms
        });
    }

    /// Returns the number of contents with evidence.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns the evidence on a content, and makes room for it if there is none.
    fn entry(&mut self, fingerprint: u64, now_unix_ms: u64) -> &mut Evidence {
        if !self.contents.contains_key(&fingerprint) && self.contents.len() >= MAX_CONTENTS {
            self.remove_expired(now_unix_ms);
            self.evict();
        }
        self.contents.entry(fingerprint).or_default()
    }

    /// Removes the content with the oldest evidence if there are too many. Contents with few
    /// attempts go first: a caller whose contents all differ can't displace quarantined ones.
    fn evict(&mut self) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let rank = |evidence: &Evidence| {
            let is_repeated = evidence.attempts.len() >= ATTEMPTS_TO_QUARANTINE;
            (is_repeated, evidence.latest_unix_ms())
        };
        let oldest = self
            .contents
            .iter()
            .min_by_key(|(_, evidence)| rank(evidence));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.contents.remove(&fingerprint);
        }
    }
}

impl Evidence {
    /// Returns the attempts of a caller since its latest success.
    fn of_caller(&self, caller: IpAddr, now_unix_ms: u64) -> Vec<&CrashedAttempt> {
        let mut successes = self.successes.iter();
        let success = successes.find(|(known, _)| *known == caller);
        let since_ms = success.map(|(_, until_ms)| *until_ms);
        let mut attempts = self.attempts_since(since_ms, now_unix_ms);
        attempts.retain(|attempt| attempt.content.caller == caller);
        attempts
    }

    /// Returns the attempts of all callers since the latest success of any of them.
    fn of_all_callers(&self, now_unix_ms: u64) -> Vec<&CrashedAttempt> {
        let latest_ms = self.successes.iter().map(|(_, until_ms)| *until_ms).max();
        self.attempts_since(latest_ms, now_unix_ms)
    }

    fn attempts_since(&self, success_ms: Option<u64>, now_unix_ms: u64) -> Vec<&CrashedAttempt> {
        let counts = |attempt: &&CrashedAttempt| {
            !attempt.is_expired(now_unix_ms)
                && success_ms.is_none_or(|until_ms| attempt.observed_unix_ms > until_ms)
        };
        self.attempts.iter().filter(counts).collect()
    }

    fn latest_unix_ms(&self) -> u64 {
        let attempts = self.attempts.iter().map(|attempt| attempt.observed_unix_ms);
        let successes = self.successes.iter().map(|(_, until_ms)| *until_ms);
        attempts.chain(successes).max().unwrap_or(0)
    }
}

/// Returns the end of the quarantine that attempts cause, or `None` if they are too few.
fn quarantine_end_ms(attempts: &[&CrashedAttempt]) -> Option<u64> {
    let leaves: BTreeSet<u64> = attempts
        .iter()
        .flat_map(|attempt| attempt.leaves.iter().copied())
        .collect();
    if separate_attempts(attempts) < ATTEMPTS_TO_QUARANTINE || leaves.len() < CRASHES_TO_QUARANTINE
    {
        return None;
    }
    let latest_ms = attempts
        .iter()
        .map(|attempt| attempt.observed_unix_ms)
        .max()?;
    Some(latest_ms.saturating_add(QUARANTINE_MS))
}

/// Returns the largest number of attempts whose leaves ended at times that don't overlap.
fn separate_attempts(attempts: &[&CrashedAttempt]) -> usize {
    let mut spans_ms: Vec<(u64, u64)> = Vec::with_capacity(attempts.len());
    for attempt in attempts {
        spans_ms.push((attempt.observed_unix_ms, attempt.alive_unix_ms));
    }
    spans_ms.sort_unstable();
    let mut count = 0;
    let mut last_end_ms = 0;
    for (end_ms, start_ms) in spans_ms {
        if count > 0 && start_ms < last_end_ms {
            continue;
        }
        count += 1;
        last_end_ms = end_ms;
    }
    count
}

fn caller_count(attempts: &[&CrashedAttempt]) -> usize {
    let callers: BTreeSet<IpAddr> = attempts
        .iter()
        .map(|attempt| attempt.content.caller)
        .collect();
    callers.len()
}
