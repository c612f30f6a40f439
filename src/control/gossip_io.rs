//! Socket and timer of gossip.
//!
//! Ticks detect failed VMs and pauses of this process, and recompile the view that routes requests.
//! Malformed datagrams and those from unknown addresses are dropped.

use std::sync::Arc;
use std::time::Duration;

use tracing::{debug, error, warn};

use super::ControlPlane;
use crate::clock::boot_ms;
use crate::faults::is_link_cut;
use crate::gossip::{Datagram, Outgoing};
use crate::telemetry::CpuTimer;
use crate::wire::encode;

/// Interval between two ticks of gossip.
const TICK_INTERVAL_MS: u64 = 50;

/// Ticks between two maintenance runs.
const MAINTENANCE_INTERVAL_TICKS: u64 = 10;

/// Size of the receive buffer; no UDP datagram is larger.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

impl ControlPlane {
    pub(super) async fn run_gossip(self: Arc<Self>) {
        let mut interval = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0_u64;
        loop {
            interval.tick().await;
            ticks += 1;
            let out = self.tick(ticks);
            self.send(out).await;
        }
    }

    /// Runs one tick and returns the datagrams to send.
    fn tick(&self, ticks: u64) -> Outgoing {
        let cpu = CpuTimer::start();
        let now_ms = boot_ms();
        if self.pause_detector.tick(now_ms) {
            warn!(event = "pause_detected");
        }
        let (out, needs_compilation, superseded) = {
            let state = &mut *self.state();
            let out = state.gossip.tick(now_ms, &mut state.rng);
            let needs_compilation = state.needs_compilation(now_ms);
            (out, needs_compilation, state.gossip.is_superseded())
        };
        if superseded && !self.superseded.is_cancelled() {
            error!(event = "superseded", incarnation = %self.incarnation);
            self.superseded.cancel();
        }
        if needs_compilation {
            self.recompile();
        }
        if ticks.is_multiple_of(MAINTENANCE_INTERVAL_TICKS) {
            self.run_maintenance();
        }
        self.telemetry.count_control_cpu(&cpu);
        out
    }

    async fn send(&self, out: Outgoing) {
        for (to, message) in out {
            let Ok(bytes) = encode(&message) else {
                continue;
            };
            if is_link_cut(to) {
                continue;
            }
            if let Ok(sent) = self.socket.send_to(&bytes, to).await {
                self.telemetry.count_control_bytes("udp", "sent", sent);
            }
        }
    }

    pub(super) async fn run_receive(self: Arc<Self>) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if is_link_cut(from) {
                continue;
            }
            self.telemetry
                .count_control_bytes("udp", "received", length);
            let cpu = CpuTimer::start();
            let message = match Datagram::read(&buffer[..length]) {
                Ok((message, 0)) => message,
                Ok((message, unread)) => {
                    debug!(event = "facts_unknown", %from, unread);
                    message
                }
                Err(error) => {
                    warn!(event = "datagram_malformed", %from, length_bytes = length, %error);
                    continue;
                }
            };
            let out = {
                let mut state = self.state();
                let state = &mut *state;
                if !state.gossip.is_known_peer(from) {
                    debug!(event = "datagram_refused", %from);
                    continue;
                }
                let (out, new_facts) =
                    state
                        .gossip
                        .receive(from, message, boot_ms(), &mut state.rng);
                self.update_views(state, &new_facts);
                out
            };
            self.telemetry.count_control_cpu(&cpu);
            self.send(out).await;
        }
    }
}
