//! Benchmark of the control plane: gossip state machines that exchange datagrams in memory under a
//! virtual clock, the compilation of a fleet, and the time until a file is in force on 8 processes.
//!
//! Prints key=value lines. Arguments select parts: `gossip`, `processes`, and numbers of nodes.

#![allow(
    clippy::unwrap_used,
    reason = "a benchmark stops at the first failed set-up step"
)]

#[path = "control/gossip.rs"]
mod gossip;
#[path = "control/processes.rs"]
mod processes;

/// Fleet sizes that are measured if no argument gives a size.
const SIZES: &[usize] = &[8, 50, 200, 760];

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench")
        .collect();
    let is_selected = |name: &str| arguments.is_empty() || arguments.iter().any(|a| a == name);
    let mut sizes: Vec<usize> = arguments.iter().filter_map(|a| a.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = SIZES.to_vec();
    }
    if is_selected("gossip") {
        gossip::run(&sizes);
    }
    if is_selected("processes") {
        processes::run();
    }
}
