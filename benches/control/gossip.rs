//! Cost and spread of gossip, and cost of compilation, at several fleet sizes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cloverrack::document::{CONFIG_PREFIX, VM_LIST, Version};
use cloverrack::fact::{Fact, FactKey, LeafState, VmState};
use cloverrack::gossip::{Datagram, Gossip, GossipTiming, Outgoing};
use cloverrack::watcher::{select_watchers, watch_wait_ms};
use cloverrack::wire::{decode, encode};
use cloverrack::{DocumentStore, Fleet, Incarnation, Snapshot};
use flate2::Compression;
use flate2::write::GzEncoder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of leaves of all services.
const LEAVES: usize = 4_400;

/// Number of leaves in each configuration file.
const LEAVES_PER_FILE: usize = 400;

/// Time between two calls of `tick` on one node.
const TICK_MS: u64 = 50;

/// One-way delay of a datagram.
const ONE_WAY_DELAY_MS: u64 = 1;

/// Time to fetch a document from a peer: one round trip to connect and one for the request.
const FETCH_MS: u64 = 4;

/// Size of the IP and UDP headers of a datagram.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

/// Simulated time over which the steady state is measured.
const STEADY_MS: u64 = 20_000;

/// Interval between two snapshot changes of a leaf, for a service that publishes an index every ten
/// minutes.
const LEAF_CHANGE_MS: u64 = 600_000;

/// Interval between configuration changes, at 3,500 changes a day.
const CHANGE_INTERVAL_S: f64 = 86_400.0 / 3_500.0;

/// Changes of the set of live VMs: 26 failures and 330 restarts a day, with two changes each.
const LIVE_CHANGES_PER_DAY: f64 = 2.0 * (26.0 + 330.0);

/// Limit after which the spread of a fact or the detection of a failure counts as failed.
const CONVERGENCE_TIMEOUT_MS: u64 = 60_000;

type Delivery = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

struct Node {
    gossip: Gossip,
    down: bool,
}

/// Simulated nodes, datagrams in flight and the accumulated cost.
struct SimulatedNetwork {
    nodes: Vec<Node>,
    in_flight: BinaryHeap<Delivery>,
    fetches: BinaryHeap<Reverse<(u64, usize, u64)>>,
    rng: StdRng,
    now_ms: u64,
    order: u64,
    cpu_time: Duration,
    sent_bytes: u64,
    datagrams: u64,
    leaf_sequence: u64,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7001).into()
}

fn leaf_address(leaf: usize) -> SocketAddr {
    ([10, 9, (leaf / 250) as u8, (leaf % 250) as u8 + 1], 7100).into()
}

fn incarnation(node: usize) -> Incarnation {
    Incarnation::new(1_800_000_000_000 + node as u64, node as u32)
}

impl SimulatedNetwork {
    /// Creates nodes whose tables already contain facts about all nodes and leaves.
    fn new(size: usize) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            in_flight: BinaryHeap::new(),
            fetches: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(size as u64),
            now_ms: 0,
            order: 0,
            cpu_time: Duration::ZERO,
            sent_bytes: 0,
            datagrams: 0,
            leaf_sequence: 0,
        };
        let mut facts = Vec::new();
        for leaf in 0..LEAVES {
            facts.push(network.leaf_fact(leaf));
        }
        for node in 0..size {
            facts.push(Fact::Vm {
                address: address(node),
                generation: 0,
                incarnation: incarnation(node),
                refutation: 0,
                state: VmState::Alive,
            });
        }
        for node in 0..size {
            let mut gossip =
                Gossip::new(address(node), incarnation(node), GossipTiming::default(), 0);
            gossip.set_peers((0..size).map(address));
            gossip.merge(facts.clone(), address(0), 0);
            network.nodes.push(Node {
                gossip,
                down: false,
            });
        }
        network
    }

    fn leaf_fact(&mut self, leaf: usize) -> Fact {
        self.leaf_sequence += 1;
        Fact::Leaf {
            address: leaf_address(leaf),
            sequence: self.leaf_sequence,
            observer: incarnation(0),
            state: LeafState::Up,
            snapshots: vec![
                Snapshot {
                    version: 100 + self.leaf_sequence,
                    layout: 1,
                },
                Snapshot {
                    version: 99,
                    layout: 1,
                },
            ],
        }
    }

    fn send(&mut self, from: usize, out: Outgoing) {
        for (to, message) in out {
            let started = Instant::now();
            let bytes = encode(&message).unwrap();
            self.cpu_time += started.elapsed();
            self.sent_bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD_BYTES;
            self.datagrams += 1;
            self.order += 1;
            let SocketAddr::V4(to) = to else { continue };
            let octets = to.ip().octets();
            let to = usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1;
            let due_ms = self.now_ms + ONE_WAY_DELAY_MS;
            self.in_flight
                .push(Reverse((due_ms, self.order, to, from, bytes)));
        }
    }

    /// Advances the clock by one millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        self.deliver();
        self.finish_fetches();
        for node in 0..self.nodes.len() {
            // The timers of the nodes have different phases within the tick.
            if !(self.now_ms + node as u64 * 7).is_multiple_of(TICK_MS) || self.nodes[node].down {
                continue;
            }
            let started = Instant::now();
            let out = self.nodes[node].gossip.tick(self.now_ms, &mut self.rng);
            self.cpu_time += started.elapsed();
            self.send(node, out);
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due_ms, ..))) = self.in_flight.peek() {
            if *due_ms > self.now_ms {
                return;
            }
            let Some(Reverse((_, _, to, from, bytes))) = self.in_flight.pop() else {
                return;
            };
            if self.nodes[to].down {
                continue;
            }
            let started = Instant::now();
            let message: Datagram = decode(&bytes).unwrap();
            let (out, new_facts) =
                self.nodes[to]
                    .gossip
                    .receive(address(from), message, self.now_ms, &mut self.rng);
            self.cpu_time += started.elapsed();
            for fact in new_facts {
                if let Fact::Document { version, .. } = fact {
                    let due_ms = self.now_ms + FETCH_MS;
                    self.fetches.push(Reverse((due_ms, to, version.revision)));
                }
            }
            self.send(to, out);
        }
    }

    fn finish_fetches(&mut self) {
        while let Some(Reverse((due_ms, node, revision))) = self.fetches.peek().copied() {
            if due_ms > self.now_ms {
                return;
            }
            self.fetches.pop();
            let fact = document_fact(revision);
            self.nodes[node].gossip.publish(fact, self.now_ms);
        }
    }

    /// Runs the steady state, in which leaves change their snapshots.
    fn run_steady(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            if self.rng.random_range(0..LEAF_CHANGE_MS) < LEAVES as u64 {
                let leaf = self.rng.random_range(0..LEAVES);
                let fact = self.leaf_fact(leaf);
                let owner = leaf % self.nodes.len();
                self.nodes[owner].gossip.publish(fact, self.now_ms);
            }
            self.step();
        }
    }

    /// Runs until all live nodes satisfy `check`; returns the time that it took, or `None` after
    /// [`CONVERGENCE_TIMEOUT_MS`].
    fn run_until(&mut self, check: impl Fn(&Gossip) -> bool) -> Option<u64> {
        let started_ms = self.now_ms;
        let mut waiting: Vec<usize> = (0..self.nodes.len()).collect();
        loop {
            waiting.retain(|node| !self.nodes[*node].down && !check(&self.nodes[*node].gossip));
            if waiting.is_empty() {
                return Some(self.now_ms - started_ms);
            }
            if self.now_ms - started_ms > CONVERGENCE_TIMEOUT_MS {
                return None;
            }
            self.run_steady(1);
        }
    }
}

fn document_fact(revision: u64) -> Fact {
    Fact::Document {
        name: "config/file-0".into(),
        version: Version { epoch: 0, revision },
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes: u64 = line
        .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0);
    kilobytes * 1_024
}

/// Returns the documents of a fleet with `size` VMs, and their size in bytes.
fn documents(size: usize) -> (DocumentStore, u64) {
    let mut store = DocumentStore::default();
    let mut vms = Vec::new();
    for node in 0..size {
        vms.push(serde_json::json!({
            "name": format!("vm-{node}"), "region": "r", "failure_domain": format!("fd-{}", node % 6),
            "caller_address": SocketAddr::new(address(node).ip(), 7000),
            "internal_address": address(node),
        }));
    }
    let list = serde_json::json!({ "vms": vms }).to_string();
    let mut bytes = list.len() as u64;
    store.offer(VM_LIST, 1, list.as_bytes(), 0);
    for file in 0..LEAVES / LEAVES_PER_FILE {
        let mut text = String::from(
            "region = \"r\"\n[service.s]\npolicy = \"latency\"\nleaf_slots = 3\n\
             leaf_connections = 30\n[service.s.leaf]\n",
        );
        let mut shards = String::new();
        for leaf in 0..LEAVES_PER_FILE {
            let address = leaf_address(file * LEAVES_PER_FILE + leaf);
            text += &format!(
                "l{leaf} = {{ address = \"{address}\", failure_domain = \"fd-{}\", target = \"t{}\" }}\n",
                leaf % 6,
                leaf / 4,
            );
            let separator = if leaf % 4 == 3 { "],\n" } else { ", " };
            let start = if leaf % 4 == 0 { "[" } else { "" };
            shards += &format!("{start}\"l{leaf}\"{separator}");
        }
        text += &format!("[[service.s.layout]]\nid = 1\nshards = [\n{shards}]\n");
        bytes += text.len() as u64;
        let name = format!("{CONFIG_PREFIX}file-{file}");
        let outcome = store.offer(&name, 1, text.as_bytes(), 0);
        assert_eq!(outcome, cloverrack::OfferOutcome::Accepted);
    }
    (store, bytes)
}

/// Returns the compressed size of the platform's answer that contains all documents.
fn response_bytes(store: &DocumentStore) -> u64 {
    let mut entries = Vec::new();
    for (name, document) in store.iter() {
        entries.push(serde_json::json!({
            "Key": format!("cloverrack/{name}"), "ModifyIndex": 1,
            "Value": STANDARD.encode(&document.body),
        }));
    }
    let text = serde_json::to_vec(&entries).unwrap();
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&text).unwrap();
    encoder.finish().unwrap().len() as u64
}

/// Results for one fleet size.
struct Measurement {
    size: usize,
    bytes_per_s: f64,
    core_share: f64,
    memory_bytes: f64,
}

fn measure(size: usize) -> Measurement {
    let resident = resident_bytes();
    let mut network = SimulatedNetwork::new(size);
    let node_bytes = resident_bytes().saturating_sub(resident) as f64 / size as f64;
    network.run_steady(2_000);
    network.cpu_time = Duration::ZERO;
    network.sent_bytes = 0;
    network.datagrams = 0;
    network.run_steady(STEADY_MS);
    let node_seconds = size as f64 * STEADY_MS as f64 / 1_000.0;
    let bytes_per_s = network.sent_bytes as f64 / node_seconds;
    let datagrams_per_s = network.datagrams as f64 / node_seconds;
    let gossip_share = network.cpu_time.as_secs_f64() / node_seconds;

    network.nodes[0]
        .gossip
        .publish(document_fact(2), network.now_ms);
    let key = FactKey::Document("config/file-0".into());
    let document_ms = network.run_until(|gossip| gossip.fact(&key).is_some());
    let now_ms = network.now_ms;
    let urgent = Fact::Quarantine {
        fingerprint: 7,
        until_unix_ms: u64::MAX,
    };
    network.nodes[1].gossip.publish(urgent, now_ms);
    let urgent_ms = network.run_until(|gossip| gossip.fact(&FactKey::Quarantine(7)).is_some());
    let leaf = network.leaf_fact(0);
    let precedence = leaf.precedence();
    network.nodes[0].gossip.publish(leaf, network.now_ms);
    let leaf_key = FactKey::Leaf(leaf_address(0));
    let leaf_ms = network.run_until(|gossip| {
        gossip
            .fact(&leaf_key)
            .is_some_and(|entry| entry.fact.precedence() >= precedence)
    });
    let failed_node = size - 1;
    network.nodes[failed_node].down = true;
    let detect_ms = network.run_until(|gossip| !gossip.is_live(address(failed_node)));

    let (store, document_bytes) = documents(size);
    let started = Instant::now();
    let fleet = Fleet::compile(&store, "r", |_| true);
    let compile = started.elapsed();
    let changes_per_s = 1.0 / CHANGE_INTERVAL_S + LIVE_CHANGES_PER_DAY / 86_400.0;
    let core_share = gossip_share + compile.as_secs_f64() * changes_per_s;
    let names: Vec<(&str, &str)> = fleet
        .vms
        .iter()
        .map(|vm| (&*vm.entry.name, &*vm.entry.failure_domain))
        .collect();
    let watchers = select_watchers(&names).len();
    // A watcher reads all values when one changes and when a watch ends without a change.
    let response_bytes = response_bytes(&store);
    let wait_ms = watch_wait_ms(response_bytes, &mut network.rng);
    let reads_per_s = 1_000.0 / wait_ms as f64 + 1.0 / CHANGE_INTERVAL_S;
    let platform_calls_per_s = reads_per_s * watchers as f64;
    let platform_bytes_per_s = reads_per_s * response_bytes as f64;
    // The documents as read, their parsed form and the compiled fleet.
    let memory_bytes = node_bytes + 3.0 * document_bytes as f64;
    println!(
        "nodes={size} leaves={LEAVES} bytes_per_s={bytes_per_s:.0} datagrams_per_s={datagrams_per_s:.1} \
         gossip_core_percent={:.3} compile_ms={:.1} core_percent={:.3} memory_kb={:.0} \
         document_everywhere_ms={} urgent_everywhere_ms={} leaf_everywhere_ms={} detection_ms={} watchers={watchers} \
         platform_calls_per_s={platform_calls_per_s:.2} \
         watcher_platform_bytes_per_s={platform_bytes_per_s:.0} document_bytes={document_bytes}",
        gossip_share * 100.0,
        compile.as_secs_f64() * 1_000.0,
        core_share * 100.0,
        memory_bytes / 1_024.0,
        format_time(document_ms),
        format_time(urgent_ms),
        format_time(leaf_ms),
        format_time(detect_ms),
    );
    Measurement {
        size,
        bytes_per_s,
        core_share,
        memory_bytes,
    }
}

fn format_time(time_ms: Option<u64>) -> String {
    time_ms.map_or("failed".to_owned(), |time_ms| time_ms.to_string())
}

/// Measures all sizes and prints the slopes between consecutive sizes.
pub fn run(sizes: &[usize]) {
    let mut previous: Option<Measurement> = None;
    for size in sizes {
        let measurement = measure(*size);
        if let Some(previous) = &previous {
            let nodes = (measurement.size - previous.size) as f64;
            println!(
                "slope={}..{} bytes_per_s_per_node_added={:.3} core_percent_per_node_added={:.6} \
                 memory_kb_per_node_added={:.3}",
                previous.size,
                measurement.size,
                (measurement.bytes_per_s - previous.bytes_per_s) / nodes,
                (measurement.core_share - previous.core_share) * 100.0 / nodes,
                (measurement.memory_bytes - previous.memory_bytes) / 1_024.0 / nodes,
            );
        }
        previous = Some(measurement);
    }
}
