//! Ownership of leaves: a pure function of the VM list, the leaves and the live view.
//!
//! The base assigns bundles of leaves to all listed VMs by bounded rendezvous hashing within a
//! failure domain. The overlay moves only the bundles of VMs that are not live.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmKey;

/// A VM as placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Key of the VM.
    pub vm: VmKey,
    /// Name, which seeds the hash.
    pub name: &'a str,
    /// Failure domain of the VM.
    pub failure_domain: &'a str,
    /// Whether the VM takes work now.
    pub live: bool,
}

/// Leaves that are placed together.
#[derive(Clone, Copy, Debug)]
pub struct Bundle<'a> {
    /// Stable identity, which seeds the hash.
    pub hash: u64,
    /// Failure domain of the leaves.
    pub failure_domain: &'a str,
    /// Number of leaves.
    pub leaves: u32,
}

/// Owners of a bundle in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owners {
    /// VM that owns the bundle.
    pub primary: Option<VmKey>,
    /// VM to use while the primary can't be reached.
    pub standby: Option<VmKey>,
}

fn score(bundle: u64, vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), bundle)
}

/// Assigns every bundle to VMs.
///
/// # Examples
///
/// ```
/// use cloverrack::placement::{Bundle, Candidate, assign};
/// use cloverrack::VmKey;
/// let vm = Candidate { vm: VmKey::new(0), name: "a", failure_domain: "z", live: true };
/// let bundle = Bundle { hash: 7, failure_domain: "z", leaves: 1 };
/// assert_eq!(assign(&[vm], &[bundle])[0].primary, Some(VmKey::new(0)));
/// ```
pub fn assign(vms: &[Candidate<'_>], bundles: &[Bundle<'_>]) -> Vec<Owners> {
    let mut owners = vec![None; bundles.len()];
    for (domain, members) in by_domain(bundles) {
        let local: Vec<usize> = indices(vms, |vm| vm.failure_domain == domain);
        let pool = if local.is_empty() {
            indices(vms, |_| true)
        } else {
            local
        };
        assign_base(vms, &pool, bundles, &members, &mut owners);
    }
    let base = owners.clone();
    overlay(vms, bundles, &mut owners);
    let mut result = Vec::with_capacity(bundles.len());
    for (index, bundle) in bundles.iter().enumerate() {
        let primary = owners[index];
        let standby = standby(vms, bundle, primary, base[index]);
        result.push(Owners {
            primary: primary.map(|vm| vms[vm].vm),
            standby: standby.map(|vm| vms[vm].vm),
        });
    }
    result
}

fn indices(vms: &[Candidate<'_>], keep: impl Fn(&Candidate<'_>) -> bool) -> Vec<usize> {
    (0..vms.len()).filter(|index| keep(&vms[*index])).collect()
}

fn by_domain<'a>(bundles: &[Bundle<'a>]) -> BTreeMap<&'a str, Vec<usize>> {
    let mut domains: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, bundle) in bundles.iter().enumerate() {
        domains
            .entry(bundle.failure_domain)
            .or_default()
            .push(index);
    }
    domains
}

/// Bounded rendezvous hashing by deferred acceptance: a bundle proposes to VMs in order of score, a
/// full VM keeps the bundles with the highest scores.
fn assign_base(
    vms: &[Candidate<'_>],
    pool: &[usize],
    bundles: &[Bundle<'_>],
    members: &[usize],
    owners: &mut [Option<usize>],
) {
    if pool.is_empty() {
        return;
    }
    let capacity = members.len().div_ceil(pool.len());
    let mut held: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
    let mut preferences: BTreeMap<usize, std::vec::IntoIter<(u64, usize)>> = BTreeMap::new();
    let mut waiting = members.to_vec();
    while let Some(bundle) = waiting.pop() {
        let hash = bundles[bundle].hash;
        let ranked = preferences
            .entry(bundle)
            .or_insert_with(|| rank(vms, pool, hash));
        let Some((score, vm)) = ranked.next() else {
            continue;
        };
        let list = held.entry(vm).or_default();
        list.push((score, bundle));
        owners[bundle] = Some(vm);
        if list.len() <= capacity {
            continue;
        }
        let Some(lowest) = (0..list.len()).min_by_key(|index| list[*index]) else {
            continue;
        };
        let (_, evicted) = list.swap_remove(lowest);
        owners[evicted] = None;
        waiting.push(evicted);
    }
}

fn rank(vms: &[Candidate<'_>], pool: &[usize], hash: u64) -> std::vec::IntoIter<(u64, usize)> {
    let mut ranked: Vec<(u64, usize)> = pool
        .iter()
        .map(|vm| (score(hash, vms[*vm].name), *vm))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter()
}

/// Moves the bundles of VMs that are not live to the least loaded live VMs, own failure domain first.
fn overlay(vms: &[Candidate<'_>], bundles: &[Bundle<'_>], owners: &mut [Option<usize>]) {
    let mut load = vec![0_u32; vms.len()];
    let mut displaced = Vec::new();
    for (index, owner) in owners.iter().enumerate() {
        match owner {
            Some(vm) if vms[*vm].live => load[*vm] += bundles[index].leaves,
            _ => displaced.push(index),
        }
    }
    displaced.sort_unstable_by_key(|index| bundles[*index].hash);
    for index in displaced {
        let bundle = &bundles[index];
        let local = indices(vms, |vm| {
            vm.live && vm.failure_domain == bundle.failure_domain
        });
        let pool = if local.is_empty() {
            indices(vms, |vm| vm.live)
        } else {
            local
        };
        let best = pool.into_iter().min_by_key(|vm| {
            (
                load[*vm],
                std::cmp::Reverse(score(bundle.hash, vms[*vm].name)),
            )
        });
        owners[index] = best;
        if let Some(vm) = best {
            load[vm] += bundle.leaves;
        }
    }
}

/// Returns the VM that takes over next: the live VM with the highest score, other than the primary.
fn standby(
    vms: &[Candidate<'_>],
    bundle: &Bundle<'_>,
    primary: Option<usize>,
    base: Option<usize>,
) -> Option<usize> {
    let live_base = base.filter(|vm| vms[*vm].live && primary != Some(*vm));
    if live_base.is_some() {
        return live_base;
    }
    let mut pool = indices(vms, |vm| vm.live);
    pool.retain(|vm| Some(*vm) != primary);
    pool.into_iter().max_by_key(|vm| {
        let local = vms[*vm].failure_domain == bundle.failure_domain;
        (local, score(bundle.hash, vms[*vm].name))
    })
}
