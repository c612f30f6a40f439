//! Tickets for requests that run at most once, redeemable only at the process that issued them.

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

/// Time for which a block may be used after it was issued.
pub const TICKET_BLOCK_TTL_MS: u64 = 600_000;

/// Requests in one block.
pub const TICKETS_PER_BLOCK: u32 = 1_000;

/// Used tickets that one process remembers; beyond it new ones are refused until old ones expire.
///
/// 180,000 requests a second over 760 nodes are 142,000 for one node within [`TICKET_BLOCK_TTL_MS`].
pub const MAX_USED_TICKETS: usize = 200_000;

/// Bytes of all answers kept for resent requests; beyond it the oldest are reduced to their outcome.
pub const MAX_CACHED_BYTES: usize = 16 * 1_048_576;

/// Largest answer kept for a resent request, in bytes.
pub const MAX_CACHED_ANSWER_BYTES: usize = 65_536;

/// Key of the checks that protect blocks from being invented.
pub type TicketMacKey = [u8; 16];

/// A block of numbers issued to one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TicketBlock {
    /// Process that issued the block.
    pub issuer: Incarnation,
    /// Internal address of that process.
    pub address: SocketAddr,
    /// Number of the block at the issuer.
    pub block: u64,
    /// Time on the issuer's boot-time clock at which the block ends.
    pub expires_ms: u64,
    /// Keyed hash of the other fields, which only the issuer can compute.
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

/// One number of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Block that the number belongs to.
    pub block: TicketBlock,
    /// Number within the block, from 0.
    pub number: u32,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.block, self.number)
    }
}

impl Ticket {
    /// Parses `BLOCK.NUMBER`; only the form that `Display` writes is accepted.
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

/// What redeeming a ticket means.
#[derive(Clone, Debug)]
pub enum RedeemResult {
    /// The request runs now; its outcome must be settled.
    Run,
    /// The request is running; its outcome appears here.
    Wait(watch::Receiver<Option<Arc<Answer>>>),
    /// The request has run; its answer was kept as far as it was small enough.
    Completed(Arc<Answer>),
    /// The ticket was used for other content; the content of this request did not run.
    OtherContent,
    /// The block's time has passed; whether the request ran is no longer known.
    Expired,
    /// No such number was issued; a request under it never ran.
    NotIssued,
    /// Too many tickets are in use; the request did not run.
    Full,
}

/// Place of a ticket among the used ones, in order of expiry.
type UsedTicketKey = (u64, u64, u32);

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

/// Tickets that this process issued; state is kept for used ones only.
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
    /// Starts issuing for a process; `key` must be random and known to no one else.
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

    /// Issues a block; nothing is stored until a number of it is redeemed.
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

    /// Returns the check of a block; issuer and address are bound by the key, which no other
    /// process has.
    fn check(&self, block: u64, expires_ms: u64) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write_u64(block);
        hasher.write_u64(expires_ms);
        hasher.finish()
    }

    /// Returns the identity of what a request asks for; deadline and preference may differ when it
    /// is sent again.
    pub fn content_hash(&self, request: &CallerRequest) -> u128 {
        let mut hasher = SipHasher128::new_with_key(&self.key);
        for part in [&request.service, &request.member, &request.payload] {
            hasher.write_usize(part.len());
            hasher.write(part.as_bytes());
        }
        hasher.finish128().as_u128()
    }

    /// Returns how many used tickets are remembered.
    pub fn used(&self) -> usize {
        self.used.len()
    }

    /// Returns the bytes of all kept answers.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Forgets tickets whose time has passed.
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

    /// Redeems a ticket that names this process.
    pub fn redeem(&mut self, ticket: Ticket, content: u128, now_ms: u64) -> RedeemResult {
        self.expire(now_ms);
        let TicketBlock {
            issuer,
            address,
            block,
            expires_ms,
            check,
        } = ticket.block;
        let ours = (issuer, address) == (self.issuer, self.address);
        let issued = ours && block < self.next_block && check == self.check(block, expires_ms);
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

    /// Records the outcome of a redeemed ticket; one that did not run may be redeemed again.
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

    /// Reduces the oldest kept answers to their outcome until all fit.
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

/// Returns about how much memory a kept answer takes, in bytes.
fn answer_size_bytes(answer: &Answer) -> usize {
    let mut bytes = size_of::<Answer>() + answer.request_id.len();
    bytes += size_of_val(&*answer.covered) + size_of_val(&*answer.missing);
    bytes += size_of_val(&*answer.results);
    for result in &answer.results {
        bytes += result.body.len();
    }
    bytes
}

/// Reduces an answer to what is kept of it without its content.
fn without_body(answer: &Answer) -> Answer {
    Answer {
        snapshot: answer.snapshot,
        ..Answer::without_results(&answer.request_id, answer.outcome, Reason::TicketUsed)
    }
}
