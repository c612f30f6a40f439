//! Test harness: VMs in this process that share their leaves, each with links of its own to them.

#![allow(
    dead_code,
    clippy::unwrap_used,
    missing_docs,
    reason = "each test file uses a part of the harness"
)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverrack::component_registry::{CONTROL, ROOT};
use cloverrack::document::Version;
use cloverrack::gateway::entry::Serving;
use cloverrack::gateway::{
    CallerLimits, CatalogImage, CatalogSource, CatalogSourceError, ChangeSet, Connection, Engine,
    Gateway, GatewaySettings, LeafRecord, Membership, Reply, RetryBudgetLimits, RouteDocument,
    ServiceSpec, SourceChanges, SourceImage,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::gateway::{
    HEALTH_PATH, Leaf, LeafBehaviour, TARGET_LATENCY_MS, gather_route, headers, single_route,
};
use crate::link::{Link, LinkCondition, Upstream};

/// Ports, which are the same on each VM because the addresses differ.
const INTERNAL_PORT: u16 = 7_740;
const LEAF_REPORTS_PORT: u16 = 7_741;
const CALLER_PORT: u16 = 8_226;

/// Shards of the scatter-gather route, and the services of the routes to one leaf.
pub const SHARDS: [&str; 3] = ["shard-0", "shard-1", "shard-2"];
pub const SAFE_SERVICE: &str = "safe";
pub const ONCE_SERVICE: &str = "once";

/// Leaves of each service.
const REPLICAS: usize = 3;

/// Time in which a VM stops.
pub const STOP_GRACE_MS: u64 = 6_000;

/// Time within which all VMs have discovered each other.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Time after which a request counts as unanswered.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

/// How the links between a VM and the leaves are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections carry nothing, and new ones neither.
    Hang,
    /// Open connections are reset, and new ones too.
    Reset,
    /// Open connections are reset, and new ones refused.
    Refuse,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Nothing passes to the leaves.
    Requests,
    /// Nothing passes to the VM.
    Answers,
}

pub const CUTS: [Cut; 6] = [
    Cut::Hang,
    Cut::Reset,
    Cut::Refuse,
    Cut::RefuseNew,
    Cut::Requests,
    Cut::Answers,
];

/// Source of a catalog that does not change.
struct FixedSource(CatalogImage);

impl CatalogSource for FixedSource {
    async fn read_all(&self) -> Result<SourceImage, CatalogSourceError> {
        Ok(self.0.clone().into())
    }

    async fn changes(
        &self,
        after: Version,
        wait_ms: u64,
    ) -> Result<SourceChanges, CatalogSourceError> {
        sleep(Duration::from_millis(wait_ms)).await;
        Ok(ChangeSet {
            changes: Vec::new(),
            epoch: after.epoch,
            revision: after.revision,
        }
        .into())
    }
}

/// One VM with its links, one for each leaf of the fleet.
pub struct TestVm {
    pub address: SocketAddr,
    pub engine: Arc<Engine>,
    pub membership: Arc<Membership>,
    pub links: Vec<Link>,
    gateway: Mutex<Option<Gateway<Serving>>>,
}

pub struct TestFleet {
    pub vms: Vec<TestVm>,
    /// Leaves with their services, in the order of the links.
    pub leaves: Vec<(&'static str, Leaf)>,
}

/// Returns the document of routes `/g/`, `/a/` and `/o/`.
fn document(services: &[&'static str], target_latency_ms: u64) -> RouteDocument {
    let services = services.iter().map(|name| ServiceSpec {
        name: (*name).into(),
        max_connections: 31,
        health_path: HEALTH_PATH.into(),
    });
    let mut routes = vec![
        gather_route("/g/", &SHARDS, 1_000_000),
        single_route("/a/", SAFE_SERVICE, true, 2),
        single_route("/o/", ONCE_SERVICE, false, 1),
    ];
    for route in &mut routes {
        route.target_latency_ms = target_latency_ms;
        route.timeout_ms = route.timeout_ms.max(target_latency_ms);
    }
    RouteDocument {
        version: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.collect(),
        limits: CallerLimits {
            max_body_bytes: 100_000,
            idle_timeout_ms: 15_000,
        },
    }
}

impl TestFleet {
    /// Starts VMs in two failure domains and waits until they know each other.
    pub async fn start(count: u8) -> Self {
        Self::start_with_target(count, TARGET_LATENCY_MS).await
    }

    /// Starts VMs whose routes have this target latency.
    pub async fn start_with_target(count: u8, target_latency_ms: u64) -> Self {
        let mut services = SHARDS.to_vec();
        services.extend([SAFE_SERVICE, ONCE_SERVICE]);
        let mut leaves = Vec::new();
        for service in &services {
            for replica in 0..REPLICAS {
                let id = format!("{service}-{replica}");
                let leaf = Leaf::spawn(&id, 1, LeafBehaviour::Answer).await;
                leaves.push((*service, leaf));
            }
        }
        let net = NEXT_NET.fetch_add(1, Ordering::Relaxed) + std::process::id() * 16;
        let [low, high, ..] = net.to_le_bytes();
        let ips: Vec<IpAddr> = (1..=count)
            .map(|vm| IpAddr::V4(Ipv4Addr::new(127, 110 + high % 50, low, vm)))
            .collect();
        let document = document(&services, target_latency_ms);
        let mut vms = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            vms.push(TestVm::start(index, *ip, &ips, &document, &leaves).await);
        }
        let fleet = Self { vms, leaves };
        let discovered = async {
            while !fleet.is_complete() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(DISCOVERY_LIMIT, discovered).await.unwrap();
        fleet
    }

    fn is_complete(&self) -> bool {
        self.vms.iter().all(|vm| {
            vm.membership.live_vms().len() == self.vms.len() && vm.engine.route_table().is_some()
        })
    }

    /// Cuts a VM off from all leaves.
    pub async fn cut(&self, vm: usize, cut: Cut) {
        for link in &self.vms[vm].links {
            cut.apply(link).await;
        }
    }

    /// Cuts a VM off from the leaves of some services.
    pub async fn cut_services(&self, vm: usize, cut: Cut, services: &[&str]) {
        for (link, (service, _)) in self.vms[vm].links.iter().zip(&self.leaves) {
            if services.contains(service) {
                cut.apply(link).await;
            }
        }
    }

    /// Delays the bytes between all VMs and all leaves, in each direction.
    pub fn delay_all(&self, delay_ms: u64) {
        for vm in &self.vms {
            for link in &vm.links {
                link.set(LinkCondition::DelayMs(delay_ms));
            }
        }
    }

    /// Ends the leaves of a service: their addresses refuse the connections of all VMs.
    pub async fn end_service(&self, service: &str) {
        for (name, leaf) in &self.leaves {
            if *name == service {
                leaf.end();
            }
        }
        for vm in 0..self.vms.len() {
            self.cut_services(vm, Cut::Refuse, &[service]).await;
        }
    }

    pub async fn heal(&self, vm: usize) {
        for (link, (_, leaf)) in self.vms[vm].links.iter().zip(&self.leaves) {
            link.set(LinkCondition::Clear);
            link.set_upstream(Upstream::Server(leaf.address)).await;
        }
    }

    /// Fails if a VM has evidence against a content.
    pub fn assert_no_evidence(&self) {
        for (index, vm) in self.vms.iter().enumerate() {
            let state = vm.engine.state();
            let content_quarantine = &state.content_quarantine;
            assert!(
                content_quarantine.is_empty(),
                "VM {index}: {content_quarantine:?}"
            );
        }
    }

    /// Returns the number of runs of all requests at the leaves.
    pub fn executed(&self) -> usize {
        self.leaves.iter().map(|(_, leaf)| leaf.executed()).sum()
    }

    /// Returns the requests that leaves of a service ran.
    pub fn executed_ids(&self, service: &str) -> Vec<String> {
        let leaves = self.leaves.iter().filter(|(name, _)| *name == service);
        leaves.flat_map(|(_, leaf)| leaf.executed_ids()).collect()
    }
}

impl Cut {
    async fn apply(self, link: &Link) {
        match self {
            Self::Hang => link.set(LinkCondition::Blackhole),
            Self::Reset => link.set(LinkCondition::Reset),
            Self::Refuse => {
                link.set(LinkCondition::Reset);
                link.set_upstream(Upstream::Refusing).await;
            }
            Self::RefuseNew => link.set_upstream(Upstream::Refusing).await,
            Self::Requests => link.set(LinkCondition::CutRequests),
            Self::Answers => link.set(LinkCondition::CutAnswers),
        }
    }
}

impl TestVm {
    async fn start(
        index: usize,
        ip: IpAddr,
        ips: &[IpAddr],
        document: &RouteDocument,
        leaves: &[(&'static str, Leaf)],
    ) -> Self {
        let mut links = Vec::new();
        let mut records: Vec<LeafRecord> = Vec::new();
        for (service, leaf) in leaves {
            let link = Link::bind(Upstream::Server(leaf.address)).await;
            let mut record = leaf.record(service);
            record.address = link.address;
            records.push(record);
            links.push(link);
        }
        let image = CatalogImage {
            epoch: 0,
            revision: 1,
            document: Some(document.clone()),
            leaves: records,
        };
        let address = |port| SocketAddr::new(ip, port);
        let seeds = ips.iter().map(|ip| SocketAddr::new(*ip, INTERNAL_PORT));
        let settings = GatewaySettings {
            vm: format!("vm-{index}").into(),
            caller_address: address(CALLER_PORT),
            internal_address: address(INTERNAL_PORT),
            leaf_reports_address: address(LEAF_REPORTS_PORT),
            seeds: seeds.collect(),
            failure_domain: ["a", "b"][index % 2].into(),
            millicores: 500,
            link_mbps: 1_000,
            memory_bytes: 256 * 1_048_576,
            first_start: false,
            retry_budget: RetryBudgetLimits {
                ratio_ppm: 200_000,
                slack_calls: 50,
                window_ms: 10_000,
            },
            stop_grace_ms: STOP_GRACE_MS,
            estimates_leaf_capacity: false,
            headers: headers(),
        };
        let gateway = Gateway::spawn(settings, FixedSource(image)).await.unwrap();
        let registry = gateway.component_registry();
        Self {
            address: address(CALLER_PORT),
            engine: registry.find::<Engine>(ROOT).unwrap(),
            membership: registry.find::<Membership>(CONTROL).unwrap(),
            links,
            gateway: Mutex::new(Some(gateway)),
        }
    }

    /// Begins a planned stop. The VM serves until its stop grace has passed.
    pub fn stop(&self) -> JoinHandle<()> {
        let gateway = self.gateway.lock().unwrap().take().unwrap();
        tokio::spawn(gateway.drain().stop())
    }

    /// Sends a request over a new connection; returns the reply, if there is one in time.
    pub async fn send(&self, request: Request<Full<bytes::Bytes>>) -> Option<Reply> {
        let exchange = async {
            let mut connection = Connection::open(self.address).await.ok()?;
            connection.exchange(request).await.ok()
        };
        timeout(ANSWER_LIMIT, exchange).await.ok().flatten()
    }

    /// Returns whether a request is answered with success.
    pub async fn serves(&self, request: Request<Full<bytes::Bytes>>) -> bool {
        let reply = self.send(request).await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }
}
