//! Sends concurrent requests at a fixed rate, and records all calls and samples of the status
//! pages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cloverrack::answer::{Answer, CallerRequest, Outcome};
use cloverrack::{Entries, Version};
use http::StatusCode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::history::{Call, VersionSample};
use super::{Cluster, SERVICE, exchange};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);

/// Deadline of each request.
const DEADLINE_MS: u64 = 1_500;

/// Time after which a caller closes a connection; longer than any answer may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);

/// Maximum number of attempts of one request, each through a randomly chosen VM.
const ATTEMPTS: usize = 3;

/// Interval between two samples of the status pages.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(60);

/// Timeout of one request for a status page or for entry addresses.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

/// Addresses of the VMs, which stay the same when a daemon is replaced.
#[derive(Clone)]
pub struct Addresses {
    pub callers: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
}

impl Addresses {
    pub fn of(cluster: &Cluster) -> Self {
        Self {
            callers: cluster.daemons.iter().map(|d| d.caller_address).collect(),
            operators: cluster.daemons.iter().map(|d| d.operator_address).collect(),
        }
    }
}

#[derive(Default)]
struct Recording {
    calls: Vec<Call>,
    samples: Vec<VersionSample>,
}

/// Entry addresses and ticket block that a caller caches.
#[derive(Clone, Default)]
struct EntryCache {
    vms: Vec<usize>,
    block: Option<String>,
    next_number: u32,
    expires_ms: u64,
}

/// Running load. Half of its requests are not idempotent if a ticket block is available.
pub struct Load {
    recorded: Arc<Mutex<Recording>>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

fn lock(recorded: &Mutex<Recording>) -> MutexGuard<'_, Recording> {
    recorded.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    pub fn start(addresses: Addresses, seed: u64) -> Self {
        let load = Self {
            recorded: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let caller = Caller {
            addresses: addresses.clone(),
            recorded: Arc::clone(&load.recorded),
        };
        let calls = caller.call_until(load.stop.clone(), load.tasks.clone(), seed);
        load.tasks.spawn(calls);
        let samples = sample_until(load.stop.clone(), addresses, Arc::clone(&load.recorded));
        load.tasks.spawn(samples);
        load
    }

    /// Returns the number of calls that have ended.
    pub fn ended(&self) -> usize {
        lock(&self.recorded).calls.len()
    }

    /// Records a call that was not sent by the load.
    pub fn record(&self, call: Call) {
        lock(&self.recorded).calls.push(call);
    }

    /// Ends the load and returns all calls and samples.
    pub async fn finish(self) -> (Vec<Call>, Vec<VersionSample>) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        let recorded = std::mem::take(&mut *lock(&self.recorded));
        (recorded.calls, recorded.samples)
    }
}

#[derive(Clone)]
struct Caller {
    addresses: Addresses,
    recorded: Arc<Mutex<Recording>>,
}

impl Caller {
    /// Sends requests at a fixed rate, whether or not earlier ones have ended.
    async fn call_until(self, stop: CancellationToken, tasks: TaskTracker, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cache = EntryCache::default();
        let mut interval = tokio::time::interval(REQUEST_INTERVAL);
        let mut number = 0_u64;
        while !stop.is_cancelled() {
            interval.tick().await;
            let intended_ms = unix_ms();
            if cache.expires_ms <= intended_ms {
                self.refresh(&mut cache, &mut rng).await;
            }
            number += 1;
            let id = match &cache.block {
                Some(block) if number.is_multiple_of(2) => {
                    cache.next_number += 1;
                    Some(format!("{block}.{}", cache.next_number))
                }
                _ => None,
            };
            let request = CallerRequest {
                idempotent: id.is_none(),
                request_id: id.unwrap_or(format!("i{seed}-{number}")).into(),
                payload: format!("p{seed}-{number}").into(),
                ..request_template()
            };
            let mut vms = Vec::new();
            for _ in 0..ATTEMPTS {
                vms.push(*cache.vms.choose(&mut rng).unwrap_or(&0));
            }
            let caller = self.clone();
            tasks.spawn(async move { caller.attempt(request, intended_ms, vms).await });
        }
    }

    /// Requests entry addresses and a ticket block from a random VM. Without an answer, all VMs are
    /// used.
    async fn refresh(&self, cache: &mut EntryCache, rng: &mut StdRng) {
        let vm = rng.random_range(0..self.addresses.callers.len());
        let path = format!("/v1/entries?caller=c{}", rng.random::<u16>());
        let response_future = exchange(self.addresses.callers[vm], "GET", &path, Vec::new());
        let answer = timeout(STATUS_TIMEOUT, response_future)
            .await
            .ok()
            .flatten();
        let entries = answer.and_then(|(_, body)| serde_json::from_slice::<Entries>(&body).ok());
        let all = (0..self.addresses.callers.len()).collect();
        let Some(entries) = entries else {
            cache.vms = all;
            cache.expires_ms = unix_ms() + 100;
            return;
        };
        let known = self.addresses.callers.iter().enumerate();
        let known = known.filter(|(_, address)| entries.addresses.contains(address));
        cache.vms = known.map(|(vm, _)| vm).collect();
        if cache.vms.is_empty() {
            cache.vms = all;
        }
        cache.block = entries.ticket_block.map(String::from);
        cache.next_number = 0;
        cache.expires_ms = unix_ms() + entries.keep_ms;
    }

    /// Sends a request, and resends it through the next VM while it has no answer or its outcome is
    /// `Unknown` or `NotRun`.
    async fn attempt(&self, request: CallerRequest, mut intended_ms: u64, vms: Vec<usize>) {
        for vm in vms {
            let call = send(&self.addresses, vm, &request, intended_ms).await;
            let outcome = call.answer.as_ref().map(|answer| answer.outcome);
            lock(&self.recorded).calls.push(call);
            if !matches!(outcome, None | Some(Outcome::Unknown | Outcome::NotRun)) {
                return;
            }
            intended_ms = unix_ms();
        }
    }
}

/// Returns an idempotent request to the cluster's service with an empty id and payload.
pub fn request_template() -> CallerRequest {
    CallerRequest {
        service: SERVICE.into(),
        member: "member".into(),
        request_id: "".into(),
        deadline_ms: DEADLINE_MS,
        idempotent: true,
        prefer: None,
        payload: "".into(),
    }
}

/// Sends a request once and returns the recorded call.
pub async fn send(
    addresses: &Addresses,
    vm: usize,
    request: &CallerRequest,
    intended_ms: u64,
) -> Call {
    let body = serde_json::to_vec(request).unwrap_or_default();
    let sent_ms = unix_ms();
    let sent = exchange(addresses.callers[vm], "POST", "/v1/query", body);
    let response: Option<(StatusCode, Bytes)> = timeout(CALL_TIMEOUT, sent).await.ok().flatten();
    let answer = response.and_then(|(_, body)| serde_json::from_slice::<Answer>(&body).ok());
    Call {
        vm,
        id: request.request_id.to_string(),
        payload: request.payload.to_string(),
        idempotent: request.idempotent,
        intended_ms,
        sent_ms,
        ended_ms: unix_ms(),
        answer,
    }
}

/// Returns the status page of a VM, or `None` without an answer within [`STATUS_TIMEOUT`].
pub async fn status(operator: SocketAddr) -> Option<Value> {
    let response_future = exchange(operator, "GET", "/v1/status", Vec::new());
    let (_, body) = timeout(STATUS_TIMEOUT, response_future).await.ok()??;
    serde_json::from_slice(&body).ok()
}

/// Returns the versions of the documents in force from a status page that was requested at `at_ms`.
pub fn version_samples(vm: usize, at_ms: u64, status: &Value) -> Vec<VersionSample> {
    let mut samples = Vec::new();
    for document in status["documents"].as_array().into_iter().flatten() {
        samples.push(VersionSample {
            vm,
            incarnation: status["incarnation"].as_str().unwrap_or("").to_owned(),
            at_ms,
            document: document["name"].as_str().unwrap_or("").to_owned(),
            version: version(&document["version"]),
        });
    }
    samples
}

fn version(value: &Value) -> Version {
    Version {
        epoch: value["epoch"].as_u64().unwrap_or(0),
        revision: value["revision"].as_u64().unwrap_or(0),
    }
}

/// Samples all status pages until `stop` is cancelled, and once more after it.
async fn sample_until(
    stop: CancellationToken,
    addresses: Addresses,
    recorded: Arc<Mutex<Recording>>,
) {
    loop {
        let is_last = stop.is_cancelled();
        for (vm, operator) in addresses.operators.iter().enumerate() {
            let at_ms = unix_ms();
            if let Some(status) = status(*operator).await {
                let samples = version_samples(vm, at_ms, &status);
                lock(&recorded).samples.extend(samples);
            }
        }
        if is_last {
            return;
        }
        let _ = timeout(SAMPLE_INTERVAL, stop.cancelled()).await;
    }
}
