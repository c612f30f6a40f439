//! What carriers tell each other about leaves: the ends of their pauses.
//!
//! Each VM sees only its own calls, a few a second to each leaf of a large fleet; the pauses that all
//! carriers see give the interval and the phases sooner. Ages travel instead of times, since the
//! clocks of VMs differ.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{debug, warn};

use super::engine::Engine;
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

/// A leaf answered again after a time without answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Note {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Time since it answered again.
    pub age_us: u32,
    /// Time without answers before.
    pub duration_us: u32,
}

/// Notes that wait to be sent.
#[derive(Debug, Default)]
pub struct Pending {
    notes: Vec<(u64, Note)>,
}

impl Pending {
    /// Adds a stall that ends now.
    pub fn add(&mut self, leaf: SocketAddr, stall: Stall) {
        if self.notes.len() >= MAX_PENDING {
            return;
        }
        let duration_us = stall.end_us.saturating_sub(stall.start_us);
        let note = Note {
            leaf,
            age_us: 0,
            duration_us: u32::try_from(duration_us).unwrap_or(u32::MAX),
        };
        self.notes.push((stall.end_us, note));
    }

    /// Takes all notes, with their ages at `now_us`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Pending, Stall};
    /// let mut pending = Pending::default();
    /// let stall = Stall { start_us: 1_000, end_us: 201_000 };
    /// pending.add(([127, 0, 0, 1], 7000).into(), stall);
    /// let notes = pending.take(201_500);
    /// assert_eq!((notes[0].age_us, notes[0].duration_us), (500, 200_000));
    /// ```
    pub fn take(&mut self, now_us: u64) -> Vec<Note> {
        let mut notes = Vec::with_capacity(self.notes.len());
        for (ended_us, mut note) in self.notes.drain(..) {
            let waited_us = now_us.saturating_sub(ended_us);
            note.age_us = u32::try_from(waited_us).unwrap_or(u32::MAX);
            notes.push(note);
        }
        notes
    }
}

impl Note {
    /// Returns the stall on this VM's clock; `None` for one that is too old to be told exactly.
    pub fn stall(&self, now_us: u64) -> Option<Stall> {
        if self.age_us > MAX_AGE_US {
            return None;
        }
        let end_us = now_us.saturating_sub(u64::from(self.age_us));
        Some(Stall {
            start_us: end_us.saturating_sub(u64::from(self.duration_us)),
            end_us,
        })
    }
}

/// Sends the notes of the VM with internal address `own` to the other carriers until the task is dropped.
pub async fn send(socket: Arc<UdpSocket>, engine: Arc<Engine>, own: SocketAddr) {
    let port = socket.local_addr().map_or(0, |address| address.port());
    loop {
        sleep(Duration::from_millis(FLUSH_MS)).await;
        let notes = engine.take_notes();
        if notes.is_empty() {
            continue;
        }
        let carriers = engine.carrier_addresses();
        for part in notes.chunks(MAX_NOTES) {
            let bytes = match encode(&part.to_vec()) {
                Ok(bytes) => bytes,
                Err(error) => {
                    warn!(event = "notes_not_encoded", %error);
                    continue;
                }
            };
            for carrier in carriers.iter().filter(|carrier| **carrier != own) {
                let to = SocketAddr::new(carrier.ip(), port);
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
