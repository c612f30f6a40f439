//! What carriers tell each other about leaves: pauses that ended, stalls under way, silence.
//!
//! Each VM sees only its own calls. At a size at which a VM calls a leaf a few times a second, a pause
//! or a silent leaf is known to all carriers in tens of milliseconds instead of after calls of each
//! of them. Ages travel instead of times, since the clocks of VMs differ.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{debug, warn};

use super::engine::Engine;
use super::members::Members;
use super::rhythm::Stall;
use crate::clock::boot_us;
use crate::wire::{decode, encode};

/// Time between two looks at what there is to tell.
const FLUSH_MS: u64 = 40;

/// Notes in one datagram, so that it fits an Ethernet frame: a note takes at most 20 bytes.
const MAX_NOTES: usize = 60;

/// Notes that wait for the next look at most; more are dropped, since they are only hints.
const MAX_PENDING: usize = 240;

/// Largest datagram read.
const RECEIVE_BYTES: usize = 2_048;

/// Oldest note that is believed.
const MAX_AGE_US: u32 = 2_000_000;

/// What a VM saw of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Sight {
    /// The leaf answered again after a time without answers.
    Resumed {
        /// Time since then.
        age_us: u32,
        /// Time without answers.
        duration_us: u32,
    },
    /// The leaf has not answered open calls for much longer than usual.
    Stalled,
    /// A call was given up without an answer, or broke off.
    Silent,
}

/// A sight of one leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Note {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// What was seen.
    pub sight: Sight,
}

/// Notes that wait to be sent.
#[derive(Debug, Default)]
pub struct Pending {
    notes: Vec<(u64, Note)>,
}

impl Pending {
    /// Adds a note at a time.
    pub fn add(&mut self, leaf: SocketAddr, sight: Sight, now_us: u64) {
        if self.notes.len() < MAX_PENDING {
            self.notes.push((now_us, Note { leaf, sight }));
        }
    }

    /// Takes all notes, with their ages at `now_us`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Pending, Sight};
    /// let mut pending = Pending::default();
    /// let leaf = ([127, 0, 0, 1], 7000).into();
    /// pending.add(leaf, Sight::Resumed { age_us: 0, duration_us: 200_000 }, 1_000);
    /// let notes = pending.take(1_500);
    /// assert_eq!(notes[0].sight, Sight::Resumed { age_us: 500, duration_us: 200_000 });
    /// ```
    pub fn take(&mut self, now_us: u64) -> Vec<Note> {
        let mut notes = Vec::with_capacity(self.notes.len());
        for (seen_us, mut note) in self.notes.drain(..) {
            if let Sight::Resumed { age_us, .. } = &mut note.sight {
                let waited_us = u32::try_from(now_us.saturating_sub(seen_us));
                *age_us = age_us.saturating_add(waited_us.unwrap_or(u32::MAX));
            }
            notes.push(note);
        }
        notes
    }
}

/// Returns the stall that a note tells of, on this VM's clock.
pub fn resumed_stall(age_us: u32, duration_us: u32, now_us: u64) -> Option<Stall> {
    if age_us > MAX_AGE_US {
        return None;
    }
    let end_us = now_us.saturating_sub(u64::from(age_us));
    Some(Stall {
        start_us: end_us.saturating_sub(u64::from(duration_us)),
        end_us,
    })
}

/// Sends this VM's notes to the other carriers until the task is dropped.
pub async fn send(socket: Arc<UdpSocket>, engine: Arc<Engine>, members: Arc<Members>) {
    let port = socket.local_addr().map_or(0, |address| address.port());
    loop {
        sleep(Duration::from_millis(FLUSH_MS)).await;
        let notes = engine.take_notes();
        if notes.is_empty() {
            continue;
        }
        let carriers = engine.carriers(&members.live());
        for part in notes.chunks(MAX_NOTES) {
            let bytes = match encode(&part.to_vec()) {
                Ok(bytes) => bytes,
                Err(error) => {
                    warn!(event = "notes_not_encoded", %error);
                    continue;
                }
            };
            for carrier in &carriers {
                if carrier.address == members.address() {
                    continue;
                }
                let to = SocketAddr::new(carrier.address.ip(), port);
                if let Err(error) = socket.send_to(&bytes, to).await {
                    debug!(event = "notes_not_sent", %to, %error);
                }
            }
        }
    }
}

/// Takes other carriers' notes until the task is dropped.
pub async fn receive(socket: Arc<UdpSocket>, engine: Arc<Engine>) {
    let mut buffer = vec![0; RECEIVE_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(event = "notes_not_received", %error);
                sleep(Duration::from_millis(FLUSH_MS)).await;
                continue;
            }
        };
        match decode::<Vec<Note>>(&buffer[..length]) {
            Ok(notes) => engine.take_hearsay(&notes, boot_us()),
            Err(error) => warn!(event = "notes_malformed", %from, %error),
        }
    }
}
