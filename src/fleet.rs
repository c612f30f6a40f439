//! Immutable view of the fleet that a request uses for routing: services, layouts, leaves, VMs and
//! owners in arenas.
//!
//! The view is compiled from the documents in force and the set of live VMs. A request keeps its
//! view, so its lookups stay consistent if documents or the set of live VMs change meanwhile.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::{ConfigFile, Policy, ServiceConfig};
use crate::document::{CONFIG_PREFIX, Content, DocumentStore, VM_LIST, Version, VmEntry};
use crate::ids::{LeafKey, ServiceKey, VmKey};
use crate::placement::{Bundle, BundleOwners, Candidate, assign};

/// A VM of this region.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Entry in the platform's VM list.
    pub entry: VmEntry,
    /// Whether the VM accepts work, according to this node.
    pub live: bool,
}

/// A leaf with its limits and owners.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Service that the leaf belongs to.
    pub service: ServiceKey,
    /// Address, which identifies the leaf in messages between VMs.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: Box<str>,
    /// Target that the leaf belongs to.
    pub target: Box<str>,
    /// Maximum number of calls that the leaf executes concurrently.
    pub slots: u32,
    /// Maximum number of connections that the leaf accepts from all VMs together.
    pub connections: u32,
    /// Expected time to establish one connection.
    pub connect_ms: u64,
    /// Whether the configuration or the VM list marks the leaf as leaving.
    pub leaving: bool,
    /// Number of leaves with the same replica ordinal that are assigned to one VM together.
    pub bundle_leaves: u32,
    /// VMs that own the leaf.
    pub owners: BundleOwners,
}

impl Leaf {
    /// Applies the stricter limits of another listing of the same address.
    fn merge_limits(&mut self, other: &Self) {
        self.slots = self.slots.min(other.slots);
        self.connections = self.connections.min(other.connections);
        self.connect_ms = self.connect_ms.max(other.connect_ms);
        self.leaving |= other.leaving;
    }
}

/// Shard layout: the replicas of each shard.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Layout ID, which snapshots refer to.
    pub id: u32,
    /// Replicas of each shard.
    pub shards: Vec<Vec<LeafKey>>,
}

/// Service of a configuration file in force.
#[derive(Clone, Debug)]
pub struct Service {
    /// Full name, `FILE/SERVICE`.
    pub name: Box<str>,
    /// Version of the file.
    pub version: Version,
    /// Trade-off between latency and coverage.
    pub policy: Policy,
    /// Maximum deadline that a caller may request.
    pub max_deadline_ms: u64,
    /// Maximum size of a request payload.
    pub max_payload_bytes: usize,
    /// Maximum share of leaf calls that are hedges or retries, in parts per million.
    pub hedge_budget_ppm: u32,
    /// Maximum difference between the wall clocks of VMs and targets.
    pub clock_skew_ms: u64,
    /// Shard layouts.
    pub layouts: Vec<Layout>,
}

impl Service {
    /// Returns the layout with an ID.
    pub fn layout(&self, id: u32) -> Option<&Layout> {
        self.layouts.iter().find(|layout| layout.id == id)
    }
}

/// Service, failure domain and replica ordinal.
type ReplicaGroupKey<'a> = (ServiceKey, &'a str, usize);

/// Leaves that are assigned to the same VM.
struct LeafBundle {
    hash: u64,
    leaves: Vec<LeafKey>,
}

/// Immutable view of the fleet that a request keeps from start to end.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// VMs of this region, by name.
    pub vms: Vec<Vm>,
    /// Services in force.
    pub services: Vec<Service>,
    /// Leaves of all services.
    pub leaves: Vec<Leaf>,
    service_names: HashMap<Box<str>, ServiceKey>,
    leaf_addresses: HashMap<SocketAddr, LeafKey>,
}

impl Fleet {
    /// Compiles the documents in force into a view for one region.
    ///
    /// `is_live` returns whether the VM with an internal address accepts work.
    pub fn compile(
        store: &DocumentStore,
        region: &str,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Self {
        let mut fleet = Self::default();
        let mut leaving_targets = Vec::new();
        if let Some(Content::Vms(list)) = store.get(VM_LIST).map(|document| &document.content) {
            leaving_targets.clone_from(&list.leaving_targets);
            for entry in &list.vms {
                if &*entry.region != region {
                    continue;
                }
                let live = !entry.leaving && is_live(entry.internal_address);
                fleet.vms.push(Vm {
                    entry: entry.clone(),
                    live,
                });
            }
        }
        fleet.vms.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        for (name, document) in store.iter() {
            let Content::Config(file) = &document.content else {
                continue;
            };
            if &*file.region != region {
                continue;
            }
            let file_name = name.trim_start_matches(CONFIG_PREFIX);
            fleet.add_file(file_name, document.version, file, &leaving_targets);
        }
        fleet.assign_leaf_owners();
        fleet
    }

    fn add_file(
        &mut self,
        file_name: &str,
        version: Version,
        file: &ConfigFile,
        leaving_targets: &[SocketAddr],
    ) {
        for (name, config) in &file.services {
            let key = ServiceKey::new(self.services.len());
            let mut leaf_keys: BTreeMap<&str, LeafKey> = BTreeMap::new();
            for (leaf_name, leaf) in &config.leaves {
                let leaf_key = LeafKey::new(self.leaves.len());
                leaf_keys.insert(leaf_name, leaf_key);
                self.add_leaf(Leaf {
                    service: key,
                    address: leaf.address,
                    failure_domain: leaf.failure_domain.clone(),
                    target: leaf.target.clone(),
                    slots: config.leaf_slots,
                    connections: config.leaf_connections,
                    connect_ms: config.connect_ms,
                    leaving: leaf.leaving || leaving_targets.contains(&leaf.address),
                    bundle_leaves: config.bundle_leaves,
                    owners: BundleOwners {
                        primary: None,
                        standby: None,
                    },
                });
            }
            let full_name: Box<str> = format!("{file_name}/{name}").into();
            self.service_names.insert(full_name.clone(), key);
            self.services
                .push(compile_service(full_name, version, config, &leaf_keys));
        }
    }

    /// Adds a leaf. The first listing of an address gets the strictest limits of all its listings.
    fn add_leaf(&mut self, leaf: Leaf) {
        match self.leaf_addresses.get(&leaf.address) {
            Some(first) => self.leaves[first.index()].merge_limits(&leaf),
            None => {
                let key = LeafKey::new(self.leaves.len());
                self.leaf_addresses.insert(leaf.address, key);
            }
        }
        self.leaves.push(leaf);
    }

    /// Applies the limits and the owners of the first listing of an address to its other listings.
    fn sync_duplicate_listings(&mut self) {
        for index in 0..self.leaves.len() {
            let Some(first) = self.leaf_addresses.get(&self.leaves[index].address) else {
                continue;
            };
            if first.index() == index {
                continue;
            }
            let first = self.leaves[first.index()].clone();
            let other = &mut self.leaves[index];
            other.merge_limits(&first);
            other.owners = first.owners;
        }
    }

    /// Assigns owners to all leaves, bundle by bundle.
    fn assign_leaf_owners(&mut self) {
        let leaf_bundles = self.bundles();
        let mut candidates = Vec::with_capacity(self.vms.len());
        for (index, vm) in self.vms.iter().enumerate() {
            candidates.push(Candidate {
                vm: VmKey::new(index),
                name: &vm.entry.name,
                failure_domain: &vm.entry.failure_domain,
                live: vm.live,
            });
        }
        let mut bundles = Vec::with_capacity(leaf_bundles.len());
        for leaf_bundle in &leaf_bundles {
            bundles.push(Bundle {
                hash: leaf_bundle.hash,
                failure_domain: &self.leaves[leaf_bundle.leaves[0].index()].failure_domain,
                leaves: u32::try_from(leaf_bundle.leaves.len()).unwrap_or(u32::MAX),
            });
        }
        let owners = assign(&candidates, &bundles);
        for (leaf_bundle, owners) in leaf_bundles.iter().zip(owners) {
            for leaf in &leaf_bundle.leaves {
                self.leaves[leaf.index()].owners = owners;
            }
        }
        self.sync_duplicate_listings();
    }

    /// Splits the leaves of each service into bundles: leaves with the same replica ordinal and
    /// failure domain, in shard order.
    ///
    /// The hash of a bundle covers its position but no addresses, so a leaf that replaces another
    /// keeps its owner.
    fn bundles(&self) -> Vec<LeafBundle> {
        let replica_positions = self.replica_positions();
        let mut replica_groups: BTreeMap<ReplicaGroupKey<'_>, Vec<(usize, LeafKey)>> =
            BTreeMap::new();
        for (index, leaf) in self.leaves.iter().enumerate() {
            let key = LeafKey::new(index);
            if self.leaf_addresses.get(&leaf.address) != Some(&key) {
                continue;
            }
            let (replica, shard) = replica_positions
                .get(&key)
                .copied()
                .unwrap_or((usize::MAX, index));
            let group_key = (leaf.service, &*leaf.failure_domain, replica);
            replica_groups
                .entry(group_key)
                .or_default()
                .push((shard, key));
        }
        let mut leaf_bundles = Vec::new();
        for ((service, domain, replica), mut leaves) in replica_groups {
            leaves.sort_unstable();
            let size = self.leaf(leaves[0].1).bundle_leaves.max(1) as usize;
            let name = &self.service(service).name;
            for (number, chunk) in leaves.chunks(size).enumerate() {
                leaf_bundles.push(LeafBundle {
                    hash: xxh3_64(format!("{name} {domain} {replica} {number}").as_bytes()),
                    leaves: chunk.iter().map(|(_, leaf)| *leaf).collect(),
                });
            }
        }
        leaf_bundles
    }

    /// Returns the replica ordinal and the shard of each leaf in the first layout that contains it.
    fn replica_positions(&self) -> HashMap<LeafKey, (usize, usize)> {
        let mut replica_positions = HashMap::with_capacity(self.leaves.len());
        for layout in self.services.iter().flat_map(|service| &service.layouts) {
            for (shard, replicas) in layout.shards.iter().enumerate() {
                for (replica, leaf) in replicas.iter().enumerate() {
                    replica_positions.entry(*leaf).or_insert((replica, shard));
                }
            }
        }
        replica_positions
    }

    /// Finds a service by its full name.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Returns a service.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.index()]
    }

    /// Returns a leaf.
    pub fn leaf(&self, key: LeafKey) -> &Leaf {
        &self.leaves[key.index()]
    }

    /// Finds a leaf by its address.
    pub fn find_leaf(&self, address: SocketAddr) -> Option<&Leaf> {
        self.leaf_addresses.get(&address).map(|key| self.leaf(*key))
    }

    /// Returns a VM.
    pub fn vm(&self, key: VmKey) -> &Vm {
        &self.vms[key.index()]
    }

    /// Finds a VM by its internal address.
    pub fn find_vm(&self, internal_address: SocketAddr) -> Option<VmKey> {
        let position = self
            .vms
            .iter()
            .position(|vm| vm.entry.internal_address == internal_address);
        position.map(VmKey::new)
    }
}

fn compile_service(
    name: Box<str>,
    version: Version,
    config: &ServiceConfig,
    leaf_keys: &BTreeMap<&str, LeafKey>,
) -> Service {
    let mut layouts = Vec::with_capacity(config.layouts.len());
    for layout in &config.layouts {
        let shards = layout.shards.iter().map(|shard| {
            shard
                .iter()
                .filter_map(|leaf| leaf_keys.get(&**leaf).copied())
                .collect()
        });
        layouts.push(Layout {
            id: layout.id,
            shards: shards.collect(),
        });
    }
    Service {
        name,
        version,
        policy: config.policy,
        max_deadline_ms: config.max_deadline_ms,
        max_payload_bytes: config.max_payload_bytes,
        hedge_budget_ppm: config.hedge_budget_ppm,
        clock_skew_ms: config.clock_skew_ms,
        layouts,
    }
}
