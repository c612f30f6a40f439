//! Benchmark of the balance and movement of leaf ownership compared with plain modulo and plain
//! rendezvous hashing, and of the time to compile a fleet. Prints one line of key=value pairs for
//! each case.

#![allow(missing_docs, reason = "a benchmark has no public interface")]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Instant;

use cloverrack::entries::rank_entry_addresses;
use cloverrack::placement::{Bundle, Candidate, assign};
use cloverrack::{DocumentStore, Fleet, VmKey};
use serde_json::json;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Shards and replicas of each of [`SERVICES`]; 4,400 leaves in all.
const SHARDS: usize = 50;
const REPLICAS: usize = 4;
const SERVICES: usize = 22;
const REVISION: u64 = 1;
/// Upper bound of the VMs that each movement case removes or replaces one at a time.
const MAX_CHANGED_VMS: usize = 40;
const TIMED_RUNS: u32 = 5;
const CALLERS: usize = 1_000;

type Ownership = HashMap<SocketAddr, String>;

#[derive(Clone)]
struct Case {
    vms: Vec<String>,
    domains: usize,
    bundle_leaves: usize,
}

impl Case {
    fn new(vms: usize, domains: usize, bundle_leaves: usize) -> Self {
        let vms = (0..vms).map(|vm| format!("vm-{vm:04}")).collect();
        Self {
            vms,
            domains,
            bundle_leaves,
        }
    }

    fn domain(&self, vm: usize) -> String {
        format!("fd-{}", vm % self.domains)
    }

    fn store(&self, unlisted: Option<usize>) -> DocumentStore {
        let mut store = DocumentStore::default();
        let mut vms = Vec::new();
        for (index, name) in self.vms.iter().enumerate() {
            if unlisted == Some(index) {
                continue;
            }
            vms.push(json!({
                "name": name, "region": "r", "failure_domain": self.domain(index),
                "caller_address": vm_address(index, 1), "internal_address": vm_address(index, 2),
            }));
        }
        let list = json!({ "vms": vms }).to_string();
        store.offer("vms", REVISION, list.as_bytes(), 0);
        for service in 0..SERVICES {
            let name = format!("config/f{service:02}");
            store.offer(&name, REVISION, self.file(service).as_bytes(), 0);
        }
        store
    }

    fn file(&self, service: usize) -> String {
        let bundle = self.bundle_leaves;
        let mut text = format!(
            "region = \"r\"\n[service.s]\nleaf_slots = 3\nleaf_connections = 30\n\
             bundle_leaves = {bundle}\n[service.s.leaf]\n"
        );
        let mut layout = String::new();
        for shard in 0..SHARDS {
            let mut names = Vec::new();
            for replica in 0..REPLICAS {
                let domain = (service * REPLICAS + replica) % self.domains;
                let address = format!("10.{service}.{shard}.{replica}:7100");
                let name = format!("s{shard}r{replica}");
                let _ = writeln!(
                    text,
                    "{name} = {{ address = \"{address}\", failure_domain = \"fd-{domain}\", target = \"t\" }}"
                );
                names.push(format!("\"{name}\""));
            }
            let _ = write!(layout, "[{}], ", names.join(", "));
        }
        text + &format!("[[service.s.layout]]\nid = 1\nshards = [{layout}]\n")
    }

    fn fleet_owners(&self, dead: Option<usize>, unlisted: Option<usize>) -> Ownership {
        let down = dead.map(|vm| vm_address(vm, 2));
        let fleet = Fleet::compile(&self.store(unlisted), "r", |vm| Some(vm) != down);
        let mut owners = Ownership::new();
        for leaf in &fleet.leaves {
            let vm = leaf.owners.primary.expect("a live VM");
            owners.insert(leaf.address, fleet.vm(vm).entry.name.to_string());
        }
        owners
    }

    /// Assigns each leaf separately by a rule over the sorted VMs of its failure domain.
    fn baseline_owners(
        &self,
        unlisted: Option<usize>,
        rule: fn(u64, &[&str]) -> usize,
    ) -> Ownership {
        let mut domains: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for (index, name) in self.vms.iter().enumerate() {
            if unlisted != Some(index) {
                domains.entry(self.domain(index)).or_default().push(name);
            }
        }
        domains.values_mut().for_each(|vms| vms.sort_unstable());
        let mut owners = Ownership::new();
        for leaf in &Fleet::compile(&self.store(None), "r", |_| true).leaves {
            let vms = &domains[&*leaf.failure_domain];
            let hash = xxh3_64(leaf.address.to_string().as_bytes());
            owners.insert(leaf.address, vms[rule(hash, vms)].to_owned());
        }
        owners
    }

    /// Returns the largest load over the mean of its failure domain.
    fn max_over_mean(&self, owners: &Ownership) -> f64 {
        let mut load: HashMap<&str, f64> = HashMap::new();
        for owner in owners.values() {
            *load.entry(owner).or_default() += 1.0;
        }
        let mut worst = 0.0_f64;
        for domain in 0..self.domains {
            let names = self.vms.iter().enumerate();
            let names = names.filter(|(index, _)| index % self.domains == domain);
            let loads: Vec<f64> = names
                .map(|(_, name)| load.get(&**name).copied().unwrap_or(0.0))
                .collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            worst = worst.max(loads.iter().copied().fold(0.0, f64::max) / mean);
        }
        worst
    }

    /// Returns the number of moved leaves over the number of leaves of the changed VMs, when
    /// `change` is applied to one VM at a time.
    fn movement_ratio(&self, before: &Ownership, change: impl Fn(usize) -> Ownership) -> f64 {
        let (mut moved, mut required) = (0, 0);
        let step = self.vms.len().div_ceil(MAX_CHANGED_VMS);
        for changed_vm in (0..self.vms.len()).step_by(step) {
            let after = change(changed_vm);
            for (leaf, owner) in before {
                required += usize::from(*owner == self.vms[changed_vm]);
                moved += usize::from(after.get(leaf) != Some(owner));
            }
        }
        f64::from(moved as u32) / f64::from(required as u32)
    }

    fn with_vm_replaced(&self, changed_vm: usize) -> Self {
        let mut other = self.clone();
        other.vms[changed_vm] = format!("replacement-{changed_vm:04}");
        other
    }

    /// Returns the lower bound of the movement on replacement for any pure function of the names:
    /// `2n / (n + 1)` for `n` VMs in a failure domain.
    fn replacement_bound(&self) -> f64 {
        let vms = self.vms.len() as f64 / self.domains as f64;
        2.0 * vms / (vms + 1.0)
    }
}

fn vm_address(vm: usize, port: u16) -> SocketAddr {
    ([10, 200, (vm / 250) as u8, (vm % 250) as u8], port).into()
}

fn modulo(hash: u64, vms: &[&str]) -> usize {
    (hash % vms.len() as u64) as usize
}

fn rendezvous(hash: u64, vms: &[&str]) -> usize {
    let score = |vm: &usize| xxh3_64_with_seed(vms[*vm].as_bytes(), hash);
    (0..vms.len()).max_by_key(score).unwrap_or(0)
}

fn report(case: &Case) {
    let (vms, bundle) = (case.vms.len(), case.bundle_leaves);
    for (name, rule) in [
        ("modulo", modulo as fn(u64, &[&str]) -> usize),
        ("rendezvous", rendezvous),
    ] {
        let before = case.baseline_owners(None, rule);
        let unlisted = case.movement_ratio(&before, |changed_vm| {
            case.baseline_owners(Some(changed_vm), rule)
        });
        let replaced = case.movement_ratio(&before, |changed_vm| {
            case.with_vm_replaced(changed_vm)
                .baseline_owners(None, rule)
        });
        println!(
            "algorithm={name} vms={vms} bundle_leaves=1 max_over_mean={:.3} unlisted={unlisted:.2} \
             replaced={replaced:.2}",
            case.max_over_mean(&before)
        );
    }
    let before = case.fleet_owners(None, None);
    let dead = case.movement_ratio(&before, |changed_vm| {
        case.fleet_owners(Some(changed_vm), None)
    });
    let unlisted = case.movement_ratio(&before, |changed_vm| {
        case.fleet_owners(None, Some(changed_vm))
    });
    let replaced = case.movement_ratio(&before, |changed_vm| {
        case.with_vm_replaced(changed_vm).fleet_owners(None, None)
    });
    println!(
        "algorithm=product vms={vms} bundle_leaves={bundle} max_over_mean={:.3} dead={dead:.2} \
         unlisted={unlisted:.2} replaced={replaced:.2} replaced_bound={:.2}",
        case.max_over_mean(&before),
        case.replacement_bound()
    );
}

fn mean_time_ms(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..TIMED_RUNS {
        run();
    }
    start.elapsed().as_secs_f64() * 1_000.0 / f64::from(TIMED_RUNS)
}

fn time(case: &Case) {
    let (vms, bundle) = (case.vms.len(), case.bundle_leaves);
    let store = case.store(None);
    let compile_ms = mean_time_ms(|| {
        std::hint::black_box(Fleet::compile(&store, "r", |_| true));
    });
    let mut candidates = Vec::new();
    let domains: Vec<String> = (0..vms).map(|vm| case.domain(vm)).collect();
    for (index, name) in case.vms.iter().enumerate() {
        candidates.push(Candidate {
            vm: VmKey::new(index),
            name,
            failure_domain: &domains[index],
            live: true,
        });
    }
    let mut bundles = Vec::new();
    for number in 0..SERVICES * SHARDS * REPLICAS / bundle {
        bundles.push(Bundle {
            hash: xxh3_64(&number.to_le_bytes()),
            failure_domain: &domains[number % case.domains],
            leaves: bundle as u32,
        });
    }
    let assign_ms = mean_time_ms(|| {
        std::hint::black_box(assign(&candidates, &bundles));
    });
    candidates
        .iter_mut()
        .step_by(3)
        .for_each(|vm| vm.live = false);
    let third_dead_ms = mean_time_ms(|| {
        std::hint::black_box(assign(&candidates, &bundles));
    });
    println!(
        "time vms={vms} bundle_leaves={bundle} assign_ms={assign_ms:.2} \
         assign_third_dead_ms={third_dead_ms:.2} compile_ms={compile_ms:.2}"
    );
}

/// Prints how evenly callers spread over first addresses. The failure domains have equal numbers of
/// callers, about a third in each of three.
fn entries(case: &Case) {
    let fleet = Fleet::compile(&case.store(None), "r", |_| true);
    let mut first: HashMap<SocketAddr, u32> = HashMap::new();
    for caller in 0..CALLERS {
        let domain = case.domain(caller);
        let ranked = rank_entry_addresses(&fleet, Some(&domain), &format!("caller-{caller}"));
        *first.entry(ranked[0]).or_default() += 1;
    }
    let mean = CALLERS as f64 / case.vms.len() as f64;
    let most = f64::from(first.into_values().max().unwrap_or(0));
    println!(
        "entries vms={} callers={CALLERS} max_over_mean={:.2}",
        case.vms.len(),
        most / mean
    );
}

fn main() {
    for (vms, domains) in [(8, 3), (50, 3), (200, 3), (760, 6)] {
        entries(&Case::new(vms, domains, 1));
        for bundle_leaves in [1, 6] {
            let case = Case::new(vms, domains, bundle_leaves);
            report(&case);
            time(&case);
        }
    }
}
