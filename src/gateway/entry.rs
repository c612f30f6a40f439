//! Life cycle of the gateway on one VM: it starts, serves, and leaves without cutting off a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;
use tracing::info;

use super::catalog_rpc;
use super::catalog_sync;
use super::engine::{Engine, Headers};
use super::follower::{CatalogSource, Follower};
use super::gateway_metrics::GatewayMetrics;
use super::leaf_reports;
use super::membership::Membership;
use super::retry_budgets::RetryBudgetLimits;
use super::service::CallerService;
use crate::clock::boot_ms;
use crate::component_registry::{CONTROL, ComponentRegistry, ROOT, TELEMETRY};
use crate::fact::Profile;
use crate::http_server::{Handler, ShutdownSignals, serve};

/// Time between two looks at the number of VMs and at leaves kept for a grace time.
const MAINTENANCE_INTERVAL_MS: u64 = 250;

/// Time at the end of the stop grace that is kept free for the last answers to leave.
const STOP_MARGIN_MS: u64 = 1_200;

/// Time before the end of the stop grace at which the process ends by itself: later it is killed.
const EXIT_MARGIN_MS: u64 = 200;

/// Settings of the gateway on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: Box<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub internal_address: SocketAddr,
    /// Address for notes on leaves; its port is the same on all VMs.
    pub leaf_reports_address: SocketAddr,
    /// Internal addresses of VMs to ask at start.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of this VM.
    pub failure_domain: Box<str>,
    /// Processor time of this VM, in thousandths of a core.
    pub millicores: u32,
    /// Rate of this VM's link, in megabits per second.
    pub link_mbps: u32,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Bounds of extra calls.
    pub retry_budget: RetryBudgetLimits,
    /// Time from a stop signal to the end of the process at the latest.
    pub stop_grace_ms: u64,
    /// Names of headers.
    pub headers: Headers,
}

/// The gateway could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum GatewayError {
    /// A listener could not be bound.
    #[error("cannot bind the {0} listener")]
    Bind(&'static str),
    /// Counters could not be set up.
    #[error("cannot set up counters")]
    Metrics,
    /// A service of the process is missing.
    #[error("a service of the process is missing")]
    Service,
}

/// State of a gateway that serves callers.
#[derive(Debug)]
pub struct Serving {
    callers: tokio::task::JoinHandle<()>,
}

/// State of a gateway that has left the address answers.
#[derive(Debug)]
pub struct Leaving {
    callers: tokio::task::JoinHandle<()>,
    since_ms: u64,
}

/// The gateway in life-cycle state `S`.
pub struct Gateway<S> {
    component_registry: Arc<ComponentRegistry>,
    settings: Arc<GatewaySettings>,
    shutdown_signals: ShutdownSignals,
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
    /// Callers get "not run" until a configuration is known.
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
        let membership =
            Membership::bind(settings.internal_address, settings.seeds.clone(), profile);
        let membership = membership
            .await
            .change_context(GatewayError::Bind("membership"))?;
        let gateway_metrics = GatewayMetrics::open().change_context(GatewayError::Metrics)?;
        let engine = Arc::new(Engine::new(
            settings.headers.clone(),
            settings.retry_budget,
            settings.failure_domain.clone(),
            gateway_metrics,
        ));
        let component_registry = Arc::new(ComponentRegistry::default());
        component_registry.register(CONTROL, Arc::clone(&membership));
        component_registry.register(ROOT, Arc::clone(&engine));
        tokio::spawn(Arc::clone(&membership).run());
        // Callers wait for a VM that comes back; a first start has time to spare calls.
        let asks_peers = settings.first_start && !membership.is_seed();
        engine.set_watching(!asks_peers);
        tokio::spawn(Follower::new(source, Arc::clone(&engine)).run());
        let leaf_reports_socket = UdpSocket::bind(settings.leaf_reports_address)
            .await
            .change_context(GatewayError::Bind("notes"))?;
        let leaf_reports_socket = Arc::new(leaf_reports_socket);
        tokio::spawn(leaf_reports::receive(
            Arc::clone(&leaf_reports_socket),
            Arc::clone(&engine),
        ));
        let sending = leaf_reports::send(
            leaf_reports_socket,
            Arc::clone(&engine),
            membership.address(),
        );
        tokio::spawn(sending);
        tokio::spawn(catalog_rpc::serve(internal, Arc::clone(&engine)));
        let spreading = catalog_sync::run(Arc::clone(&engine), Arc::clone(&membership), asks_peers);
        tokio::spawn(spreading);
        tokio::spawn(run_maintenance(Arc::clone(&engine), membership));
        let shutdown_signals = ShutdownSignals::default();
        let service = Arc::new(CallerService::new(engine));
        component_registry.register(TELEMETRY, Arc::clone(&service));
        let callers = tokio::spawn(serve(listener, service, shutdown_signals.clone()));
        info!(event = "gateway_serving", vm = %settings.vm, address = %settings.caller_address);
        Ok(Self {
            component_registry,
            settings,
            shutdown_signals,
            state: Serving { callers },
        })
    }

    /// Serves a further listener of this process until it ends.
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
        let shutdown_signals = ShutdownSignals {
            draining: self.shutdown_signals.stop.clone(),
            stop: self.shutdown_signals.stop.clone(),
        };
        tokio::spawn(serve(listener, handler, shutdown_signals));
        Ok(())
    }

    /// Leaves the address answers and tells callers to go; their requests are served on.
    pub fn leave(self) -> Gateway<Leaving> {
        info!(event = "gateway_leaving", vm = %self.settings.vm);
        if let Ok(membership) = self.component_registry.find::<Membership>(CONTROL) {
            membership.leave();
        }
        self.shutdown_signals.draining.cancel();
        Gateway {
            component_registry: self.component_registry,
            settings: self.settings,
            shutdown_signals: self.shutdown_signals,
            state: Leaving {
                callers: self.state.callers,
                since_ms: boot_ms(),
            },
        }
    }
}

impl<S> Gateway<S> {
    /// Returns the services of this process.
    pub fn component_registry(&self) -> &Arc<ComponentRegistry> {
        &self.component_registry
    }

    /// Returns the phases of the end.
    pub fn shutdown_signals(&self) -> &ShutdownSignals {
        &self.shutdown_signals
    }
}

impl Gateway<Leaving> {
    /// Serves for as long as callers may come, then ends when the last answer has left.
    pub async fn stop(self) {
        let grace_ms = self.settings.stop_grace_ms;
        let serve_ms = grace_ms.saturating_sub(STOP_MARGIN_MS);
        sleep(Duration::from_millis(serve_ms)).await;
        self.shutdown_signals.stop.cancel();
        let passed_ms = boot_ms().saturating_sub(self.state.since_ms);
        let left_ms = grace_ms.saturating_sub(passed_ms + EXIT_MARGIN_MS);
        let ended = tokio::time::timeout(Duration::from_millis(left_ms), self.state.callers).await;
        info!(event = "gateway_stopped", vm = %self.settings.vm, finished = ended.is_ok());
        self.component_registry.clear();
    }
}

/// Keeps what depends on time or on the number of VMs up to date.
async fn run_maintenance(engine: Arc<Engine>, membership: Arc<Membership>) {
    loop {
        sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        let active_vms = engine.active_vms(&membership.live());
        engine.set_active_vms(&active_vms);
        let changed = {
            let state = &mut *engine.state();
            state.leaves.close_expired(boot_ms());
            state.catalog.expire(boot_ms())
        };
        if changed.leaves {
            engine.refresh();
        }
    }
}
