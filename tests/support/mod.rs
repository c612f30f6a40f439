//! Starts test clusters and sends requests to them. Stand-ins for the platform and the leaves run
//! in the test process, daemons run as child processes.

#![allow(
    dead_code,
    clippy::unwrap_used,
    missing_docs,
    reason = "each test file uses a part of the harness"
)]

pub mod checker;
pub mod fault_run;
pub mod history;
pub mod inject;
pub mod load;
pub mod matrix;
pub mod stale_reply_leaf;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverrack::answer::{Answer, CallerRequest};
use cloverrack_standins::{LeafOptions, LeafStandin, PlatformStandin};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// Longest wait for an expected state before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Full name of the service that [`Cluster`] publishes.
pub const SERVICE: &str = "test/search";

/// Number of the next loopback network of this process.
static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

/// Path of the daemon that clusters start instead of the current build.
static DAEMON_OVERRIDE: Mutex<Option<String>> = Mutex::new(None);

/// Makes clusters start the daemon at `path`, for instance an earlier build to compare with.
pub fn use_daemon(path: Option<&str>) {
    *DAEMON_OVERRIDE.lock().unwrap() = path.map(str::to_owned);
}

/// One daemon process, which is killed on drop.
pub struct Daemon {
    pub vm: String,
    pub caller_address: SocketAddr,
    pub internal_address: SocketAddr,
    pub operator_address: SocketAddr,
    child: Child,
}

impl Daemon {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success(), "kill {name} {pid}");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        stat.rsplit(')')
            .next()
            .is_some_and(|rest| rest.starts_with(" T"))
    }

    pub fn try_exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Size and options of a test cluster.
#[derive(Clone)]
pub struct ClusterSpec {
    pub vms: usize,
    pub shards: usize,
    pub replicas: usize,
    pub policy: &'static str,
    pub leaf: LeafOptions,
    pub keep_ms: u64,
}

impl Default for ClusterSpec {
    fn default() -> Self {
        Self {
            vms: 3,
            shards: 3,
            replicas: 3,
            policy: "coverage",
            leaf: LeafOptions::default(),
            keep_ms: 300,
        }
    }
}

/// Stand-ins and daemons of one test cluster.
pub struct Cluster {
    pub spec: ClusterSpec,
    pub platform: PlatformStandin,
    /// Leaves by shard, then replica. Replica `r` is in failure domain `fd-{r % 3}`.
    pub leaves: Vec<Vec<LeafStandin>>,
    pub daemons: Vec<Daemon>,
    /// Revisions of the VM list and of the configuration that were published first.
    pub first_revisions: [u64; 2],
    network: [u8; 2],
}

/// Returns a different loopback network for each cluster, so that tests can run concurrently.
fn next_network() -> [u8; 2] {
    let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u16;
    [
        100 + (process % 100) as u8,
        (process / 100).wrapping_add(number * 37) as u8,
    ]
}

impl Cluster {
    /// Starts stand-ins and daemons and waits until each daemon covers all shards.
    pub async fn start(spec: ClusterSpec) -> Self {
        let mut cluster = Self::prepare(spec).await;
        for vm in 0..cluster.spec.vms {
            cluster.spawn(vm);
        }
        cluster.wait_until_covered().await;
        cluster
    }

    /// Starts stand-ins and publishes configuration and VM list. Daemons are not started.
    pub async fn prepare(spec: ClusterSpec) -> Self {
        let network = next_network();
        let platform = PlatformStandin::bind(([127, 0, 0, 1], 0).into())
            .await
            .unwrap();
        let mut leaves = Vec::new();
        for _ in 0..spec.shards {
            let mut replicas = Vec::new();
            for _ in 0..spec.replicas {
                let any = ([127, 0, 0, 1], 0).into();
                replicas.push(LeafStandin::bind(any, spec.leaf.clone()).await.unwrap());
            }
            leaves.push(replicas);
        }
        let mut cluster = Self {
            spec,
            platform,
            leaves,
            daemons: Vec::new(),
            first_revisions: [0; 2],
            network,
        };
        let vms = cluster.platform.put("cloverrack/vms", cluster.vm_list(&[]));
        let config = cluster.config("");
        let config = cluster.platform.put("cloverrack/config/test", config);
        cluster.first_revisions = [vms, config];
        cluster
    }

    fn address(&self, vm: usize, port: u16) -> SocketAddr {
        ([127, self.network[0], self.network[1], vm as u8 + 1], port).into()
    }

    /// Returns the VM list. `leaving` contains the VMs that the platform is about to remove.
    pub fn vm_list(&self, leaving: &[usize]) -> String {
        let mut vms = Vec::new();
        for vm in 0..self.spec.vms {
            vms.push(json!({
                "name": format!("vm-{vm}"), "region": "test",
                "failure_domain": format!("fd-{}", vm % 3),
                "caller_address": self.address(vm, 7000),
                "internal_address": self.address(vm, 7001),
                "leaving": leaving.contains(&vm),
            }));
        }
        json!({ "vms": vms }).to_string()
    }

    /// Returns the configuration file. `extra` is added to the keys of the service.
    pub fn config(&self, extra: &str) -> String {
        let mut text = format!(
            "region = \"test\"\n[service.search]\npolicy = \"{}\"\nleaf_slots = {}\n\
             leaf_connections = {}\n{extra}\n[service.search.leaf]\n",
            self.spec.policy, self.spec.leaf.slots, self.spec.leaf.connections,
        );
        let mut layout = String::new();
        for (shard, replicas) in self.leaves.iter().enumerate() {
            let mut names = Vec::new();
            for (replica, leaf) in replicas.iter().enumerate() {
                let name = format!("s{shard}r{replica}");
                text += &format!(
                    "{name} = {{ address = \"{}\", failure_domain = \"fd-{}\", target = \"t{shard}\" }}\n",
                    leaf.address(),
                    replica % 3,
                );
                names.push(format!("\"{name}\""));
            }
            layout += &format!("[{}], ", names.join(", "));
        }
        text + &format!("[[service.search.layout]]\nid = 1\nshards = [{layout}]\n")
    }

    /// Starts the daemon of one VM, replacing an earlier one.
    pub fn spawn(&mut self, vm: usize) {
        self.spawn_with(vm, &[]);
    }

    /// Starts the daemon of one VM with additional flags, replacing an earlier one.
    pub fn spawn_with(&mut self, vm: usize, flags: &[&str]) {
        let daemon = Daemon {
            vm: format!("vm-{vm}"),
            caller_address: self.address(vm, 7000),
            internal_address: self.address(vm, 7001),
            operator_address: self.address(vm, 7002),
            child: self.command(vm).args(flags).spawn().unwrap(),
        };
        if vm < self.daemons.len() {
            self.daemons[vm] = daemon;
        } else {
            self.daemons.push(daemon);
        }
    }

    fn command(&self, vm: usize) -> Command {
        let daemon = DAEMON_OVERRIDE.lock().unwrap().clone();
        let current = env!("CARGO_BIN_EXE_cloverrackd").to_owned();
        let mut command = Command::new(daemon.unwrap_or(current));
        let log = std::env::var("TEST_LOG").unwrap_or("off".to_owned());
        command
            .args(["--vm", &format!("vm-{vm}"), "--region", "test"])
            .args(["--failure-domain", &format!("fd-{}", vm % 3)])
            .args(["--listen", &self.address(vm, 7000).to_string()])
            .args(["--internal", &self.address(vm, 7001).to_string()])
            .args(["--operator", &self.address(vm, 7002).to_string()])
            .args(["--platform", &self.platform.address().to_string()])
            .args(["--keep-ms", &self.spec.keep_ms.to_string(), "--log", &log])
            .stdin(Stdio::null());
        command
    }

    /// Waits until every daemon answers a query with all shards covered and has the state of all
    /// leaves. Covered shards alone are not enough, since they need only one replica each.
    pub async fn wait_until_covered(&self) {
        for vm in 0..self.daemons.len() {
            let mut number = 0;
            eventually("all shards are covered", async || {
                number += 1;
                let answer = self
                    .query(vm, &request(&format!("warm-{vm}-{number}")))
                    .await;
                answer.is_some_and(|answer| {
                    answer.missing.is_empty() && answer.shards as usize == self.spec.shards
                })
            })
            .await;
            eventually("all leaf states are known", async || {
                self.lists_all_leaf_states(vm).await
            })
            .await;
        }
    }

    /// Returns whether the status page of a daemon lists all leaves with a state.
    async fn lists_all_leaf_states(&self, vm: usize) -> bool {
        let status = self.status(vm).await.unwrap_or_default();
        let leaves = status["leaves"].as_array();
        leaves.is_some_and(|leaves| {
            leaves.len() == self.spec.shards * self.spec.replicas
                && leaves.iter().all(|leaf| !leaf["state"].is_null())
        })
    }

    /// Sends a request to one daemon and returns its answer, or `None` if no valid answer arrived.
    pub async fn query(&self, vm: usize, request: &CallerRequest) -> Option<Answer> {
        let body = serde_json::to_vec(request).unwrap();
        let (_, body) =
            exchange(self.daemons[vm].caller_address, "POST", "/v1/query", body).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the status page of one daemon, or `None` if it does not answer.
    pub async fn status(&self, vm: usize) -> Option<Value> {
        let (_, body) = exchange(
            self.daemons[vm].operator_address,
            "GET",
            "/v1/status",
            Vec::new(),
        )
        .await?;
        serde_json::from_slice(&body).ok()
    }

    /// Cuts the links of one daemon to exactly these addresses, and restores all others.
    pub async fn cut(&self, vm: usize, peers: &[SocketAddr]) {
        let body = serde_json::to_vec(peers).unwrap();
        let answer = exchange(
            self.daemons[vm].operator_address,
            "POST",
            "/v1/faults/cut",
            body,
        )
        .await;
        assert_eq!(
            answer.unwrap().0,
            StatusCode::OK,
            "links not cut: is `--features fault-injection` enabled?"
        );
    }

    /// Requests a new ticket block from one daemon.
    pub async fn ticket_block(&self, vm: usize) -> Option<String> {
        let caller = self.daemons[vm].caller_address;
        let (_, body) = exchange(caller, "POST", "/v1/tickets", Vec::new()).await?;
        let value: Value = serde_json::from_slice(&body).ok()?;
        Some(value["ticket_block"].as_str()?.to_owned())
    }

    /// Returns the number of executions of a request on all leaves.
    pub fn executions_of(&self, request_id: &str) -> usize {
        let mut count = 0;
        for leaf in self.leaves.iter().flatten() {
            count += leaf
                .executions()
                .iter()
                .filter(|e| e.request == request_id)
                .count();
        }
        count
    }
}

/// Returns an idempotent request with a payload derived from its id.
pub fn request(id: &str) -> CallerRequest {
    CallerRequest {
        service: SERVICE.into(),
        member: "member".into(),
        request_id: id.into(),
        deadline_ms: 2_000,
        idempotent: true,
        prefer: None,
        payload: format!("payload of {id}").into(),
    }
}

/// Waits until `check` returns `true`, and fails the test after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, check: impl AsyncFnMut() -> bool) {
    let met = eventually_within(WAIT_TIMEOUT, check).await;
    assert!(met, "condition not met within {WAIT_TIMEOUT:?}: {what}");
}

/// Waits until `check` returns `true`, and returns whether it did within `time_limit`.
pub async fn eventually_within(time_limit: Duration, mut check: impl AsyncFnMut() -> bool) -> bool {
    let start = Instant::now();
    // Also cancels a check that hangs, for instance on a listener that accepts no connection.
    while let Some(left) = time_limit.checked_sub(start.elapsed()) {
        if tokio::time::timeout(left, check()).await == Ok(true) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Runs one HTTP/1.1 exchange on a new connection and returns status and body, or `None` if it
/// failed.
pub async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}
