//! Starts the gateway on one VM, serves callers and shuts it down without interrupting requests.
//!
//! Handles rolling restarts: callers are first moved to other VMs and requests in flight finish
//! before the process ends.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;
use tracing::info;

use super::catalog_rpc;
use super::catalog_sync;
use super::engine::{Engine, Headers};
use super::evidence_sync;
use super::follower::{CatalogSource, Follower};
use super::forwarder::Forwarder;
use super::leaf_end_check;
use super::leaf_reports;
use super::link_check;
use super::membership::Membership;
use super::metrics::Metrics;
use super::retry_budgets::RetryBudgetLimits;
use super::service::CallerService;
use super::stop_schedule::StopSchedule;
use super::stop_signal::sleep_until_us;
use super::vm_client::VmClient;
use super::vm_server::VmServer;
use crate::clock::{boot_ms, unix_ms};
use crate::component_registry::{CONTROL, ComponentRegistry, ROOT, TELEMETRY};
use crate::fact::Profile;
use crate::http_server::{Handler, ShutdownSignals, serve};

/// Interval between updates of the active VMs, idle connections, leaves kept for the grace period
/// and evidence on contents.
const MAINTENANCE_INTERVAL_MS: u64 = 250;

/// Settings of the gateway on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: Box<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub internal_address: SocketAddr,
    /// Address for leaf reports over UDP and forwarded requests over TCP; its port is the same on all
    /// VMs.
    pub leaf_reports_address: SocketAddr,
    /// Internal addresses of the VMs that are contacted at the start to join the membership.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of this VM.
    pub failure_domain: Box<str>,
    /// Processor time of this VM, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of this VM's network link, in megabits per second.
    pub link_mbps: u32,
    /// Memory of this VM.
    pub memory_bytes: usize,
    /// Whether the whole system is started for the first time.
    pub first_start: bool,
    /// Limits of the retry budgets.
    pub retry_budget: RetryBudgetLimits,
    /// Maximum time from a stop signal to the end of the process.
    pub stop_grace_ms: u64,
    /// Whether this VM learns from calls how fast each leaf is and how many calls it takes well.
    pub estimates_leaf_capacity: bool,
    /// Header names.
    pub headers: Headers,
}

/// Reason why the gateway could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum GatewayError {
    /// A listener could not be bound.
    #[error("cannot bind the {0} listener")]
    Bind(&'static str),
    /// The metrics could not be set up.
    #[error("cannot set up metrics")]
    Metrics,
    /// A component is missing in the component registry.
    #[error("a component of the process is missing")]
    Service,
}

/// State of a gateway that serves callers.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// State of a gateway that is draining: its address is no longer returned to callers.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    schedule: StopSchedule,
}

/// The gateway in lifecycle state `S`.
pub struct Gateway<S> {
    component_registry: Arc<ComponentRegistry>,
    engine: Arc<Engine>,
    settings: Arc<GatewaySettings>,
    shutdown_signals: ShutdownSignals,
    /// Servers of all listeners, which end when the last connection has ended.
    servers: TaskTracker,
    state: S,
}

async fn bind(
    address: SocketAddr,
    name: &'static str,
) -> Result<TcpListener, Report<GatewayError>> {
    let bound = TcpListener::bind(address).await;
    bound.change_context(GatewayError::Bind(name))
}

impl Gateway<Serving> {
    /// Binds the listeners, follows the platform and serves callers.
    ///
    /// Until a configuration is received, callers get responses marked as not run.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn<S: CatalogSource>(
        settings: GatewaySettings,
        source: S,
    ) -> Result<Self, Report<GatewayError>> {
        let settings = Arc::new(settings);
        let listener = bind(settings.caller_address, "caller").await?;
        let profile = Profile {
            caller_address: settings.caller_address,
            failure_domain: settings.failure_domain.clone(),
            millicores: settings.millicores,
            link_mbps: settings.link_mbps,
        };
        let internal = bind(settings.internal_address, "internal").await?;
        let forward_listener = bind(settings.leaf_reports_address, "forwarding").await?;
        let membership =
            Membership::bind(settings.internal_address, settings.seeds.clone(), profile);
        let membership = membership
            .await
            .change_context(GatewayError::Bind("membership"))?;
        let metrics = Metrics::open().change_context(GatewayError::Metrics)?;
        let engine = Engine::new(
            settings.headers.clone(),
            settings.retry_budget,
            settings.failure_domain.clone(),
            metrics,
        );
        let engine = Arc::new(engine.with_memory(settings.memory_bytes));
        let listed: HashSet<&SocketAddr> = settings.seeds.iter().collect();
        let is_listed = listed.contains(&settings.internal_address);
        engine.set_listed_vms(listed.len() + usize::from(!is_listed));
        engine.set_stop_grace_ms(settings.stop_grace_ms);
        if settings.estimates_leaf_capacity {
            engine.estimate_leaf_capacity(settings.internal_address);
        }
        let component_registry = Arc::new(ComponentRegistry::default());
        component_registry.register(CONTROL, Arc::clone(&membership));
        component_registry.register(ROOT, Arc::clone(&engine));
        tokio::spawn(Arc::clone(&membership).run());
        // Only a first start can wait for a peer's catalog to save platform calls. After a restart,
        // callers are waiting for this VM.
        let bootstrap_from_peers = settings.first_start && !membership.is_seed();
        engine.set_platform_watcher(!bootstrap_from_peers);
        tokio::spawn(Follower::new(source, Arc::clone(&engine)).run());
        let leaf_reports_socket = UdpSocket::bind(settings.leaf_reports_address)
            .await
            .change_context(GatewayError::Bind("notes"))?;
        let leaf_reports_socket = Arc::new(leaf_reports_socket);
        tokio::spawn(leaf_reports::receive(
            Arc::clone(&leaf_reports_socket),
            Arc::clone(&engine),
        ));
        let leaf_reports_sender = leaf_reports::send(
            leaf_reports_socket,
            Arc::clone(&engine),
            membership.address(),
        );
        tokio::spawn(leaf_reports_sender);
        tokio::spawn(catalog_rpc::serve(internal, Arc::clone(&engine)));
        let catalog_updates = catalog_sync::run(
            Arc::clone(&engine),
            Arc::clone(&membership),
            bootstrap_from_peers,
        );
        tokio::spawn(catalog_updates);
        tokio::spawn(evidence_sync::run(
            Arc::clone(&engine),
            Arc::clone(&membership),
        ));
        tokio::spawn(run_maintenance(
            Arc::clone(&engine),
            Arc::clone(&membership),
        ));
        let vm_client = Arc::new(VmClient::new(
            Arc::clone(&engine),
            Arc::clone(&membership),
            settings.leaf_reports_address.port(),
            StopSchedule::serving_ms(settings.stop_grace_ms),
        ));
        tokio::spawn(leaf_end_check::run(
            Arc::clone(&engine),
            Arc::clone(&membership),
            Arc::clone(&vm_client),
        ));
        let forwarder = Arc::new(Forwarder::new(Arc::clone(&engine), vm_client));
        tokio::spawn(link_check::run(
            Arc::clone(&engine),
            Arc::clone(&membership),
            Arc::clone(&forwarder),
        ));
        let shutdown_signals = ShutdownSignals::default();
        let service = CallerService::new(Arc::clone(&engine)).with_forwarder(forwarder);
        let service = Arc::new(service);
        component_registry.register(TELEMETRY, Arc::clone(&service));
        let vm_server = VmServer::new(Arc::clone(&service), membership);
        let vm_server = serve(
            forward_listener,
            Arc::new(vm_server),
            shutdown_signals.without_draining(),
        );
        let server = serve(listener, service, shutdown_signals.clone());
        let servers = TaskTracker::new();
        servers.spawn(server);
        servers.spawn(vm_server);
        info!(event = "gateway_serving", vm = %settings.vm, address = %settings.caller_address);
        Ok(Self {
            component_registry,
            engine,
            settings,
            shutdown_signals,
            servers,
            state: Serving,
        })
    }

    /// Serves another listener until the process stops.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn add_listener<H: Handler>(
        &self,
        address: SocketAddr,
        name: &'static str,
        handler: Arc<H>,
    ) -> Result<(), Report<GatewayError>> {
        let listener = bind(address, name).await?;
        let shutdown_signals = self.shutdown_signals.without_draining();
        self.servers
            .spawn(serve(listener, handler, shutdown_signals));
        Ok(())
    }

    /// Withdraws this VM's address and asks callers to disconnect. Their requests are still served.
    pub fn drain(self) -> Gateway<Draining> {
        info!(event = "gateway_leaving", vm = %self.settings.vm);
        if let Ok(membership) = self.component_registry.find::<Membership>(CONTROL) {
            membership.leave();
        }
        let schedule = self.engine.begin_stop();
        self.shutdown_signals.draining.cancel();
        Gateway {
            component_registry: self.component_registry,
            engine: self.engine,
            settings: self.settings,
            shutdown_signals: self.shutdown_signals,
            servers: self.servers,
            state: Draining { schedule },
        }
    }
}

impl<S> Gateway<S> {
    /// Returns the components of this process.
    pub fn component_registry(&self) -> &Arc<ComponentRegistry> {
        &self.component_registry
    }

    /// Returns the signals for the phases of the shutdown.
    pub fn shutdown_signals(&self) -> &ShutdownSignals {
        &self.shutdown_signals
    }
}

impl Gateway<Draining> {
    /// Serves callers until the time to close connections, then waits until the last connection has
    /// ended or the process has to exit.
    pub async fn stop(self) {
        let schedule = self.state.schedule;
        sleep_until_us(schedule.close_at_us).await;
        self.shutdown_signals.stop.cancel();
        self.servers.close();
        let finished = tokio::select! {
            () = self.servers.wait() => true,
            () = sleep_until_us(schedule.exit_at_us) => false,
        };
        let requests = &self.engine.open_requests;
        requests.record_exit();
        let (open, unanswered) = (requests.count(), requests.unanswered());
        info!(event = "gateway_stopped", vm = %self.settings.vm, finished, open, unanswered);
        self.component_registry.clear();
    }
}

/// Updates the active VMs, closes expired connections, and removes expired evidence and leaves
/// whose grace period has ended.
async fn run_maintenance(engine: Arc<Engine>, membership: Arc<Membership>) {
    loop {
        sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        engine.run_times.record();
        engine.update_active_vms(&membership.live_vms());
        engine.end_due_evacuations();
        engine.update_cold_leaves();
        let changed = {
            let state = &mut *engine.state();
            state.leaves.close_expired(boot_ms());
            state.content_quarantine.remove_expired(unix_ms());
            state.catalog.remove_expired(boot_ms())
        };
        if changed.leaves {
            engine.refresh();
        }
    }
}
