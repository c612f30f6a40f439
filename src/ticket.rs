//! Tickets for requests that run at most once, redeemable only at the process that issued them.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;

use tokio::sync::watch;

use crate::answer::{Answer, Outcome};
use crate::ids::Incarnation;

/// Time for which a block may be used after it was issued.
pub const BLOCK_VALID_MS: u64 = 600_000;

/// Blocks that one process keeps; beyond it none is issued.
pub const MAX_BLOCKS: usize = 100_000;

/// Requests in one block.
pub const BLOCK_NUMBERS: u32 = 1_000;

/// Longest body of an outcome that is kept for a resent request, in bytes.
const MAX_KEPT_BYTES: usize = 65_536;

/// A block of numbers issued to one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Block {
    /// Process that issued the block.
    pub issuer: Incarnation,
    /// Internal address of that process.
    pub address: SocketAddr,
    /// Number of the block at the issuer.
    pub block: u64,
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.issuer, self.address, self.block)
    }
}

/// One number of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Block that the number belongs to.
    pub block: Block,
    /// Number within the block, from 0.
    pub number: u32,
}

impl Ticket {
    /// Parses `BLOCK.NUMBER`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::Ticket;
    /// let ticket = Ticket::parse("00000000000000ff/127.0.0.1:7000/3.12").unwrap();
    /// assert_eq!((ticket.block.block, ticket.number), (3, 12));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '/');
        let issuer = Incarnation::parse(parts.next()?)?;
        let address = parts.next()?.parse().ok()?;
        let (block, number) = parts.next()?.split_once('.')?;
        let block = Block {
            issuer,
            address,
            block: block.parse().ok()?,
        };
        Some(Self {
            block,
            number: number.parse().ok()?,
        })
    }
}

/// What redeeming a ticket means.
#[derive(Clone, Debug)]
pub enum Redeem {
    /// The request runs now; its outcome must be settled.
    Run,
    /// The request is running or has run; its outcome appears here.
    Wait(watch::Receiver<Option<Answer>>),
    /// The block's time has passed; whether the request ran is no longer known.
    Expired,
    /// No such number was issued; a request under it never ran.
    NotIssued,
}

#[derive(Debug)]
struct IssuedBlock {
    expires_ms: u64,
    used: HashMap<u32, watch::Sender<Option<Answer>>>,
}

/// Tickets that this process issued.
#[derive(Debug)]
pub struct Tickets {
    issuer: Incarnation,
    address: SocketAddr,
    next_block: u64,
    blocks: BTreeMap<u64, IssuedBlock>,
}

impl Tickets {
    /// Starts issuing for a process.
    pub fn new(issuer: Incarnation, address: SocketAddr) -> Self {
        Self {
            issuer,
            address,
            next_block: 0,
            blocks: BTreeMap::new(),
        }
    }

    /// Issues a block, or `None` if too many are valid.
    pub fn issue(&mut self, now_ms: u64) -> Option<Block> {
        self.expire(now_ms);
        if self.blocks.len() >= MAX_BLOCKS {
            return None;
        }
        let block = self.next_block;
        self.next_block += 1;
        let expires_ms = now_ms + BLOCK_VALID_MS;
        self.blocks.insert(
            block,
            IssuedBlock {
                expires_ms,
                used: HashMap::new(),
            },
        );
        Some(Block {
            issuer: self.issuer,
            address: self.address,
            block,
        })
    }

    /// Forgets blocks whose time has passed; they are in order of issue.
    fn expire(&mut self, now_ms: u64) {
        while let Some(entry) = self.blocks.first_entry() {
            if entry.get().expires_ms > now_ms {
                break;
            }
            entry.remove();
        }
    }

    /// Redeems a ticket that names this process.
    pub fn redeem(&mut self, ticket: Ticket, now_ms: u64) -> Redeem {
        self.expire(now_ms);
        if ticket.block.block >= self.next_block || ticket.number >= BLOCK_NUMBERS {
            return Redeem::NotIssued;
        }
        let Some(block) = self.blocks.get_mut(&ticket.block.block) else {
            return Redeem::Expired;
        };
        let used = block.used.get(&ticket.number);
        if let Some(used) = used.filter(|_| !crate::faults::is_off("check.ticket")) {
            return Redeem::Wait(used.subscribe());
        }
        block.used.insert(ticket.number, watch::Sender::new(None));
        Redeem::Run
    }

    /// Records the outcome of a redeemed ticket; one that did not run may be redeemed again.
    pub fn settle(&mut self, ticket: Ticket, answer: &Answer) {
        let Some(block) = self.blocks.get_mut(&ticket.block.block) else {
            return;
        };
        let mut kept = answer.clone();
        let bytes: usize = kept.results.iter().map(|result| result.body.len()).sum();
        if bytes > MAX_KEPT_BYTES {
            kept.results.clear();
        }
        if let Some(used) = block.used.get(&ticket.number) {
            used.send_replace(Some(kept));
        }
        if answer.outcome == Outcome::NotRun {
            block.used.remove(&ticket.number);
        }
    }
}
