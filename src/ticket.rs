//! Issues and redeems the tickets under which requests that are not idempotent run at most once.
//!
//! A request that is resent with its ticket gets the outcome of the first execution. Tickets are
//! redeemable only at the process that issued them, which keeps used tickets and recent answers in
//! bounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use siphasher::sip::SipHasher24;
use siphasher::sip128::{Hasher128, SipHasher24 as SipHasher128};
use tokio::sync::watch;

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::ids::Incarnation;

/// Time after issue for which the tickets of a block can be redeemed.
pub const TICKET_BLOCK_TTL_MS: u64 = 600_000;

/// Tickets in one block.
pub const TICKETS_PER_BLOCK: u32 = 1_000;

/// Used tickets that one process stores; at the limit, new tickets are refused until old ones
/// expire.
///
/// 180,000 requests per second over 760 nodes are 142,000 requests per node within
/// [`TICKET_BLOCK_TTL_MS`].
pub const MAX_USED_TICKETS: usize = 200_000;

/// Bytes of all answers cached for resent requests; above it, the oldest are reduced to their
/// outcome.
pub const MAX_CACHED_BYTES: usize = 16 * 1_048_576;

/// Largest answer cached for a resent request.
pub const MAX_CACHED_ANSWER_BYTES: usize = 65_536;

/// Secret SipHash key; it prevents callers from forging blocks.
pub type TicketMacKey = [u8; 16];

/// A block of [`TICKETS_PER_BLOCK`] tickets issued to one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TicketBlock {
    /// Process that issued the block.
    pub issuer: Incarnation,
    /// Internal address of that process.
    pub address: SocketAddr,
    /// Sequence number of the block at the issuer.
    pub block: u64,
    /// Time on the issuer's boot-time clock at which the block expires.
    pub expires_ms: u64,
    /// Keyed hash of `block` and `expires_ms`, under a key that only the issuer has.
    pub check: u64,
}

impl fmt::Display for TicketBlock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            issuer,
            address,
            block,
            expires_ms,
            check,
        } = self;
        write!(f, "{issuer}/{address}/{block}-{expires_ms}-{check:016x}")
    }
}

/// One ticket of a block, for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Block that the ticket belongs to.
    pub block: TicketBlock,
    /// Number of the ticket within the block, from 0.
    pub number: u32,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.block, self.number)
    }
}

impl Ticket {
    /// Parses `BLOCK.NUMBER`; accepts only the form that `Display` writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::Ticket;
    /// let text = "00000000000000ff/127.0.0.1:7000/3-600000-00000000000000aa.12";
    /// let ticket = Ticket::parse(text).unwrap();
    /// assert_eq!((ticket.block.block, ticket.number), (3, 12));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '/');
        let issuer = Incarnation::parse(parts.next()?)?;
        let address = parts.next()?.parse().ok()?;
        let (block, number) = parts.next()?.split_once('.')?;
        let mut fields = block.splitn(3, '-');
        let block = TicketBlock {
            issuer,
            address,
            block: fields.next()?.parse().ok()?,
            expires_ms: fields.next()?.parse().ok()?,
            check: u64::from_str_radix(fields.next()?, 16).ok()?,
        };
        let number = number.parse().ok()?;
        let ticket = Self { block, number };
        (ticket.to_string() == text).then_some(ticket)
    }
}

/// Result of redeeming a ticket.
#[derive(Clone, Debug)]
pub enum RedeemResult {
    /// The caller must run the request now and record its outcome with [`Tickets::complete`].
    Run,
    /// The request is running; the channel receives its outcome.
    Wait(watch::Receiver<Option<Arc<Answer>>>),
    /// The request has run; the results are included unless the answer exceeded
    /// [`MAX_CACHED_ANSWER_BYTES`] or was evicted from the cache.
    Completed(Arc<Answer>),
    /// The ticket was used for a request with other content; this request did not run.
    OtherContent,
    /// The block has expired; whether the request ran is no longer recorded.
    Expired,
    /// No such ticket was issued; no request ran under it.
    NotIssued,
    /// [`MAX_USED_TICKETS`] are stored already; the request did not run.
    Full,
}

/// Block expiry time, block number and ticket number, so that used tickets sort by expiry.
type UsedTicketKey = (u64, u64, u32);

/// State of the request that a ticket was used for.
#[derive(Debug)]
enum Progress {
    Running(watch::Sender<Option<Arc<Answer>>>),
    Completed(Arc<Answer>),
}

#[derive(Debug)]
struct UsedTicket {
    content: u128,
    progress: Progress,
}

/// Ticket issuer of this process; state is stored for used tickets only.
#[derive(Debug)]
pub struct Tickets {
    issuer: Incarnation,
    address: SocketAddr,
    key: TicketMacKey,
    next_block: u64,
    used: BTreeMap<UsedTicketKey, UsedTicket>,
    cached_answers: VecDeque<(UsedTicketKey, usize)>,
    cached_bytes: usize,
}

impl Tickets {
    /// Creates the ticket issuer of a process; `key` must be random and secret.
    pub fn new(issuer: Incarnation, address: SocketAddr, key: TicketMacKey) -> Self {
        Self {
            issuer,
            address,
            key,
            next_block: 0,
            used: BTreeMap::new(),
            cached_answers: VecDeque::new(),
            cached_bytes: 0,
        }
    }

    /// Issues a block; nothing is stored until one of its tickets is redeemed.
    pub fn issue(&mut self, now_ms: u64) -> TicketBlock {
        let mut block = TicketBlock {
            issuer: self.issuer,
            address: self.address,
            block: self.next_block,
            expires_ms: now_ms + TICKET_BLOCK_TTL_MS,
            check: 0,
        };
        block.check = self.check(block.block, block.expires_ms);
        self.next_block += 1;
        block
    }

    /// Returns the keyed hash of a block. It needn't cover the issuer and its address, since no
    /// other process has the key.
    fn check(&self, block: u64, expires_ms: u64) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write_u64(block);
        hasher.write_u64(expires_ms);
        hasher.finish()
    }

    /// Returns a keyed hash of service, member and payload. It omits the deadline and the
    /// preference, which may differ when a request is resent.
    pub fn content_hash(&self, request: &CallerRequest) -> u128 {
        let mut hasher = SipHasher128::new_with_key(&self.key);
        for part in [&request.service, &request.member, &request.payload] {
            hasher.write_usize(part.len());
            hasher.write(part.as_bytes());
        }
        hasher.finish128().as_u128()
    }

    /// Returns the number of used tickets stored.
    pub fn used_count(&self) -> usize {
        self.used.len()
    }

    /// Returns the size of all cached answers in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Removes expired tickets and their cached answers.
    fn expire(&mut self, now_ms: u64) {
        while let Some(entry) = self.used.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            entry.remove();
        }
        while let Some((key, bytes)) = self.cached_answers.front() {
            if key.0 > now_ms {
                break;
            }
            self.cached_bytes -= bytes;
            self.cached_answers.pop_front();
        }
    }

    /// Redeems a ticket for a request with the content hash `content`; a ticket of another issuer
    /// gives [`RedeemResult::NotIssued`].
    pub fn redeem(&mut self, ticket: Ticket, content: u128, now_ms: u64) -> RedeemResult {
        self.expire(now_ms);
        let TicketBlock {
            issuer,
            address,
            block,
            expires_ms,
            check,
        } = ticket.block;
        let issued_here = (issuer, address) == (self.issuer, self.address);
        let issued =
            issued_here && block < self.next_block && check == self.check(block, expires_ms);
        if !issued || ticket.number >= TICKETS_PER_BLOCK {
            return RedeemResult::NotIssued;
        }
        if expires_ms <= now_ms {
            return RedeemResult::Expired;
        }
        let key = (expires_ms, block, ticket.number);
        let found = self.used.get(&key);
        if let Some(found) = found.filter(|_| !crate::faults::is_check_disabled("check.ticket")) {
            if found.content != content {
                return RedeemResult::OtherContent;
            }
            return match &found.progress {
                Progress::Running(outcome) => RedeemResult::Wait(outcome.subscribe()),
                Progress::Completed(answer) => RedeemResult::Completed(Arc::clone(answer)),
            };
        }
        if self.used.len() >= MAX_USED_TICKETS {
            return RedeemResult::Full;
        }
        let progress = Progress::Running(watch::Sender::new(None));
        self.used.insert(key, UsedTicket { content, progress });
        RedeemResult::Run
    }

    /// Records the outcome of a redeemed ticket; if the request did not run, the ticket may be
    /// redeemed again.
    pub fn complete(&mut self, ticket: Ticket, answer: &Answer) {
        let key = (ticket.block.expires_ms, ticket.block.block, ticket.number);
        let Some(found) = self.used.get_mut(&key) else {
            return;
        };
        let Progress::Running(outcome) = &found.progress else {
            return;
        };
        outcome.send_replace(Some(Arc::new(answer.clone())));
        if matches!(answer.outcome, Outcome::NotRun | Outcome::Refused) {
            self.used.remove(&key);
            return;
        }
        let bytes = answer_size_bytes(answer);
        if bytes > MAX_CACHED_ANSWER_BYTES {
            found.progress = Progress::Completed(Arc::new(without_body(answer)));
            return;
        }
        found.progress = Progress::Completed(Arc::new(answer.clone()));
        self.cached_answers.push_back((key, bytes));
        self.cached_bytes += bytes;
        self.evict_oldest();
    }

    /// Reduces the oldest cached answers to their outcome until the rest fit in
    /// [`MAX_CACHED_BYTES`].
    fn evict_oldest(&mut self) {
        while self.cached_bytes > MAX_CACHED_BYTES {
            let Some((key, bytes)) = self.cached_answers.pop_front() else {
                return;
            };
            self.cached_bytes -= bytes;
            if let Some(UsedTicket { progress, .. }) = self.used.get_mut(&key)
                && let Progress::Completed(answer) = progress
            {
                *answer = Arc::new(without_body(answer));
            }
        }
    }
}

/// Returns the approximate memory size of a cached answer.
fn answer_size_bytes(answer: &Answer) -> usize {
    let mut bytes = size_of::<Answer>() + answer.request_id.len();
    bytes += size_of_val(&*answer.covered) + size_of_val(&*answer.missing);
    bytes += size_of_val(&*answer.results);
    for result in &answer.results {
        bytes += result.body.len();
    }
    bytes
}

/// Returns an answer reduced to its request id, outcome and snapshot.
fn without_body(answer: &Answer) -> Answer {
    Answer {
        snapshot: answer.snapshot,
        ..Answer::without_results(&answer.request_id, answer.outcome, Reason::TicketUsed)
    }
}
