//! Harness of the process tests: stand-ins in this process, daemons as child processes.

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

static NEXT_NET: AtomicU16 = AtomicU16::new(0);

/// Daemon that clusters start in place of the current build.
static DAEMON: Mutex<Option<String>> = Mutex::new(None);

/// Makes clusters start an earlier build of the daemon, for comparison.
pub fn use_daemon(path: Option<&str>) {
    *DAEMON.lock().unwrap() = path.map(str::to_owned);
}

/// One daemon process.
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

/// Shape of a test cluster.
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

/// Stand-ins and daemons of one test.
pub struct Cluster {
    pub spec: ClusterSpec,
    pub platform: PlatformStandin,
    /// Leaves by shard, then replica; replica `r` is in failure domain `fd-r`.
    pub leaves: Vec<Vec<LeafStandin>>,
    pub daemons: Vec<Daemon>,
    /// Revisions of the VM list and the configuration published at the start.
    pub first_revisions: [u64; 2],
    net: [u8; 2],
}

/// Returns a loopback network of its own, so that tests may run side by side.
fn next_net() -> [u8; 2] {
    let number = NEXT_NET.fetch_add(1, Ordering::Relaxed);
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

    /// Starts stand-ins and publishes configuration and VM list; no daemon runs yet.
    pub async fn prepare(spec: ClusterSpec) -> Self {
        let net = next_net();
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
            net,
        };
        let vms = cluster.platform.put("cloverrack/vms", cluster.vm_list(&[]));
        let config = cluster.config("");
        let config = cluster.platform.put("cloverrack/config/test", config);
        cluster.first_revisions = [vms, config];
        cluster
    }

    fn address(&self, vm: usize, port: u16) -> SocketAddr {
        ([127, self.net[0], self.net[1], vm as u8 + 1], port).into()
    }

    /// Returns the VM list; `leaving` lists VMs that the platform takes away.
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

    /// Returns the configuration file; `extra` is added to the service's keys.
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

    /// Starts the daemon of one VM, in place of an earlier one.
    pub fn spawn(&mut self, vm: usize) {
        self.spawn_with(vm, &[]);
    }

    /// Starts the daemon of one VM with more flags, in place of an earlier one.
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
        let daemon = DAEMON.lock().unwrap().clone();
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

    /// Waits until every daemon answers a query with all shards covered, and knows all replicas:
    /// the first answers need one replica of each shard only.
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
            eventually("all leaves are known", async || {
                self.knows_all_leaves(vm).await
            })
            .await;
        }
    }

    /// Returns whether a daemon knows the state of all leaves.
    async fn knows_all_leaves(&self, vm: usize) -> bool {
        let status = self.status(vm).await.unwrap_or_default();
        let leaves = status["leaves"].as_array();
        leaves.is_some_and(|leaves| {
            leaves.len() == self.spec.shards * self.spec.replicas
                && leaves.iter().all(|leaf| !leaf["state"].is_null())
        })
    }

    /// Sends a request to one daemon; `None` if no answer came back.
    pub async fn query(&self, vm: usize, request: &CallerRequest) -> Option<Answer> {
        let body = serde_json::to_vec(request).unwrap();
        let (_, body) =
            exchange(self.daemons[vm].caller_address, "POST", "/v1/query", body).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the status page of one daemon.
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

    /// Cuts the links of one daemon to exactly these addresses.
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
            "build with --features fault-injection"
        );
    }

    /// Returns a fresh ticket block of one daemon.
    pub async fn ticket_block(&self, vm: usize) -> Option<String> {
        let caller = self.daemons[vm].caller_address;
        let (_, body) = exchange(caller, "POST", "/v1/tickets", Vec::new()).await?;
        let value: Value = serde_json::from_slice(&body).ok()?;
        Some(value["ticket_block"].as_str()?.to_owned())
    }

    /// Returns how often leaves started a request, over all leaves.
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

/// Makes an idempotent request.
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

/// Waits until `check` holds, and fails after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, check: impl AsyncFnMut() -> bool) {
    let holds = eventually_within(WAIT_TIMEOUT, check).await;
    assert!(holds, "not within {WAIT_TIMEOUT:?}: {what}");
}

/// Waits until `check` holds, and returns whether it did within the patience.
pub async fn eventually_within(time_limit: Duration, mut check: impl AsyncFnMut() -> bool) -> bool {
    let start = Instant::now();
    // A check that hangs, for instance on a listener that accepts nothing, is cut off as well.
    while let Some(left) = time_limit.checked_sub(start.elapsed()) {
        if tokio::time::timeout(left, check()).await == Ok(true) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Runs one HTTP/1.1 exchange on a connection of its own; `None` if it broke.
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
