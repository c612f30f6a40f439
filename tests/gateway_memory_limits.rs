//! What a VM holds in memory, added up.

use cloverrack::gateway::MemoryLimits;

const MIB: usize = 1_048_576;

/// Limits that don't depend on the memory of a VM, and the process itself: an update from a peer, encoded and
/// decoded; an answer of the store; the history of the catalog; the configuration and its routes; the
/// connections to leaves; the rest of the process.
const FIXED_MIB: [usize; 7] = [4, 8, 6, 1, 3, 8, 12];

/// Guards against limits that together exceed the memory of a VM of any size on the users' platform.
#[test]
fn the_limits_together_fit_the_memory() {
    let fixed_bytes = FIXED_MIB.iter().sum::<usize>() * MIB;
    for memory_mib in [160, 256, 260, 512, 4_096] {
        let limits = MemoryLimits::new(memory_mib * MIB);
        let total_bytes = limits.total_bytes() + fixed_bytes;
        assert!(
            total_bytes <= memory_mib * MIB,
            "{memory_mib} MiB: {limits:?}"
        );
    }
}
