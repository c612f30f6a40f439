//! Selects the active VMs, and divides connections, retry budgets and rates among the VMs that use the
//! leaves.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use super::{Engine, State};
use crate::clock::boot_ms;
use crate::gateway::catalog_sync::{MAX_VMS_ALL_WATCH, STARTUP_SETTLE_MS};
use crate::gateway::membership::LiveVm;
use crate::gateway::vm_selection::{active_vms, desired_active_vms, leaf_using_vms};

/// Active VMs, and what they were selected from.
#[derive(Debug)]
pub(super) struct ActiveVms {
    live: Arc<[LiveVm]>,
    desired: usize,
    selected: Arc<[LiveVm]>,
    /// Number of VMs that use the leaves.
    leaf_users: usize,
}

impl Engine {
    /// Sets the number of VMs that are listed in the settings, this one included.
    pub fn set_listed_vms(&self, listed_vms: usize) {
        self.listed_vms.store(listed_vms, Ordering::Relaxed);
    }

    /// Returns the least number of VMs with which this VM shares connections and retry budgets.
    ///
    /// After its start a VM has discovered only some of the others, while those that start at the
    /// same moment take their shares as well. All VMs of a small fleet use the leaves; of a large one, only as
    /// many as the connections suffice for.
    pub(super) fn min_sharing_vms(&self, state: &State) -> u32 {
        if boot_ms().saturating_sub(self.started_ms) >= STARTUP_SETTLE_MS {
            return 1;
        }
        let route_table = state.route_table.as_ref();
        let min_connections = route_table.and_then(|table| table.min_shard_connections());
        let listed = self.listed_vms.load(Ordering::Relaxed);
        let listed = if listed <= MAX_VMS_ALL_WATCH {
            listed
        } else {
            1
        };
        let desired = min_connections.map_or(1, desired_active_vms).max(listed);
        u32::try_from(desired).unwrap_or(u32::MAX)
    }

    /// Selects the active VMs, which serve requests, and divides connections and retry budgets among
    /// the VMs that use the leaves.
    pub fn update_active_vms(&self, live: &Arc<[LiveVm]>) {
        self.live_vms.store(live.len(), Ordering::Relaxed);
        let selection = self.selection(live, |selection| {
            (Arc::clone(&selection.selected), selection.leaf_users)
        });
        let (active_vms, leaf_users) = selection;
        let addresses = active_vms.iter().map(|active_vm| active_vm.address);
        let addresses: Arc<[SocketAddr]> = addresses.collect();
        self.set_vms(u32::try_from(leaf_users.max(1)).unwrap_or(u32::MAX));
        *self
            .active_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns the number of live VMs, including this one.
    pub fn live_vms(&self) -> usize {
        self.live_vms.load(Ordering::Relaxed)
    }

    /// Returns the internal addresses of the active VMs that were last set.
    pub fn active_vm_addresses(&self) -> Arc<[SocketAddr]> {
        let addresses = self.active_addresses.lock();
        Arc::clone(&addresses.unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the number of VMs among which connections, retry budgets and the rates that leaves name
    /// are divided.
    pub fn set_vms(&self, vms: u32) {
        let state = &mut *self.state();
        state.leaves.sharing_vms.set_live(vms, boot_ms());
        let vms = vms.max(self.min_sharing_vms(state));
        if state.vms == vms {
            return;
        }
        state.vms = vms;
        state.retry_budgets.set_vms(vms);
        state.update_connection_limits();
    }

    /// Returns the VMs of `live` that should be active, by the connection limits in the current
    /// routes. They are selected again only if the list or the limits have changed.
    pub fn active_vms(&self, live: &Arc<[LiveVm]>) -> Arc<[LiveVm]> {
        self.selection(live, |selection| Arc::clone(&selection.selected))
    }

    fn selection<T>(&self, live: &Arc<[LiveVm]>, read: impl FnOnce(&ActiveVms) -> T) -> T {
        let route_table = self.route_table();
        let min_connections =
            route_table.and_then(|route_table| route_table.min_shard_connections());
        let desired = min_connections.map_or(live.len(), desired_active_vms);
        let latest = self.active_vms.lock();
        let mut latest = latest.unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = &*latest
            && known.desired == desired
            && Arc::ptr_eq(&known.live, live)
        {
            return read(known);
        }
        read(latest.insert(ActiveVms {
            live: Arc::clone(live),
            desired,
            selected: active_vms(live, desired).into(),
            leaf_users: leaf_using_vms(live, desired).len(),
        }))
    }
}
