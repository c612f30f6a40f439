//! Membership of 8 separate processes: partitions, replaced and superseded VMs, and false facts.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cloverrack::fact::{Fact, LeafState, VmState};
use cloverrack::gossip::{Datagram, MessageKind};
use cloverrack::wire::{PROTOCOL_VERSION, encode};
use cloverrack::{Incarnation, Outcome};
use serde_json::Value;
use support::{Cluster, ClusterSpec, eventually, request};
use tokio::net::UdpSocket;

const VMS: usize = 8;
const KEY: &str = "cloverrack/config/test";

/// Process start time in the far future, as a broken clock reports it.
const FUTURE_START_UNIX_MS: u64 = 4_000_000_000_000;

fn spec() -> ClusterSpec {
    ClusterSpec {
        vms: VMS,
        ..ClusterSpec::default()
    }
}

/// Returns the state and incarnation of `vm` in the membership view of the VM `by`.
async fn observed_state(cluster: &Cluster, by: usize, vm: usize) -> Option<(String, String)> {
    let status = cluster.status(by).await?;
    let address = cluster.daemons[vm].internal_address.to_string();
    let line = status["vms"]
        .as_array()?
        .iter()
        .find(|line| line["address"] == address)?;
    let owned_text = |value: &Value| Some(value.as_str()?.to_owned());
    Some((
        owned_text(&line["state"])?,
        owned_text(&line["incarnation"])?,
    ))
}

async fn wait_until_observed(cluster: &Cluster, by: usize, vm: usize, state: &str) {
    eventually("the VM is observed in the expected state", async || {
        observed_state(cluster, by, vm)
            .await
            .is_some_and(|(observed_state, _)| observed_state == state)
    })
    .await;
}

async fn revision(cluster: &Cluster, vm: usize) -> Option<u64> {
    let status = cluster.status(vm).await?;
    let documents = status["documents"].as_array()?;
    let document = documents.iter().find(|d| d["name"] == "config/test")?;
    document["version"]["revision"].as_u64()
}

/// Starts a cluster and waits until every VM observes all VMs as alive.
async fn start() -> Cluster {
    let cluster = Cluster::start(spec()).await;
    for by in 0..VMS {
        for vm in 0..VMS {
            wait_until_observed(&cluster, by, vm, "alive").await;
        }
    }
    cluster
}

/// Sends facts to one VM from the address of another one, whose process must not be running.
async fn send_forged_facts(from: SocketAddr, to: SocketAddr, facts: Vec<Fact>) {
    let socket = UdpSocket::bind(from).await.unwrap();
    let message = Datagram {
        protocol_version: PROTOCOL_VERSION,
        incarnation: Incarnation::new(FUTURE_START_UNIX_MS, 1),
        digest: 0,
        kind: MessageKind::Push,
        facts,
    };
    socket
        .send_to(&encode(&message).unwrap(), to)
        .await
        .unwrap();
}

/// Guards against a partition during which one side stops serving, after which the sides do not
/// merge without an operator, or after which one side keeps an old configuration.
#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_serve_and_it_heals_by_itself() {
    let cluster = start().await;
    let side = |range: std::ops::Range<usize>| -> Vec<SocketAddr> {
        range
            .map(|vm| cluster.daemons[vm].internal_address)
            .collect()
    };
    // The second half also loses its connection to the platform.
    let mut others = side(0..4);
    others.push(cluster.platform.address());
    for vm in 0..VMS {
        if vm < 4 {
            cluster.cut(vm, &side(4..8)).await;
        } else {
            cluster.cut(vm, &others).await;
        }
    }
    let before = revision(&cluster, 4).await;
    let newest = cluster.platform.put(KEY, cluster.config("connect_ms = 5"));
    for (by, vm) in [(0, 4), (3, 7), (4, 0), (7, 3)] {
        wait_until_observed(&cluster, by, vm, "dead").await;
    }
    for vm in 0..VMS {
        for number in 0..3 {
            let id = format!("cut-{vm}-{number}");
            let answer = cluster.query(vm, &request(&id)).await.unwrap();
            assert_eq!(answer.outcome, Outcome::Complete, "vm {vm}: {answer:?}");
        }
    }
    assert_eq!(revision(&cluster, 0).await, Some(newest));
    assert_eq!(revision(&cluster, 4).await, before);
    for vm in 0..VMS {
        let platform = [cluster.platform.address()];
        // The platform stays unreachable for the second half, which must get the file from the
        // first.
        let cut: &[SocketAddr] = if vm < 4 { &[] } else { &platform };
        cluster.cut(vm, cut).await;
    }
    for by in 0..VMS {
        for vm in 0..VMS {
            wait_until_observed(&cluster, by, vm, "alive").await;
        }
        eventually("the newest configuration is in force", async || {
            revision(&cluster, by).await == Some(newest)
        })
        .await;
    }
}

/// Guards against a replacement that is mistaken for its predecessor on the same address, and
/// against a killed VM that is not detected as dead within 8 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_vm_is_told_from_its_predecessor() {
    let mut cluster = start().await;
    cluster.daemons[3].kill();
    cluster.spawn(3);
    eventually("the replacement reports its status", async || {
        cluster.status(3).await.is_some()
    })
    .await;
    let own = cluster.status(3).await.unwrap()["incarnation"].clone();
    for by in 0..VMS {
        eventually("the replacement is observed as alive", async || {
            observed_state(&cluster, by, 3)
                .await
                .is_some_and(|(state, incarnation)| state == "alive" && own == *incarnation)
        })
        .await;
    }
    cluster.daemons[3].kill();
    let killed = Instant::now();
    for by in [0, 1, 2, 4, 5, 6, 7] {
        wait_until_observed(&cluster, by, 3, "dead").await;
    }
    assert!(
        killed.elapsed() < Duration::from_secs(8),
        "{:?}",
        killed.elapsed()
    );
}

/// Guards against two processes that serve as the same VM: the superseded one must refuse new
/// requests and exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_superseded_process_stops_serving() {
    let mut cluster = start().await;
    // A process that found no peer at startup asserts ownership of its address for a few seconds.
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.daemons[7].kill();
    let successor = Fact::Vm {
        address: cluster.daemons[0].internal_address,
        generation: 1,
        incarnation: Incarnation::new(1, 1),
        refutation: 0,
        state: VmState::Alive,
    };
    let to = cluster.daemons[0].internal_address;
    send_forged_facts(cluster.daemons[7].internal_address, to, vec![successor]).await;
    let mut number = 0;
    eventually("the superseded process exits", async || {
        number += 1;
        // Within one tick, the process refuses every request that it has not started.
        tokio::time::sleep(Duration::from_millis(80)).await;
        if let Some(answer) = cluster.query(0, &request(&format!("s-{number}"))).await {
            assert_eq!(answer.outcome, Outcome::NotRun, "{answer:?}");
        }
        cluster.daemons[0].try_exit_code() == Some(0)
    })
    .await;
    let answer = cluster.query(1, &request("other")).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
}

/// Guards against a false leaf fact that persists: an observer with a broken clock or counter
/// publishes it with a high sequence number, and the owner's observation must replace it.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_corrects_a_false_leaf_fact() {
    let mut cluster = start().await;
    cluster.daemons[7].kill();
    for by in 0..7 {
        wait_until_observed(&cluster, by, 7, "dead").await;
    }
    let leaf = cluster.leaves[0][0].address();
    let false_fact = Fact::Leaf {
        address: leaf,
        sequence: 1 << 60,
        observer: Incarnation::new(FUTURE_START_UNIX_MS, 1),
        state: LeafState::Down,
        snapshots: Vec::new(),
    };
    let to = cluster.daemons[0].internal_address;
    send_forged_facts(cluster.daemons[7].internal_address, to, vec![false_fact]).await;
    // Without a correction by the owner, the false fact reaches all nodes within this time.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for by in 0..7 {
        eventually("the leaf is observed as up", async || {
            let status = cluster.status(by).await.unwrap();
            let lines = status["leaves"].as_array().unwrap().clone();
            let line = lines
                .iter()
                .find(|line| line["address"] == leaf.to_string());
            line.is_some_and(|line| line["state"] == "up")
        })
        .await;
    }
}
