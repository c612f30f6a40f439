//! Distribution of the configuration to 8 separate processes: a file takes effect completely or not
//! at all, on every VM within 2 s, and is never reverted.
//!
//! The platform fails, stalls, returns old data or is restored from a backup meanwhile.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

mod support;

use std::time::{Duration, Instant};

use cloverrack::Outcome;
use cloverrack::answer::{Answer, Reason};
use serde_json::Value;
use support::{Cluster, ClusterSpec, eventually, exchange, request};

const VMS: usize = 8;
const KEY: &str = "cloverrack/config/test";

/// Longest time from a write to the platform until the file is in force on all VMs.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn spec() -> ClusterSpec {
    ClusterSpec {
        vms: VMS,
        ..ClusterSpec::default()
    }
}

fn revision_of(status: &Value) -> Option<(u64, u64)> {
    let documents = status["documents"].as_array()?;
    let document = documents.iter().find(|d| d["name"] == "config/test")?;
    let version = &document["version"];
    Some((version["epoch"].as_u64()?, version["revision"].as_u64()?))
}

async fn revision(cluster: &Cluster, vm: usize) -> Option<(u64, u64)> {
    revision_of(&cluster.status(vm).await?)
}

/// Waits until a version is in force on all VMs and returns the elapsed time.
async fn wait_until_in_force(cluster: &Cluster, version: (u64, u64)) -> Duration {
    let started = Instant::now();
    for vm in 0..cluster.daemons.len() {
        eventually("the version is in force", async || {
            revision(cluster, vm).await == Some(version)
        })
        .await;
    }
    started.elapsed()
}

/// Returns whether the history of a VM lists a revision in the given state.
///
/// `by` is the superseding revision, if any. A rejected revision must also have a reason.
async fn history_lists(
    cluster: &Cluster,
    vm: usize,
    state: &str,
    revision: u64,
    superseded_by: Option<u64>,
) -> bool {
    let Some(status) = cluster.status(vm).await else {
        return false;
    };
    let history = status["history"].as_array().cloned().unwrap_or_default();
    history.iter().any(|entry| {
        entry["name"] == "config/test"
            && entry["state"] == state
            && entry["version"]["revision"] == revision
            && entry["superseded_by"]["revision"].as_u64() == superseded_by
            && (state != "rejected" || entry["reason"].as_str().is_some_and(|r| !r.is_empty()))
    })
}

/// Returns the sum of a VM's metric series whose name starts with `name` and that contain `label`.
async fn counter(cluster: &Cluster, vm: usize, name: &str, label: &str) -> f64 {
    let operator = cluster.daemons[vm].operator_address;
    let (_, text) = exchange(operator, "GET", "/metrics", Vec::new())
        .await
        .unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter(|line| line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Guards against files that propagate too slowly, against files that take effect in part because
/// only some of their services are valid, and against nodes that call the platform although they
/// are not watchers.
#[tokio::test(flavor = "multi_thread")]
async fn a_file_is_in_force_everywhere_within_two_seconds_or_nowhere() {
    let cluster = Cluster::start(spec()).await;
    let mut last = 0;
    for round in 0..5 {
        last = cluster
            .platform
            .put(KEY, cluster.config(&format!("connect_ms = {}", round + 1)));
        let took = wait_until_in_force(&cluster, (0, last)).await;
        assert!(took < IN_FORCE_LIMIT, "round {round}: {took:?}");
    }
    // The first service of this file is valid and new, the second is not.
    let broken = cluster.config("connect_ms = 9") + "[service.other]\npolicy = \"latency\"\n";
    let rejected = cluster.platform.put(KEY, broken);
    for vm in 0..VMS {
        eventually("the node lists the rejected file", async || {
            history_lists(&cluster, vm, "rejected", rejected, None).await
        })
        .await;
        assert_eq!(revision(&cluster, vm).await, Some((0, last)));
    }
    for vm in 0..VMS {
        assert!(counter(&cluster, vm, "cloverrack_control_bytes", "sent").await > 0.0);
        assert!(counter(&cluster, vm, "cloverrack_control_cpu_us", "").await > 0.0);
    }
    // On a busy machine, a VM may be considered dead for a moment while another one watches in its
    // place; the calls of such a period are not compared.
    eventually(
        "the watchers do not change while calls are counted",
        async || {
            let watchers = watcher_flags(&cluster).await;
            // All watch requests that are open now end within this time.
            tokio::time::sleep(Duration::from_secs(3)).await;
            let before = platform_calls(&cluster).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            let after = platform_calls(&cluster).await;
            if watcher_flags(&cluster).await != watchers {
                return false;
            }
            assert_eq!(watchers.iter().filter(|is_watcher| **is_watcher).count(), 3);
            for vm in 0..VMS {
                let calls = after[vm] - before[vm];
                assert_eq!(calls > 0.0, watchers[vm], "vm {vm}: {calls} calls");
            }
            true
        },
    )
    .await;
}

/// Returns, for each VM, whether it is a watcher of the platform.
async fn watcher_flags(cluster: &Cluster) -> Vec<bool> {
    let mut watchers = Vec::new();
    for vm in 0..VMS {
        let status = cluster.status(vm).await.unwrap();
        watchers.push(status["is_watcher"] == true);
    }
    watchers
}

async fn platform_calls(cluster: &Cluster) -> Vec<f64> {
    let mut calls = Vec::new();
    for vm in 0..VMS {
        calls.push(counter(cluster, vm, "cloverrack_platform_calls", "").await);
    }
    calls
}

/// Guards against a lost write that operators cannot find: of two concurrent writes, every node
/// must list the superseded one in its history.
#[tokio::test(flavor = "multi_thread")]
async fn a_superseded_concurrent_write_is_listed_on_every_node() {
    let cluster = Cluster::start(spec()).await;
    for round in 0..3 {
        let superseded = cluster.platform.put(KEY, cluster.config("connect_ms = 1"));
        // A watcher reads the first write or skips it; only a watcher that has read it can list it.
        tokio::time::sleep(Duration::from_millis(5)).await;
        let newest = cluster.platform.put(KEY, cluster.config("connect_ms = 2"));
        let took = wait_until_in_force(&cluster, (0, newest)).await;
        assert!(took < IN_FORCE_LIMIT, "round {round}: {took:?}");
        let mut is_first_write_listed = false;
        for vm in 0..VMS {
            is_first_write_listed |=
                history_lists(&cluster, vm, "accepted", superseded, None).await;
        }
        for vm in 0..VMS {
            eventually("the node lists the superseded write", async || {
                !is_first_write_listed
                    || history_lists(&cluster, vm, "superseded", superseded, Some(newest)).await
            })
            .await;
        }
        assert!(
            is_first_write_listed,
            "round {round}: no watcher read the first write"
        );
    }
}

/// Guards against nodes that cannot serve or join during a platform outage, and against a burst of
/// platform reads during the outage or when it ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_stops_neither_queries_nor_new_vms() {
    let mut cluster = Cluster::start(spec()).await;
    let newest = cluster.platform.put(KEY, cluster.config("connect_ms = 3"));
    wait_until_in_force(&cluster, (0, newest)).await;
    cluster.platform.set_down(true);
    let peer = cluster.daemons[1].internal_address.to_string();
    cluster.daemons[7].kill();
    cluster.spawn_with(7, &["--peers", &peer]);
    let joined = Instant::now();
    cluster.wait_until_covered().await;
    assert!(joined.elapsed() < Duration::from_secs(10));
    assert_eq!(revision(&cluster, 7).await, Some((0, newest)));
    assert_eq!(cluster.status(7).await.unwrap()["peer_check"], "done");
    // A node that joins through its peers needs no platform read.
    let reads = counter(&cluster, 7, "cloverrack_platform_calls", "").await;
    let is_watcher = cluster.status(7).await.unwrap()["is_watcher"] == true;
    assert!(
        reads == 0.0 || is_watcher,
        "{reads} platform reads by a node that joined through its peers"
    );
    let published = cluster.platform.put(KEY, cluster.config("connect_ms = 4"));
    let before = cluster.platform.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = cluster.platform.calls() - before;
    assert!(calls <= 60, "{calls} platform calls in 4 s of the outage");
    assert_eq!(revision(&cluster, 0).await, Some((0, newest)));
    let before = cluster.platform.calls();
    cluster.platform.set_down(false);
    wait_until_in_force(&cluster, (0, published)).await;
    let calls = cluster.platform.calls() - before;
    assert!(calls <= 12, "{calls} platform calls when the outage ended");
}

/// Guards against a platform restored from a backup that reverts the configuration in force, that
/// supplies a new VM with an old file, or whose lower revisions cannot take effect even with a
/// raised epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_platform_reverts_nothing_until_the_epoch_is_raised() {
    let mut cluster = Cluster::start(spec()).await;
    let backup = cluster.platform.backup();
    cluster.platform.put(KEY, cluster.config("connect_ms = 1"));
    let newest = cluster
        .platform
        .put(KEY, cluster.config("max_deadline_ms = 2500"));
    wait_until_in_force(&cluster, (0, newest)).await;
    cluster.platform.restore(backup);
    eventually(
        "a watcher reports that the platform is behind",
        async || {
            let mut behind = false;
            for vm in 0..VMS {
                let status = cluster.status(vm).await.unwrap();
                assert_eq!(revision_of(&status), Some((0, newest)), "vm {vm}");
                behind |= status["platform_behind"] == true;
            }
            behind
        },
    )
    .await;
    cluster.daemons[6].kill();
    cluster.spawn(6);
    eventually("the new VM answers a query", async || {
        cluster.query(6, &request("first")).await.is_some()
    })
    .await;
    assert_eq!(revision(&cluster, 6).await, Some((0, newest)));
    // A lower revision with new content is not applied, but every node lists it.
    let ignored = cluster.platform.put(KEY, cluster.config("connect_ms = 7"));
    assert!(ignored < newest);
    for vm in 0..VMS {
        eventually("the node lists the ignored revision", async || {
            history_lists(&cluster, vm, "superseded", ignored, Some(newest)).await
        })
        .await;
    }
    let raised = "epoch = 1\n".to_owned() + &cluster.config("connect_ms = 8");
    let raised = cluster.platform.put(KEY, raised);
    assert!(raised <= newest);
    let took = wait_until_in_force(&cluster, (1, raised)).await;
    assert!(took < IN_FORCE_LIMIT, "{took:?}");
}

/// Guards against a VM that starts while the platform is stale and serves with the old file,
/// although its peers have a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_vm_learns_from_peers_before_it_serves() {
    let mut cluster = Cluster::start(spec()).await;
    let backup = cluster.platform.backup();
    let newest = cluster
        .platform
        .put(KEY, cluster.config("max_deadline_ms = 100"));
    wait_until_in_force(&cluster, (0, newest)).await;
    cluster.platform.restore(backup);
    for vm in [2, 5, 7] {
        cluster.daemons[vm].kill();
        cluster.spawn(vm);
        let mut first: Option<Answer> = None;
        eventually("the new VM answers", async || {
            first = cluster.query(vm, &request("first")).await;
            first.is_some()
        })
        .await;
        // The deadline of the request exceeds the limit in the newest file.
        let reason = first.unwrap().reason;
        assert_eq!(reason, Some(Reason::BadDeadline), "vm {vm}");
    }
}

/// Guards against a file that is delayed by platform watches that never return: the other watchers,
/// or the watch timeout if all watches stall, must limit the delay.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_watches_delay_a_file_little() {
    let cluster = Cluster::start(spec()).await;
    cluster.platform.set_stalled_watches_of_three(2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for round in 0..3 {
        let next = cluster
            .platform
            .put(KEY, cluster.config(&format!("connect_ms = {}", round + 1)));
        let took = wait_until_in_force(&cluster, (0, next)).await;
        assert!(took < IN_FORCE_LIMIT, "round {round}: {took:?}");
    }
    cluster.platform.set_stalled_watches_of_three(3);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let next = cluster.platform.put(KEY, cluster.config("connect_ms = 9"));
    let took = wait_until_in_force(&cluster, (0, next)).await;
    assert!(
        took < Duration::from_secs(4),
        "all watches stalled: {took:?}"
    );
}

/// Guards against nodes that need every intermediate revision: after a stale period, the platform
/// may return only the last one.
#[tokio::test(flavor = "multi_thread")]
async fn skipped_revisions_are_harmless() {
    let cluster = Cluster::start(spec()).await;
    cluster.platform.set_stale(true);
    let mut last = 0;
    for round in 0..10 {
        last = cluster
            .platform
            .put(KEY, cluster.config(&format!("connect_ms = {}", round + 1)));
    }
    cluster.platform.set_stale(false);
    let took = wait_until_in_force(&cluster, (0, last)).await;
    assert!(took < IN_FORCE_LIMIT, "{took:?}");
}

/// Guards against a process that resumes after a pause and answers with its old configuration, also
/// before its first timer after the pause fires.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_process_updates_its_configuration_before_it_serves() {
    let cluster = Cluster::start(spec()).await;
    for round in 0..3 {
        let old = cluster
            .platform
            .put(KEY, cluster.config("max_deadline_ms = 5000"));
        wait_until_in_force(&cluster, (0, old)).await;
        cluster.daemons[0].signal("-STOP");
        cluster
            .platform
            .put(KEY, cluster.config("max_deadline_ms = 100"));
        // Longer than the pause detection threshold and the detection time of a dead VM.
        tokio::time::sleep(Duration::from_secs(5)).await;
        let ids: Vec<String> = (0..16)
            .map(|number| format!("f-{round}-{number}"))
            .collect();
        let queries = ids
            .iter()
            .map(async |id| cluster.query(0, &request(id)).await);
        let pending_answers = futures_util::future::join_all(queries);
        let resume = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.daemons[0].signal("-CONT");
        };
        let (answers, ()) = tokio::join!(pending_answers, resume);
        for answer in answers {
            let answer = answer.unwrap();
            assert_eq!(answer.reason, Some(Reason::BadDeadline), "{answer:?}");
        }
        let status = cluster.status(0).await.unwrap();
        assert_eq!(status["pauses"], round + 1);
        assert_eq!(status["peer_check"], "done");
    }
}

/// Guards against a query that fails because the configuration changed while it ran and its layout
/// was removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_query_keeps_the_fleet_it_started_with() {
    let mut spec = spec();
    spec.leaf.service_us = 1_200_000;
    let cluster = Cluster::start(spec).await;
    let running = request("long");
    let query = cluster.query(0, &running);
    let remove = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let removed = cluster.platform.put(KEY, "region = \"test\"\n");
        wait_until_in_force(&cluster, (0, removed)).await
    };
    let (answer, took) = tokio::join!(query, remove);
    assert!(
        took < Duration::from_millis(800),
        "the service was removed too late: {took:?}"
    );
    assert_eq!(answer.unwrap().outcome, Outcome::Complete);
    let refused = cluster.query(0, &request("later")).await.unwrap();
    assert_eq!(refused.reason, Some(Reason::UnknownService));
}
