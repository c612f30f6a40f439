//! Gossip state machines on a simulated network: precedence of facts, replaced processes, expiry of
//! facts, process pauses and partitions.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use cloverrack::document::Version;
use cloverrack::fact::{Fact, FactKey, LeafState, VmState};
use cloverrack::gateway::content_quarantine::EVIDENCE_RETENTION_MS;
use cloverrack::gateway::membership::TIMING;
use cloverrack::gateway::{Content, CrashedAttempt, Evacuation};
use cloverrack::gossip::{
    Datagram, Gossip, GossipTiming, MAX_DATAGRAM_BYTES, MessageKind, Outgoing,
};
use cloverrack::quarantine::LeafCrash;
use cloverrack::wire::{PROTOCOL_VERSION, encode};
use cloverrack::{Incarnation, Snapshot};
use rand::SeedableRng;
use rand::rngs::StdRng;

const YEAR_MS: u64 = 31_536_000_000;
const NOW_UNIX_MS: u64 = 1_800_000_000_000;

fn vm(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8 + 1], 7001).into()
}

fn leaf(number: usize) -> SocketAddr {
    ([10, 9, 0, number as u8 + 1], 7100).into()
}

fn incarnation(start_unix_ms: u64) -> Incarnation {
    Incarnation::new(start_unix_ms, 1)
}

fn vm_fact(number: usize, generation: u32, start_unix_ms: u64, state: VmState) -> Fact {
    Fact::Vm {
        address: vm(number),
        generation,
        incarnation: incarnation(start_unix_ms),
        refutation: 0,
        state,
    }
}

fn push(sender: u64, facts: Vec<Fact>) -> Datagram {
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        incarnation: incarnation(sender),
        digest: 0,
        kind: MessageKind::Push,
        facts,
    }
}

/// Network of state machines that exchange datagrams without delay.
///
/// Datagrams between the two halves are dropped while `is_partitioned` is set.
struct SimulatedNetwork {
    nodes: Vec<Gossip>,
    rng: StdRng,
    now_ms: u64,
    is_partitioned: bool,
}

impl SimulatedNetwork {
    fn new(size: usize) -> Self {
        Self::with_timing(size, GossipTiming::default())
    }

    fn with_timing(size: usize, timing: GossipTiming) -> Self {
        let mut nodes = Vec::new();
        for number in 0..size {
            let start = NOW_UNIX_MS + number as u64;
            let mut node = Gossip::new(vm(number), incarnation(start), timing, 0);
            node.set_peers((0..size).map(vm));
            node.confirm_address();
            nodes.push(node);
        }
        Self {
            nodes,
            rng: StdRng::seed_from_u64(7),
            now_ms: 0,
            is_partitioned: false,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += 50;
            for number in 0..self.nodes.len() {
                let out = self.nodes[number].tick(self.now_ms, &mut self.rng);
                self.deliver(number, out);
            }
        }
    }

    fn deliver(&mut self, from: usize, out: Outgoing) {
        let half = self.nodes.len() / 2;
        let mut queue: VecDeque<(usize, SocketAddr, Datagram)> = out
            .into_iter()
            .map(|(to, message)| (from, to, message))
            .collect();
        while let Some((from, to, message)) = queue.pop_front() {
            let bytes = encode(&message).unwrap().len();
            assert!(
                bytes <= MAX_DATAGRAM_BYTES,
                "{bytes} bytes: {:?}",
                message.kind
            );
            let Some(to) = (0..self.nodes.len()).find(|number| vm(*number) == to) else {
                continue;
            };
            if self.is_partitioned && (from < half) != (to < half) {
                continue;
            }
            let now_ms = self.now_ms;
            let (out, _) = self.nodes[to].receive(vm(from), message, now_ms, &mut self.rng);
            queue.extend(out.into_iter().map(|(next, message)| (to, next, message)));
        }
    }

    fn all(&self, check: impl Fn(&Gossip) -> bool) -> bool {
        self.nodes.iter().all(check)
    }
}

fn leaf_state(gossip: &Gossip, number: usize) -> Option<LeafState> {
    match gossip.fact(&FactKey::Leaf(leaf(number)))?.fact {
        Fact::Leaf { state, .. } => Some(state),
        _ => None,
    }
}

/// Guards against a leaf fact that takes precedence for a year because the clock of its observer
/// was a year ahead: the next observation must replace it on all nodes.
#[test]
fn a_clock_that_is_ahead_does_not_keep_a_leaf_fact() {
    let mut network = SimulatedNetwork::new(6);
    let ahead = incarnation(NOW_UNIX_MS + YEAR_MS);
    network.nodes[0] = Gossip::new(vm(0), ahead, GossipTiming::default(), 0);
    network.nodes[0].set_peers((0..6).map(vm));
    network.nodes[0].publish_leaf(leaf(0), LeafState::Down, Vec::new(), 0);
    network.run(5_000);
    assert!(network.all(|node| leaf_state(node, 0) == Some(LeafState::Down)));
    let now_ms = network.now_ms;
    let snapshots = vec![Snapshot {
        version: 1,
        layout: 1,
    }];
    network.nodes[3].publish_leaf(leaf(0), LeafState::Up, snapshots, now_ms);
    network.run(5_000);
    assert!(network.all(|node| leaf_state(node, 0) == Some(LeafState::Up)));
}

/// Guards against a replacement that considers itself superseded by its dead predecessor, because
/// the predecessor's clock was ahead and its start time is later.
#[test]
fn a_starting_process_outranks_a_predecessor_with_a_later_start_time() {
    let mut network = SimulatedNetwork::new(4);
    network.run(3_000);
    let old = vm_fact(1, 0, NOW_UNIX_MS + YEAR_MS, VmState::Alive);
    for number in [0, 2, 3] {
        network.nodes[number].merge(vec![old.clone()], vm(0), 3_000);
    }
    let mut replacement = Gossip::new(
        vm(1),
        incarnation(NOW_UNIX_MS + 9),
        GossipTiming::default(),
        3_000,
    );
    replacement.set_peers((0..4).map(vm));
    network.nodes[1] = replacement;
    network.run(5_000);
    assert!(!network.nodes[1].is_superseded());
    let expected = incarnation(NOW_UNIX_MS + 9);
    assert!(network.all(|node| {
        let entry = node.fact(&FactKey::Vm(vm(1)));
        entry.is_some_and(|entry| {
            matches!(entry.fact, Fact::Vm { incarnation, state, .. }
                if incarnation == expected && state == VmState::Alive)
        })
    }));
}

/// Guards against a process that resumes after its address was reassigned and continues to serve:
/// the first answer to its own probe must report its successor.
#[test]
fn an_established_process_learns_of_its_successor() {
    let mut network = SimulatedNetwork::new(4);
    network.run(3_000);
    let successor = vm_fact(1, 1, NOW_UNIX_MS, VmState::Alive);
    for number in [0, 2, 3] {
        let now_ms = network.now_ms;
        network.nodes[number].merge(vec![successor.clone()], vm(0), now_ms);
    }
    network.run(1_000);
    assert!(network.nodes[1].is_superseded());
    assert!(!network.nodes[0].is_superseded());
}

/// Guards against facts that are never removed: those about unlisted leaves and expired quarantines
/// must be dropped, and must not return from a peer that still has them.
#[test]
fn unlisted_leaves_and_ended_quarantines_are_forgotten() {
    let mut network = SimulatedNetwork::new(4);
    for number in 0..2 {
        network.nodes[0].publish_leaf(leaf(number), LeafState::Up, Vec::new(), 0);
    }
    let ended = Fact::Quarantine {
        fingerprint: 1,
        until_unix_ms: NOW_UNIX_MS + 1_000,
    };
    network.nodes[0].publish(ended, 0);
    network.run(3_000);
    assert!(network.all(|node| leaf_state(node, 1).is_some()));
    assert!(network.all(|node| node.fact(&FactKey::Quarantine(1)).is_some()));
    let listed: BTreeSet<SocketAddr> = [leaf(0)].into();
    // The last node gets the new list and time later, and keeps the facts until then.
    for number in 0..3 {
        network.nodes[number].set_leaves(listed.clone(), network.now_ms);
        network.nodes[number].set_wall_clock(NOW_UNIX_MS + 2_000);
    }
    network.run(10_000);
    for number in 0..3 {
        assert_eq!(leaf_state(&network.nodes[number], 1), None);
        assert!(
            network.nodes[number]
                .fact(&FactKey::Quarantine(1))
                .is_none()
        );
    }
    network.nodes[3].set_leaves(listed.clone(), network.now_ms);
    network.nodes[3].set_wall_clock(NOW_UNIX_MS + 2_000);
    network.run(5_000);
    assert!(network.all(|node| leaf_state(node, 0).is_some() && leaf_state(node, 1).is_none()));
    let digest = network.nodes[0].digest();
    assert!(network.all(|node| node.digest() == digest));
}

fn crashed_attempt(request_hash: u64, observed_unix_ms: u64) -> Fact {
    let content = Content {
        fingerprint: 7,
        caller: [10, 1, 0, 1].into(),
    };
    Fact::CrashedAttempt(CrashedAttempt {
        content,
        request_hash,
        leaves: vec![1, 2, 3],
        alive_unix_ms: observed_unix_ms,
        observed_unix_ms,
    })
}

fn evidence_count(gossip: &Gossip) -> usize {
    let facts = gossip.facts();
    let evidence = facts.filter(|entry| entry.fact.evidence_unix_ms().is_some());
    evidence.count()
}

/// Guards against evidence that is kept for ever, by nodes that never list leaves as well.
#[test]
fn expired_evidence_is_forgotten() {
    let mut network = SimulatedNetwork::new(4);
    let crash = LeafCrash {
        fingerprint: 1,
        leaf: leaf(0),
        shared: false,
        crashes: 1,
        observed_unix_ms: NOW_UNIX_MS,
    };
    network.nodes[0].publish(Fact::LeafCrash(crash), 0);
    network.nodes[0].publish(crashed_attempt(1, NOW_UNIX_MS), 0);
    network.run(3_000);
    assert!(network.all(|node| evidence_count(node) == 2));
    for node in &mut network.nodes {
        node.set_wall_clock(NOW_UNIX_MS + EVIDENCE_RETENTION_MS);
    }
    network.run(5_000);
    assert!(network.all(|node| evidence_count(node) == 0));
}

/// Guards against memory and traffic that grow with the number of crashes, and against nodes that
/// keep different evidence and compare it again and again.
#[test]
fn the_amount_of_evidence_is_bounded() {
    let mut network = SimulatedNetwork::new(2);
    for attempt in 0..5_000 {
        let from = usize::from(attempt % 3 == 0);
        network.nodes[from].publish(crashed_attempt(attempt, NOW_UNIX_MS + attempt), 0);
    }
    network.run(120_000);
    assert!(network.all(|node| evidence_count(node) == 2_048));
    let digest = network.nodes[0].digest();
    assert!(network.all(|node| node.digest() == digest));
}

/// Guards against a restarted process that sends content to leaves which others have quarantined, or requests
/// to leaves of an evacuated domain: it must have the facts with its first datagrams, before anti-entropy.
#[test]
fn a_starting_process_gets_the_evidence_at_once() {
    const COUNT: usize = 60;
    const DOMAINS: usize = 64;
    let mut network = SimulatedNetwork::new(4);
    for attempt in 0..COUNT as u64 {
        network.nodes[0].publish(crashed_attempt(attempt, NOW_UNIX_MS + attempt), 0);
    }
    let evacuations = (0..DOMAINS).map(|domain| {
        Fact::Evacuation(Evacuation {
            domain: format!("zone-{domain}").into(),
            version: Version::default(),
            is_active: true,
        })
    });
    for evacuation in evacuations.clone() {
        network.nodes[0].publish(evacuation, 0);
    }
    // Long enough for the evidence to leave the queues of facts to send.
    network.run(60_000);
    let start = NOW_UNIX_MS + 10_000;
    let mut node = Gossip::new(
        vm(3),
        incarnation(start),
        GossipTiming::default(),
        network.now_ms,
    );
    node.set_peers((0..4).map(vm));
    network.nodes[3] = node;
    network.run(50);
    assert_eq!(evidence_count(&network.nodes[3]), COUNT);
    let started = &network.nodes[3];
    assert!(
        evacuations
            .into_iter()
            .all(|fact| started.fact(&fact.key()).is_some())
    );
}

/// Guards against VMs that were cut off and still send content to leaves, which others have
/// quarantined, 4 s after they are connected again.
#[test]
fn evidence_crosses_a_healed_partition() {
    const COUNT: usize = 6;
    let mut network = SimulatedNetwork::with_timing(8, TIMING);
    network.run(5_000);
    network.is_partitioned = true;
    network.run(20_000);
    for request_hash in 0..COUNT as u64 {
        network.nodes[0].publish(crashed_attempt(request_hash, NOW_UNIX_MS), network.now_ms);
    }
    network.run(20_000);
    assert_eq!(evidence_count(&network.nodes[7]), 0);
    network.is_partitioned = false;
    network.run(4_000);
    assert!(network.all(|node| evidence_count(node) == COUNT));
}

/// Guards against a leaf state that is lost because it arrives before the file that lists the leaf.
#[test]
fn a_fact_that_precedes_its_file_is_kept() {
    let mut node = Gossip::new(vm(0), incarnation(NOW_UNIX_MS), GossipTiming::default(), 0);
    node.set_leaves(BTreeSet::new(), 0);
    let mut observer = Gossip::new(vm(1), incarnation(NOW_UNIX_MS), GossipTiming::default(), 0);
    let fact = observer.publish_leaf(leaf(0), LeafState::Up, Vec::new(), 0);
    let changes = node.merge(vec![fact.clone()], vm(1), 1);
    assert!(changes.is_empty());
    assert_eq!(node.set_leaves([leaf(0)].into(), 2), vec![fact]);
    assert_eq!(leaf_state(&node, 0), Some(LeafState::Up));
}

/// Guards against a process that declares its peers dead after a pause, because it could not read
/// their answers while it was paused.
#[test]
fn a_pause_declares_no_peer_dead() {
    let mut network = SimulatedNetwork::new(4);
    network.run(3_000);
    let mut rng = StdRng::seed_from_u64(1);
    let before = network.now_ms;
    // The pause begins while a probe and a suspicion are pending.
    let suspicion = vm_fact(2, 0, NOW_UNIX_MS + 2, VmState::Suspect);
    network.nodes[0].receive(
        vm(1),
        push(NOW_UNIX_MS + 1, vec![suspicion]),
        before,
        &mut rng,
    );
    network.nodes[0].tick(before + 550, &mut rng);
    let out = network.nodes[0].tick(before + 30_000, &mut rng);
    network.now_ms = before + 30_000;
    for number in 1..4 {
        assert!(network.nodes[0].is_live(vm(number)), "vm {number}");
    }
    network.deliver(0, out);
    network.run(5_000);
    assert!(
        network.all(|node| (0..4).all(|number| node.vm_state(vm(number)) == Some(VmState::Alive)))
    );
}

/// Guards against a membership that does not recover from a partition without an operator, and
/// against facts published on one side during the partition that do not reach the other.
#[test]
fn a_partition_heals_by_itself() {
    let mut network = SimulatedNetwork::new(8);
    network.run(5_000);
    network.is_partitioned = true;
    network.run(15_000);
    for number in 0..8 {
        let live_vms = (0..8).filter(|other| network.nodes[number].is_live(vm(*other)));
        assert_eq!(live_vms.count(), 4, "node {number}");
    }
    let now_ms = network.now_ms;
    for number in 0..200 {
        network.nodes[1].publish_leaf(leaf(number), LeafState::Up, Vec::new(), now_ms);
        network.nodes[6].publish_leaf(leaf(number), LeafState::Warming, Vec::new(), now_ms);
    }
    let version = Version {
        epoch: 0,
        revision: 9,
    };
    let name = "config/a".into();
    network.nodes[6].publish(Fact::Document { name, version }, now_ms);
    network.run(10_000);
    network.is_partitioned = false;
    network.run(30_000);
    assert!(network.all(|node| (0..8).all(|other| node.is_live(vm(other)))));
    let key = FactKey::Document("config/a".into());
    assert!(network.all(|node| node.fact(&key).is_some()));
    let digest = network.nodes[0].digest();
    assert!(network.all(|node| node.digest() == digest));
}

/// Guards against a node that announces a document whose body it cannot deliver to the peers that
/// request it: only nodes that store the document may announce it.
#[test]
fn only_holders_announce_a_document() {
    let mut network = SimulatedNetwork::new(2);
    network.run(2_000);
    let mut rng = StdRng::seed_from_u64(1);
    let fact = Fact::Document {
        name: "config/a".into(),
        version: Version {
            epoch: 0,
            revision: 1,
        },
    };
    let announced = push(NOW_UNIX_MS + 1, vec![fact.clone()]);
    let contains_fact =
        |out: &Outgoing| out.iter().any(|(_, message)| message.facts.contains(&fact));
    let now_ms = network.now_ms;
    let (out, changes) = network.nodes[0].receive(vm(1), announced, now_ms, &mut rng);
    assert_eq!(changes, vec![fact.clone()]);
    assert!(!contains_fact(&out));
    let source = network.nodes[0].fact(&fact.key()).unwrap().source;
    assert_eq!(source, Some(vm(1)));
    network.nodes[0].publish(fact.clone(), now_ms);
    assert!(contains_fact(&network.nodes[0].tick(now_ms + 50, &mut rng)));
}
