//! Faults of the benchmark cases.

use std::time::Duration;

use cloverrack_standins::LeafStandin;
use tokio::task::JoinHandle;

use crate::support::Cluster;

/// Time between the start of the measurement and the loss of leaves or VMs.
pub const INJECT_AFTER: Duration = Duration::from_secs(1);

/// Interval between two versions of the index.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two replicas of a shard that switch to a new version.
const REPLICA_LAG: Duration = Duration::from_millis(150);

/// Ratio of the service time of the slow leaf to that of the others.
const SLOW_FACTOR: u64 = 20;

/// A fault under which a case runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the bound that the other cases are compared with.
    None,
    /// This share of calls, in parts per million, takes 20 times as long.
    Stragglers(u32),
    /// One leaf takes 20 times as long.
    SlowLeaf,
    /// One replica of each shard is lost.
    LostReplicas,
    /// The leaves and VMs of one failure domain are lost.
    LostDomain,
    /// A new version of the index is loaded every second and the old one is removed.
    VersionChanges,
}

impl Fault {
    pub fn name(self) -> String {
        match self {
            Self::None => "no_fault".to_owned(),
            Self::Stragglers(ppm) => format!("straggler_{}_percent", ppm / 10_000),
            Self::SlowLeaf => "slow_leaf".to_owned(),
            Self::LostReplicas => "lost_replicas".to_owned(),
            Self::LostDomain => "lost_domain".to_owned(),
            Self::VersionChanges => "version_changes".to_owned(),
        }
    }

    /// Returns whether callers use a VM; callers of a lost VM are not measured.
    pub fn is_vm_used(self, vm: usize) -> bool {
        self != Self::LostDomain || !vm.is_multiple_of(3)
    }

    /// Sets the faults that last from the start.
    pub fn prepare(self, leaves: &[Vec<LeafStandin>]) {
        match self {
            Self::Stragglers(ppm) => {
                for leaf in leaves.iter().flatten() {
                    leaf.set(|options| options.straggler_ppm = ppm);
                }
            }
            Self::SlowLeaf => leaves[0][0].set(|options| {
                options.service_us *= SLOW_FACTOR;
                options.service_spread_us *= SLOW_FACTOR;
            }),
            _ => {}
        }
    }

    /// Stops the leaves and VMs that are lost during the measurement.
    pub fn inject(self, cluster: &mut Cluster) {
        if !matches!(self, Self::LostReplicas | Self::LostDomain) {
            return;
        }
        for (shard, replicas) in cluster.leaves.iter().enumerate() {
            let lost = if self == Self::LostDomain {
                0
            } else {
                shard % replicas.len()
            };
            replicas[lost].stop();
        }
        for vm in 0..cluster.daemons.len() {
            if !self.is_vm_used(vm) {
                cluster.daemons[vm].kill();
            }
        }
    }

    /// Changes versions until the returned task is aborted.
    pub fn spawn_changes(self, leaves: &[Vec<LeafStandin>]) -> JoinHandle<()> {
        let leaves = leaves.to_vec();
        tokio::spawn(async move {
            if self != Self::VersionChanges {
                return;
            }
            let mut version = 1;
            loop {
                version += 1;
                change_version(&leaves, version).await;
                tokio::time::sleep(VERSION_INTERVAL.saturating_sub(REPLICA_LAG * 3)).await;
            }
        })
    }
}

/// Adds a version to the replicas of each shard one after another and removes all but the last two
/// versions.
async fn change_version(leaves: &[Vec<LeafStandin>], version: u64) {
    for replica in 0..leaves[0].len() {
        for shard in leaves {
            shard[replica].set(|options| {
                options.snapshots.push((version, 1));
                options
                    .snapshots
                    .retain(|(loaded, _)| loaded + 1 >= version);
            });
        }
        tokio::time::sleep(REPLICA_LAG).await;
    }
}
