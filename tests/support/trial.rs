//! A cluster under recorded load, with faults that start at a step and are healed again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cloverrack::watcher::watchers;
use cloverrack::{Outcome, Version};
use cloverrack_standins::platform::Backup;
use cloverrack_standins::{LeafOptions, LeafStandin};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::checker::{Violation, judge};
use super::history::{Call, History, Published, Run};
use super::load::{Addresses, Load, request_shape, send, status, unix_ms};
use super::{Cluster, Shape, exchange};

/// Longest wait for an expected event; it is generous because verdicts must not depend on it.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two looks for an event.
const LOOK: Duration = Duration::from_millis(10);

/// Name of the configuration document.
const CONFIG: &str = "config/test";

/// Shards of the two layouts.
pub const LAYOUTS: [(u32, u32); 2] = [(1, 3), (2, 2)];

/// Place at which a fault acts.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub vm: usize,
    pub shard: usize,
    pub replica: usize,
}

/// A cluster under recorded load.
pub struct Trial {
    pub cluster: Cluster,
    pub addresses: Addresses,
    pub load: Load,
    pub history: History,
    pub rng: StdRng,
    /// Leaves that were replaced; their records belong to the history.
    pub retired: Vec<LeafStandin>,
    /// Daemons that can't be asked at present.
    pub away: Vec<usize>,
    /// Platform's content at the start.
    pub first_image: Backup,
    /// Leaves that the VM list announces as leaving.
    pub listed_leaving: Vec<SocketAddr>,
    /// Whether the platform is down or shows old content.
    pub is_platform_hidden: bool,
    /// Announcements in the history that no VM can read yet.
    pub unread_announcements: Vec<usize>,
    /// Layout that the leaves hold.
    pub layout: u32,
    /// Index version that the leaves hold.
    pub version: u64,
    newest: BTreeMap<String, Version>,
}

impl Trial {
    pub async fn start(seed: u64) -> Self {
        let leaf = LeafOptions {
            service_us: 3_000,
            ..LeafOptions::default()
        };
        let shape = Shape {
            vms: 5,
            leaf,
            ..Shape::default()
        };
        Self::of(Cluster::start(shape).await, seed)
    }

    pub fn of(cluster: Cluster, seed: u64) -> Self {
        let addresses = Addresses::of(&cluster);
        let mut trial = Self {
            load: Load::start(addresses.clone(), seed),
            addresses,
            history: History {
                layouts: LAYOUTS.into(),
                keep_ms: cluster.shape.keep_ms,
                ..History::default()
            },
            rng: StdRng::seed_from_u64(seed),
            retired: Vec::new(),
            away: Vec::new(),
            first_image: cluster.platform.backup(),
            listed_leaving: Vec::new(),
            is_platform_hidden: false,
            unread_announcements: Vec::new(),
            layout: 1,
            version: 1,
            newest: BTreeMap::new(),
            cluster,
        };
        let [vms, config] = trial.cluster.first_revisions;
        trial.note("vms", vms);
        trial.note(CONFIG, config);
        trial
    }

    /// Records a published revision.
    fn note(&mut self, document: &str, revision: u64) {
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
        self.note(document, revision);
    }

    /// Returns the configuration file with both layouts.
    pub fn config(&self) -> String {
        let base = self.cluster.config("");
        let half = r#"["s0r0", "s0r1", "s0r2"], ["s1r0", "s1r1", "s1r2"]"#;
        base + &format!("[[service.search.layout]]\nid = 2\nshards = [{half}]\n")
    }

    pub fn publish_config(&mut self) {
        self.publish(CONFIG, self.config());
    }

    pub fn publish_vms(&mut self, list: String) {
        self.publish("vms", list);
    }

    /// Chooses where a fault acts, so that the step is reached there.
    pub fn choose_place(&mut self, step: &str) -> Place {
        let names: Vec<(String, String)> = (0..self.cluster.shape.vms)
            .map(|vm| (format!("vm-{vm}"), format!("fd-{}", vm % 3)))
            .collect();
        let names: Vec<(&str, &str)> = names.iter().map(|(vm, fd)| (&**vm, &**fd)).collect();
        let watching = watchers(&names);
        let fits = |vm: usize| match step {
            "config.read" => watching.contains(&names[vm].0),
            "config.spread" => !watching.contains(&names[vm].0),
            _ => true,
        };
        let fitting: Vec<usize> = (0..names.len()).filter(|vm| fits(*vm)).collect();
        Place {
            vm: fitting[self.rng.random_range(0..fitting.len())],
            shard: self.rng.random_range(0..self.cluster.shape.shards),
            replica: self.rng.random_range(0..self.cluster.shape.replicas),
        }
    }

    pub fn leaf(&self, place: Place) -> &LeafStandin {
        &self.cluster.leaves[place.shard][place.replica]
    }

    /// Sends a fault order to a daemon; one that can't be asked is passed over.
    pub async fn order(&self, vm: usize, path: &str, body: &Value) -> bool {
        if self.away.contains(&vm) {
            return false;
        }
        let body = body.to_string().into_bytes();
        let sent = exchange(self.addresses.operators[vm], "POST", path, body);
        let answer = tokio::time::timeout(PATIENCE, sent).await.ok().flatten();
        answer.is_some_and(|(status, _)| status == http::StatusCode::OK)
    }

    pub async fn cut(&self, vm: usize, peers: &[SocketAddr]) {
        self.order(vm, "/v1/faults/cut", &json!(peers)).await;
    }

    /// Returns whether a daemon is held at a step now, or has ended or stopped itself there.
    pub async fn is_at(&mut self, vm: usize, step: &str) -> bool {
        if self.cluster.daemons[vm].has_ended().is_some() || self.cluster.daemons[vm].is_stopped() {
            return true;
        }
        let asked = exchange(self.addresses.operators[vm], "GET", "/v1/faults", vec![]);
        let limit = Duration::from_millis(500);
        let Ok(Some((_, body))) = tokio::time::timeout(limit, asked).await else {
            return false;
        };
        let fired: Value = serde_json::from_slice(&body).unwrap_or_default();
        let steps = fired["held"].as_array();
        steps.is_some_and(|steps| steps.iter().any(|held| held == step))
    }

    /// Waits until so many more calls have ended.
    pub async fn wait_for_calls(&self, more: usize) {
        let wanted = self.load.ended() + more;
        let start = Instant::now();
        while self.load.ended() < wanted && start.elapsed() < PATIENCE {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Starts a leaf anew on its address, in place of one that ended.
    pub async fn rebind(&mut self, place: Place, options: LeafOptions) {
        let slot = &mut self.cluster.leaves[place.shard][place.replica];
        let address = slot.address();
        slot.stop();
        let start = Instant::now();
        loop {
            match LeafStandin::bind(address, options.clone()).await {
                Ok(leaf) => {
                    self.retired.push(std::mem::replace(slot, leaf));
                    return;
                }
                Err(error) => assert!(start.elapsed() < PATIENCE, "{address}: {error}"),
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns the behaviour of a leaf that nothing is wrong with.
    pub fn healthy_leaf(&self) -> LeafOptions {
        LeafOptions {
            snapshots: vec![(self.version, self.layout)],
            ..self.cluster.shape.leaf.clone()
        }
    }

    /// Sends one request besides the load, and records it.
    pub async fn send_recorded(&self, vm: usize, id: &str, payload: &str) -> Call {
        let request = cloverrack::CallerRequest {
            request_id: id.into(),
            payload: payload.into(),
            ..request_shape()
        };
        let call = send(&self.addresses, vm, &request, unix_ms()).await;
        self.load.record(call.clone());
        call
    }

    /// Publishes once more and waits until each daemon serves complete answers and holds the
    /// newest documents; returns what is lacking after the patience.
    pub async fn wait_until_recovered(&mut self) -> Result<(), String> {
        self.publish_config();
        let start = Instant::now();
        let mut number = 0;
        for vm in 0..self.cluster.shape.vms {
            loop {
                number += 1;
                let Some(lack) = self.lack_of(vm, number).await else {
                    break;
                };
                if start.elapsed() > PATIENCE {
                    return Err(format!("vm-{vm}: {lack}"));
                }
                tokio::time::sleep(LOOK).await;
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

    async fn lack_of(&self, vm: usize, number: u64) -> Option<String> {
        let Some(status) = status(self.addresses.operators[vm]).await else {
            return Some("no status page".to_owned());
        };
        for sample in super::load::in_force(vm, 0, &status) {
            let newest = self.newest.get(&sample.document);
            if newest != Some(&sample.version) {
                return Some(format!("{sample:?} instead of {newest:?}"));
            }
        }
        let id = format!("recovered-{vm}-{number}");
        let call = self.send_recorded(vm, &id, &id).await;
        let shards = self.history.layouts[&self.layout];
        let whole = call.answer.as_ref().is_some_and(|answer| {
            answer.outcome == Outcome::Complete && answer.covered.len() == shards as usize
        });
        (!whole).then(|| format!("{:?}", call.answer))
    }

    /// Ends the load and judges the history.
    pub async fn judge(self) -> (History, Vec<Violation>) {
        let mut history = self.history;
        (history.calls, history.in_force) = self.load.finish().await;
        for leaf in self.cluster.leaves.iter().flatten().chain(&self.retired) {
            for execution in leaf.executions() {
                history.runs.push(Run {
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
        let violations = judge(&history);
        (history, violations)
    }
}
