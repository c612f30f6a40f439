//! Applies the faults of the matrix at their steps, waits for their effects and heals them.

use std::time::{Duration, Instant};

use serde_json::json;

use super::checker::LEAVING_BOUND_MS;
use super::fault_run::{FaultLocation, FaultRun, WAIT_TIMEOUT};
use super::history::{LeavingTarget, PlannedStop};
use super::load::{status, unix_ms};
use super::matrix::{CALLS_PER_PHASE, Fault, Injection};
use super::{LeafOptions, eventually_within};

/// Time after which another revision is published if a step has not been reached.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(1);

impl FaultRun {
    /// Injects a fault at its step and returns whether the step was reached.
    pub async fn inject(&mut self, injection: Injection) -> bool {
        let Injection {
            fault,
            step,
            location,
        } = injection;
        if step == "config.published" {
            self.cluster.platform.set_stale(true);
            self.publish_config();
            self.apply(fault, location, false).await;
            if fault != Fault::PlatformStale {
                self.cluster.platform.set_stale(false);
            }
            self.wait_for_effect(fault, location).await;
            return true;
        }
        let action = match fault {
            Fault::Kill => json!("exit"),
            Fault::Freeze | Fault::FreezeUntilDead => json!("stop"),
            _ => json!("hold"),
        };
        // The delay gives another thread time to send the request to the leaf.
        let delay_ms = if step == "request.running" { 3 } else { 0 };
        let command = json!({ "name": step, "action": action, "delay_ms": delay_ms });
        self.send_fault_command(location.vm, "/v1/faults/step", &command)
            .await;
        let reached = self.wait_until_at_step(location.vm, step).await;
        let in_process = matches!(fault, Fault::Kill | Fault::Freeze | Fault::FreezeUntilDead);
        let release = json!({ "name": step, "action": "release" });
        if in_process && !reached {
            // Otherwise the step could be reached after healing and would stop the VM again.
            self.send_fault_command(location.vm, "/v1/faults/step", &release)
                .await;
        }
        self.apply(fault, location, reached && in_process).await;
        if !in_process {
            self.send_fault_command(location.vm, "/v1/faults/step", &release)
                .await;
        }
        self.wait_for_effect(fault, location).await;
        reached
    }

    /// Waits until a VM is at a step. For configuration steps it publishes revisions until then.
    ///
    /// A VM that is not a watcher may still have the watch request from its start open. It then
    /// reads a revision from the platform instead of from a peer. A later revision reaches it
    /// through a peer.
    async fn wait_until_at_step(&mut self, vm: usize, step: &str) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if step.starts_with("config.") {
                self.publish_config();
            }
            let at_step =
                eventually_within(REPUBLISH_INTERVAL, async || self.is_at(vm, step).await);
            if at_step.await {
                return true;
            }
        }
        false
    }

    /// Applies a fault from outside the process. `is_applied` means that a fail point has already
    /// ended or stopped the process.
    pub async fn apply(&mut self, fault: Fault, location: FaultLocation, is_applied: bool) {
        match fault {
            Fault::Kill => {
                if !is_applied {
                    self.cluster.daemons[location.vm].kill();
                }
                self.unreachable_vms.push(location.vm);
            }
            Fault::Freeze | Fault::FreezeUntilDead => {
                if !is_applied {
                    self.cluster.daemons[location.vm].signal("-STOP");
                }
                self.unreachable_vms.push(location.vm);
            }
            Fault::CutLink => {
                let peer = (location.vm + 1) % self.cluster.spec.vms;
                let peer = self.cluster.daemons[peer].internal_address;
                self.cut(location.vm, &[peer]).await;
            }
            Fault::Partition => self.partition(location.vm).await,
            Fault::PlatformDown => {
                self.is_platform_unreadable = true;
                self.cluster.platform.set_down(true);
            }
            Fault::PlatformStale => {
                self.is_platform_unreadable = true;
                self.serve_stale().await;
            }
            Fault::ConcurrentPublishes => self.publish_concurrently(),
            Fault::PlannedStop => self.signal_stop(location.vm),
            Fault::LaggingVmList => {
                let list = self.vm_list(Some(location.vm));
                self.publish_vms(list);
            }
            _ => self.apply_to_leaf(fault, location).await,
        }
    }

    async fn apply_to_leaf(&mut self, fault: Fault, location: FaultLocation) {
        match fault {
            Fault::Straggler => self.leaf(location).set(|leaf| {
                leaf.straggler_ppm = 1_000_000;
                leaf.straggler_factor = 200;
            }),
            Fault::ReplicaLost => self.leaf(location).stop(),
            Fault::TargetDraining => {
                self.leaf(location).set(|leaf| leaf.draining = true);
                self.record_leaving(location);
            }
            Fault::TargetListedLeaving => {
                self.listed_leaving.push(self.leaf(location).address());
                let list = self.vm_list(None);
                self.publish_vms(list);
                if self.is_platform_unreadable {
                    self.unread_announcements.push(self.history.leaving.len());
                }
                self.record_leaving(location);
            }
            Fault::TargetCold => {
                let cold = LeafOptions {
                    cold: true,
                    connect_ms: 50,
                    service_us: 30_000,
                    ..self.healthy_leaf()
                };
                self.rebind(location, cold).await;
            }
            Fault::VersionChange => self.roll_out((self.version + 1, self.layout)).await,
            Fault::Repartitioning => self.roll_out((self.version, 3 - self.layout)).await,
            Fault::CrashingRequest => self.crash_targets(location.vm).await,
            _ => {}
        }
    }

    /// Waits until the effect that the fault must have before healing is observed, or until
    /// [`WAIT_TIMEOUT`]. No process is held at a step any more.
    pub async fn wait_for_effect(&mut self, fault: Fault, location: FaultLocation) {
        match fault {
            Fault::FreezeUntilDead | Fault::Partition => self.wait_until_dead(location.vm).await,
            Fault::PlannedStop => self.wait_until_stopped(location.vm).await,
            Fault::TargetDraining | Fault::TargetListedLeaving => {
                self.wait_for_leaving_bound(location).await
            }
            _ => {}
        }
    }

    /// Heals a fault.
    pub async fn heal(&mut self, injection: Injection) {
        let location = injection.location;
        self.unreachable_vms.retain(|vm| *vm != location.vm);
        match injection.fault {
            Fault::Kill | Fault::PlannedStop => self.cluster.spawn(location.vm),
            Fault::Freeze | Fault::FreezeUntilDead => {
                self.cluster.daemons[location.vm].signal("-CONT")
            }
            Fault::CutLink => self.cut(location.vm, &[]).await,
            Fault::Partition => {
                for vm in 0..self.cluster.spec.vms {
                    self.cut(vm, &[]).await;
                }
            }
            Fault::PlatformDown => {
                self.cluster.platform.set_down(false);
                self.record_readable_announcements();
            }
            Fault::PlatformStale => {
                self.cluster.platform.set_stale(false);
                self.record_readable_announcements();
            }
            Fault::LaggingVmList => {
                let list = self.vm_list(None);
                self.publish_vms(list);
            }
            Fault::TargetListedLeaving => {
                self.history.leaving.iter_mut().for_each(|l| {
                    l.returned_ms = l.returned_ms.min(unix_ms());
                });
                self.listed_leaving.clear();
                let list = self.vm_list(None);
                self.publish_vms(list);
            }
            Fault::TargetDraining => self.end_draining(location),
            Fault::Straggler | Fault::TargetCold => {
                let healthy = self.healthy_leaf();
                self.leaf(location).set(|leaf| *leaf = healthy);
            }
            Fault::ReplicaLost => {
                let healthy = self.healthy_leaf();
                self.rebind(location, healthy).await;
            }
            Fault::CrashingRequest => self.rebind_crashed_leaves().await,
            Fault::ConcurrentPublishes | Fault::VersionChange | Fault::Repartitioning => {}
        }
    }

    /// Waits until another VM lists this one as dead.
    async fn wait_until_dead(&mut self, vm: usize) {
        let address = self.cluster.daemons[vm].internal_address.to_string();
        let observer = (vm + 2) % self.cluster.spec.vms;
        let operator = self.addresses.operators[observer];
        eventually_within(WAIT_TIMEOUT, async || {
            let page = status(operator).await.unwrap_or_default();
            let vms = page["vms"].as_array().cloned().unwrap_or_default();
            vms.iter()
                .any(|vm| vm["address"] == *address && vm["state"] == "dead")
        })
        .await;
    }

    /// Cuts the links between two groups: the VM and its successor, and all other VMs.
    async fn partition(&mut self, vm: usize) {
        let vms = self.cluster.spec.vms;
        let group = [vm, (vm + 1) % vms];
        for one in 0..vms {
            let mut peers = Vec::new();
            for other in 0..vms {
                if group.contains(&one) != group.contains(&other) {
                    peers.push(self.cluster.daemons[other].internal_address);
                }
            }
            self.cut(one, &peers).await;
        }
    }

    /// Serves the platform's initial content. The short outage makes watchers read from the
    /// beginning.
    async fn serve_stale(&mut self) {
        self.cluster.platform.set_down(true);
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.cluster
            .platform
            .serve_backup(self.initial_backup.clone());
        self.cluster.platform.set_down(false);
    }

    /// Publishes a valid, an invalid and another valid configuration file in immediate succession.
    fn publish_concurrently(&mut self) {
        let invalid = "region = \"test\"\nnot_a_key = 1\n";
        self.publish_config();
        let key = "cloverrack/config/test";
        self.cluster.platform.put(key, invalid);
        self.publish_config();
    }

    fn signal_stop(&mut self, vm: usize) {
        self.history.stops.push(PlannedStop {
            vm,
            signalled_ms: unix_ms(),
            ended_ms: 0,
            exit_code: None,
        });
        self.cluster.daemons[vm].signal("-TERM");
    }

    async fn wait_until_stopped(&mut self, vm: usize) {
        self.unreachable_vms.push(vm);
        let daemon = &mut self.cluster.daemons[vm];
        eventually_within(WAIT_TIMEOUT, async || daemon.try_exit_code().is_some()).await;
        let exit_code = daemon.try_exit_code();
        if let Some(stop) = self.history.stops.iter_mut().rfind(|stop| stop.vm == vm) {
            stop.ended_ms = unix_ms();
            stop.exit_code = exit_code;
        }
    }

    /// Returns the current VM list, `without` the VM that a lagging list does not contain yet.
    fn vm_list(&self, without: Option<usize>) -> String {
        let mut list: serde_json::Value =
            serde_json::from_str(&self.cluster.vm_list(&[])).unwrap_or_default();
        if let (Some(vm), Some(vms)) = (without, list["vms"].as_array_mut()) {
            vms.remove(vm);
        }
        list["leaving_targets"] = json!(self.listed_leaving);
        list.to_string()
    }

    /// Sets the announcement time of all unread announcements to the current time, at which VMs can
    /// read them for the first time.
    fn record_readable_announcements(&mut self) {
        self.is_platform_unreadable = false;
        for announcement in self.unread_announcements.drain(..) {
            self.history.leaving[announcement].announced_ms = unix_ms();
        }
    }

    fn record_leaving(&mut self, location: FaultLocation) {
        let leaving = LeavingTarget {
            leaf: self.leaf(location).address(),
            announced_ms: unix_ms(),
            returned_ms: u64::MAX,
            refused_late: 0,
        };
        self.history.leaving.push(leaving);
    }

    /// Waits until [`LEAVING_BOUND_MS`] has passed, and records how many calls the target had
    /// refused until then.
    async fn wait_for_leaving_bound(&mut self, location: FaultLocation) {
        let address = self.leaf(location).address();
        let announced_ms = self.history.leaving.last().map_or(0, |l| l.announced_ms);
        let bound_ms = announced_ms + LEAVING_BOUND_MS;
        let wait = Duration::from_millis(bound_ms.saturating_sub(unix_ms()));
        tokio::time::sleep(wait).await;
        let refused = self.leaf(location).counts().refused_draining;
        let leaving = self.history.leaving.iter_mut();
        for leaving in leaving.filter(|leaving| leaving.leaf == address) {
            leaving.refused_late = refused;
        }
    }

    fn end_draining(&mut self, location: FaultLocation) {
        let address = self.leaf(location).address();
        let refused = self.leaf(location).counts().refused_draining;
        for leaving in &mut self.history.leaving {
            if leaving.leaf == address {
                leaving.returned_ms = unix_ms();
                // The counter of a leaf that was replaced meanwhile starts at zero.
                leaving.refused_late = refused.saturating_sub(leaving.refused_late);
            }
        }
        self.leaf(location).set(|leaf| leaf.draining = false);
    }

    /// Adds another snapshot to the leaves one by one, and then removes the old one.
    async fn roll_out(&mut self, to: (u64, u32)) {
        let from = (self.version, self.layout);
        for snapshots in [vec![to, from], vec![to]] {
            for leaf in self.cluster.leaves.iter().flatten() {
                leaf.set(|leaf| leaf.snapshots.clone_from(&snapshots));
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
            self.wait_for_calls(CALLS_PER_PHASE).await;
        }
        (self.version, self.layout) = to;
    }

    /// Sends a request whose content crashes leaves, and resends it through other VMs.
    async fn crash_targets(&mut self, vm: usize) {
        let payload = format!("crash-target {vm}");
        for attempt in 0..3 {
            let vm = (vm + attempt) % self.cluster.spec.vms;
            self.send_recorded(vm, "crashing", &payload).await;
        }
    }

    async fn rebind_crashed_leaves(&mut self) {
        let healthy = self.healthy_leaf();
        for shard in 0..self.cluster.spec.shards {
            for replica in 0..self.cluster.spec.replicas {
                let address = self.cluster.leaves[shard][replica].address();
                if tokio::net::TcpStream::connect(address).await.is_ok() {
                    continue;
                }
                let location = FaultLocation {
                    vm: 0,
                    shard,
                    replica,
                };
                self.rebind(location, healthy.clone()).await;
            }
        }
    }
}
