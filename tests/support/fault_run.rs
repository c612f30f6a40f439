//! Runs a cluster under recorded load while faults are applied and healed, and checks the recorded
//! history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cloverrack::watcher::select_watchers;
use cloverrack::{Outcome, Version};
use cloverrack_standins::platform::Backup;
use cloverrack_standins::{LeafOptions, LeafStandin};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::checker::{Violation, check_history};
use super::history::{Call, Execution, History, Published};
use super::load::{Addresses, Load, request_template, send, status, unix_ms};
use super::{Cluster, ClusterSpec, exchange};

/// Longest wait for an expected event. It is long so that the outcome of a run does not depend on
/// it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an expected event is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the configuration document.
const CONFIG: &str = "config/test";

/// Ids and shard counts of the two layouts.
pub const LAYOUTS: [(u32, u32); 2] = [(1, 3), (2, 2)];

/// VM and leaf at which a fault acts.
#[derive(Clone, Copy, Debug)]
pub struct FaultLocation {
    pub vm: usize,
    pub shard: usize,
    pub replica: usize,
}

/// A cluster under recorded load, with the state of its faults.
pub struct FaultRun {
    pub cluster: Cluster,
    pub addresses: Addresses,
    pub load: Load,
    pub history: History,
    pub rng: StdRng,
    /// Leaves that were replaced. Their executions still belong to the history.
    pub replaced_leaves: Vec<LeafStandin>,
    /// VMs whose daemon is frozen or has ended.
    pub unreachable_vms: Vec<usize>,
    /// Initial content of the platform.
    pub initial_backup: Backup,
    /// Leaves that the VM list announces as leaving.
    pub listed_leaving: Vec<SocketAddr>,
    /// Whether the platform is down or serves old content.
    pub is_platform_unreadable: bool,
    /// Indices in `history.leaving` of announcements that no VM can read yet.
    pub unread_announcements: Vec<usize>,
    /// Layout that the leaves serve.
    pub layout: u32,
    /// Index version that the leaves serve.
    pub version: u64,
    newest: BTreeMap<String, Version>,
}

impl FaultRun {
    pub async fn start(seed: u64) -> Self {
        let leaf = LeafOptions {
            service_us: 3_000,
            ..LeafOptions::default()
        };
        let spec = ClusterSpec {
            vms: 5,
            leaf,
            ..ClusterSpec::default()
        };
        Self::of(Cluster::start(spec).await, seed)
    }

    pub fn of(cluster: Cluster, seed: u64) -> Self {
        let addresses = Addresses::of(&cluster);
        let mut fault_run = Self {
            load: Load::start(addresses.clone(), seed),
            addresses,
            history: History {
                layouts: LAYOUTS.into(),
                keep_ms: cluster.spec.keep_ms,
                ..History::default()
            },
            rng: StdRng::seed_from_u64(seed),
            replaced_leaves: Vec::new(),
            unreachable_vms: Vec::new(),
            initial_backup: cluster.platform.backup(),
            listed_leaving: Vec::new(),
            is_platform_unreadable: false,
            unread_announcements: Vec::new(),
            layout: 1,
            version: 1,
            newest: BTreeMap::new(),
            cluster,
        };
        let [vms, config] = fault_run.cluster.first_revisions;
        fault_run.record_published("vms", vms);
        fault_run.record_published(CONFIG, config);
        fault_run
    }

    /// Records a revision as published and as the newest of its document.
    fn record_published(&mut self, document: &str, revision: u64) {
        let version = Version { epoch: 0, revision };
        self.newest.insert(document.to_owned(), version);
        self.history.published.push(Published {
            document: document.to_owned(),
            version,
            due_ms: None,
        });
    }

    pub fn publish(&mut self, document: &str, body: String) {
        let revision = self
            .cluster
            .platform
            .put(&format!("cloverrack/{document}"), body);
        self.record_published(document, revision);
    }

    /// Returns the configuration file with both layouts.
    pub fn config(&self) -> String {
        let base = self.cluster.config("");
        let two_shards = r#"["s0r0", "s0r1", "s0r2"], ["s1r0", "s1r1", "s1r2"]"#;
        base + &format!("[[service.search.layout]]\nid = 2\nshards = [{two_shards}]\n")
    }

    pub fn publish_config(&mut self) {
        self.publish(CONFIG, self.config());
    }

    pub fn publish_vms(&mut self, list: String) {
        self.publish("vms", list);
    }

    /// Chooses a random location at which a fault acts, with a VM that reaches the step: only
    /// watchers reach `config.read`, and only other VMs reach `config.spread`.
    pub fn choose_location(&mut self, step: &str) -> FaultLocation {
        let names: Vec<(String, String)> = (0..self.cluster.spec.vms)
            .map(|vm| (format!("vm-{vm}"), format!("fd-{}", vm % 3)))
            .collect();
        let names: Vec<(&str, &str)> = names.iter().map(|(vm, fd)| (&**vm, &**fd)).collect();
        let watchers = select_watchers(&names);
        let is_eligible = |vm: usize| match step {
            "config.read" => watchers.contains(&names[vm].0),
            "config.spread" => !watchers.contains(&names[vm].0),
            _ => true,
        };
        let eligible: Vec<usize> = (0..names.len()).filter(|vm| is_eligible(*vm)).collect();
        FaultLocation {
            vm: eligible[self.rng.random_range(0..eligible.len())],
            shard: self.rng.random_range(0..self.cluster.spec.shards),
            replica: self.rng.random_range(0..self.cluster.spec.replicas),
        }
    }

    pub fn leaf(&self, location: FaultLocation) -> &LeafStandin {
        &self.cluster.leaves[location.shard][location.replica]
    }

    /// Sends a fault command to a daemon and returns whether it was accepted. Unreachable VMs are
    /// skipped.
    pub async fn send_fault_command(&self, vm: usize, path: &str, body: &Value) -> bool {
        if self.unreachable_vms.contains(&vm) {
            return false;
        }
        let body = body.to_string().into_bytes();
        let sent = exchange(self.addresses.operators[vm], "POST", path, body);
        let answer = tokio::time::timeout(WAIT_TIMEOUT, sent)
            .await
            .ok()
            .flatten();
        answer.is_some_and(|(status, _)| status == http::StatusCode::OK)
    }

    pub async fn cut(&self, vm: usize, peers: &[SocketAddr]) {
        self.send_fault_command(vm, "/v1/faults/cut", &json!(peers))
            .await;
    }

    /// Returns whether a daemon is held at a step, or its process has ended or is stopped.
    pub async fn is_at(&mut self, vm: usize, step: &str) -> bool {
        if self.cluster.daemons[vm].try_exit_code().is_some()
            || self.cluster.daemons[vm].is_stopped()
        {
            return true;
        }
        let response_future = exchange(self.addresses.operators[vm], "GET", "/v1/faults", vec![]);
        let limit = Duration::from_millis(500);
        let Ok(Some((_, body))) = tokio::time::timeout(limit, response_future).await else {
            return false;
        };
        let fault_status: Value = serde_json::from_slice(&body).unwrap_or_default();
        let steps = fault_status["held"].as_array();
        steps.is_some_and(|steps| steps.iter().any(|held| held == step))
    }

    /// Waits until `more` further calls have ended, for at most [`WAIT_TIMEOUT`].
    pub async fn wait_for_calls(&self, more: usize) {
        let wanted = self.load.ended() + more;
        let start = Instant::now();
        while self.load.ended() < wanted && start.elapsed() < WAIT_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a new leaf on the address of an earlier one, which is stopped.
    pub async fn rebind(&mut self, location: FaultLocation, options: LeafOptions) {
        let current = &mut self.cluster.leaves[location.shard][location.replica];
        let address = current.address();
        current.stop();
        let start = Instant::now();
        loop {
            match LeafStandin::bind(address, options.clone()).await {
                Ok(leaf) => {
                    self.replaced_leaves.push(std::mem::replace(current, leaf));
                    return;
                }
                Err(error) => assert!(start.elapsed() < WAIT_TIMEOUT, "{address}: {error}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the options of a leaf without a fault.
    pub fn healthy_leaf(&self) -> LeafOptions {
        LeafOptions {
            snapshots: vec![(self.version, self.layout)],
            ..self.cluster.spec.leaf.clone()
        }
    }

    /// Sends one request that does not belong to the load, and records it.
    pub async fn send_recorded(&self, vm: usize, id: &str, payload: &str) -> Call {
        let request = cloverrack::CallerRequest {
            request_id: id.into(),
            payload: payload.into(),
            ..request_template()
        };
        let call = send(&self.addresses, vm, &request, unix_ms()).await;
        self.load.record(call.clone());
        call
    }

    /// Publishes the configuration once more and waits until each daemon serves complete answers
    /// and has the newest documents in force.
    ///
    /// # Errors
    ///
    /// Returns the first VM that has not recovered after [`WAIT_TIMEOUT`], and what it lacks.
    pub async fn wait_until_recovered(&mut self) -> Result<(), String> {
        self.publish_config();
        let start = Instant::now();
        let mut number = 0;
        for vm in 0..self.cluster.spec.vms {
            loop {
                number += 1;
                let Some(error) = self.recovery_error(vm, number).await else {
                    break;
                };
                if start.elapsed() > WAIT_TIMEOUT {
                    return Err(format!("vm-{vm}: {error}"));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let now_ms = unix_ms();
        for published in &mut self.history.published {
            if self.newest[&published.document] == published.version {
                published.due_ms = Some(now_ms);
            }
        }
        Ok(())
    }

    async fn recovery_error(&self, vm: usize, number: u64) -> Option<String> {
        let Some(status) = status(self.addresses.operators[vm]).await else {
            return Some("no status page".to_owned());
        };
        for sample in super::load::version_samples(vm, 0, &status) {
            let newest = self.newest.get(&sample.document);
            if newest != Some(&sample.version) {
                return Some(format!("{sample:?} instead of {newest:?}"));
            }
        }
        let id = format!("recovered-{vm}-{number}");
        let call = self.send_recorded(vm, &id, &id).await;
        let shards = self.history.layouts[&self.layout];
        let is_complete = call.answer.as_ref().is_some_and(|answer| {
            answer.outcome == Outcome::Complete && answer.covered.len() == shards as usize
        });
        (!is_complete).then(|| format!("{:?}", call.answer))
    }

    /// Ends the load, collects the executions of all leaves and checks the history.
    pub async fn check_history(self) -> (History, Vec<Violation>) {
        let mut history = self.history;
        (history.calls, history.version_samples) = self.load.finish().await;
        for leaf in self
            .cluster
            .leaves
            .iter()
            .flatten()
            .chain(&self.replaced_leaves)
        {
            for execution in leaf.executions() {
                history.executions.push(Execution {
                    leaf: leaf.address(),
                    request: execution.request,
                    shard: execution.shard,
                    snapshot: execution.snapshot,
                    payload: execution.payload,
                    started_ms: execution.started_unix_ms,
                    finished: execution.finished,
                });
            }
        }
        let violations = check_history(&history);
        (history, violations)
    }
}
