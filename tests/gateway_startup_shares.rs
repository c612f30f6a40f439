//! Shares of connections and retry budgets that a VM uses while it has discovered no other VM.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::time::Duration;

use cloverrack::gateway::catalog_sync::STARTUP_SETTLE_MS;
use cloverrack::gateway::{Engine, connection_share, desired_active_vms};
use gateway::{Leaf, LeafBehaviour, engine, gather_route, publish};

/// Connections that a leaf of the harness accepts.
const MAX_CONNECTIONS: u32 = 31;

fn connections_per_leaf(engine: &Engine) -> u32 {
    let state = &mut *engine.state();
    let service = state.names.intern("s");
    state.limits.per_leaf(service)
}

/// Guards against VMs that start together and each take all connections of a leaf, since none has
/// discovered the others, and against a VM that stays alone and never gets them.
#[tokio::test]
async fn a_vm_that_has_just_started_shares_with_vms_that_it_does_not_know() {
    let engine = engine();
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Answer).await;
    let routes = vec![gather_route("/g/", &["s"], 1_000_000)];
    publish(&engine, 1, routes, &[("s", &leaf)]);
    let sharing = u32::try_from(desired_active_vms(MAX_CONNECTIONS)).unwrap();
    let share = connection_share(MAX_CONNECTIONS, sharing);
    assert!(share < connection_share(MAX_CONNECTIONS, 1));
    assert_eq!(connections_per_leaf(&engine), share);
    engine.set_vms(1);
    assert_eq!(connections_per_leaf(&engine), share);
    engine.set_vms(7);
    assert_eq!(
        connections_per_leaf(&engine),
        connection_share(MAX_CONNECTIONS, 7)
    );
    tokio::time::sleep(Duration::from_millis(STARTUP_SETTLE_MS)).await;
    engine.set_vms(1);
    assert_eq!(
        connections_per_leaf(&engine),
        connection_share(MAX_CONNECTIONS, 1)
    );
}

/// Guards against VMs of a small fleet that start together and each take the budget and the connections of
/// more than one: leaves with few connections suffice for two VMs with usual shares, but all VMs use them.
#[tokio::test]
async fn a_vm_that_has_just_started_shares_with_the_vms_in_its_settings() {
    const LISTED_VMS: usize = 7;
    let engine = engine();
    engine.set_listed_vms(LISTED_VMS);
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Answer).await;
    let routes = vec![gather_route("/g/", &["s"], 1_000_000)];
    publish(&engine, 1, routes, &[("s", &leaf)]);
    assert!(desired_active_vms(MAX_CONNECTIONS) < LISTED_VMS);
    engine.set_vms(1);
    assert_eq!(engine.state().vms, 7);
}
