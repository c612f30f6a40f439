//! Life cycle of a node: starts its services, serves callers, drains and stops.
//!
//! A node serves callers only after it has loaded the configuration, and finishes the requests in
//! flight before it stops, so that a stop under load interrupts no request.

use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::caller_api::CallerApi;
use crate::clock::{boot_ms, unix_ms};
use crate::component_registry::{CONTROL, ComponentRegistry, OWNER, PEER_CLIENT, ROOT, TELEMETRY};
use crate::control::ControlPlane;
use crate::dispatch::Dispatcher;
use crate::http_server::{ShutdownSignals, serve};
use crate::ids::Incarnation;
use crate::operator_api::OperatorApi;
use crate::owner::Owner;
use crate::peer_client::PeerClient;
use crate::peer_server::PeerServer;
use crate::root::Root;
use crate::settings::Settings;
use crate::telemetry::Telemetry;

/// Interval between checks of a state that the node waits for.
const POLL_INTERVAL_MS: u64 = 20;

/// Maximum wait for the states of all leaves after the configuration is loaded.
const LEAF_STATES_TIMEOUT_MS: u64 = 1_000;

/// Time beyond the longest deadline for which a stop waits for clients and peers.
const STOP_MARGIN_MS: u64 = 10_000;

/// Reason why a node could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("cannot bind the {0} listener")]
    Bind(&'static str),
    /// Metrics could not be set up.
    #[error("cannot set up metrics")]
    Telemetry,
}

/// State of a node that listens but does not serve callers yet.
#[derive(Debug)]
pub struct Starting {
    caller_listener: TcpListener,
}

/// State of a node that serves callers.
#[derive(Debug)]
pub struct Ready {
    caller_server: tokio::task::JoinHandle<()>,
}

/// State of a node that is no longer among the entry addresses and asks clients to disconnect.
#[derive(Debug)]
pub struct Draining {
    caller_server: tokio::task::JoinHandle<()>,
}

/// A node in life-cycle state `S`.
pub struct Node<S> {
    component_registry: Arc<ComponentRegistry>,
    control: Arc<ControlPlane>,
    root: Arc<Root>,
    settings: Arc<Settings>,
    shutdown_signals: ShutdownSignals,
    stop_internal: CancellationToken,
    tasks: TaskTracker,
    state: S,
}

async fn bind(
    address: std::net::SocketAddr,
    name: &'static str,
) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError::Bind(name))
}

impl Node<Starting> {
    /// Binds all listeners and starts the services; callers are not served yet.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub async fn bind(settings: Settings) -> Result<Self, Report<NodeError>> {
        let settings = Arc::new(settings);
        let caller_listener = bind(settings.caller_address, "caller").await?;
        let internal_listener = bind(settings.internal_address, "internal").await?;
        let operator_listener = bind(settings.operator_address, "operator").await?;
        let socket = UdpSocket::bind(settings.internal_address)
            .await
            .change_context(NodeError::Bind("internal UDP"))?;
        let telemetry = Arc::new(Telemetry::open().change_context(NodeError::Telemetry)?);
        let component_registry = Arc::new(ComponentRegistry::default());
        let tasks = TaskTracker::new();
        let stop_internal = CancellationToken::new();
        let incarnation = Incarnation::new(unix_ms(), rand::random());
        let peer_client = Arc::new(PeerClient::new(incarnation, settings.internal_address));
        let control = ControlPlane::spawn(
            Arc::clone(&settings),
            Arc::clone(&peer_client),
            Arc::clone(&telemetry),
            incarnation,
            socket,
            &stop_internal,
            &tasks,
        );
        let owner = Owner::spawn(Arc::clone(&control), &stop_internal, &tasks);
        let dispatcher = Dispatcher::new(
            settings.internal_address,
            Arc::clone(&owner),
            Arc::clone(&peer_client),
        );
        let root = Root::spawn(
            Arc::clone(&control),
            dispatcher,
            Arc::clone(&peer_client),
            Arc::clone(&telemetry),
            &tasks,
        );
        component_registry.register(TELEMETRY, Arc::clone(&telemetry));
        component_registry.register(CONTROL, Arc::clone(&control));
        component_registry.register(OWNER, owner);
        component_registry.register(ROOT, Arc::clone(&root));
        component_registry.register(PEER_CLIENT, peer_client);
        let peer_server_registry = Arc::clone(&component_registry);
        PeerServer::spawn(
            peer_server_registry,
            internal_listener,
            stop_internal.clone(),
            tasks.clone(),
        );
        let operator_api = OperatorApi::new(Arc::clone(&control), Arc::clone(&root), telemetry);
        tasks.spawn(serve(
            operator_listener,
            Arc::new(operator_api),
            ShutdownSignals {
                draining: stop_internal.clone(),
                stop: stop_internal.clone(),
            },
        ));
        info!(event = "node_starting", vm = %settings.vm, incarnation = %incarnation);
        Ok(Self {
            component_registry,
            control,
            root,
            settings,
            shutdown_signals: ShutdownSignals::default(),
            stop_internal,
            tasks,
            state: Starting { caller_listener },
        })
    }

    /// Waits, for a bounded time, until the state of each leaf was observed by this VM or a peer.
    ///
    /// Without these states, a query finds no second replica of a shard whose first replica fails.
    async fn wait_for_leaf_states(&self) {
        let wait_until_ms = boot_ms() + LEAF_STATES_TIMEOUT_MS;
        while boot_ms() < wait_until_ms {
            let fleet = self.control.fleet();
            let all_known = self.control.with_leaf_views(|views| {
                let mut leaves = fleet.leaves.iter();
                leaves.all(|leaf| leaf.leaving || views.contains_key(&leaf.address))
            });
            if all_known {
                return;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        info!(
            event = "leaf_states_unknown",
            waited_ms = LEAF_STATES_TIMEOUT_MS
        );
    }

    /// Loads the configuration and starts serving callers.
    pub async fn start_serving(self) -> Node<Ready> {
        self.control.join().await;
        self.wait_for_leaf_states().await;
        let caller_api = Arc::new(CallerApi::new(
            Arc::clone(&self.control),
            Arc::clone(&self.root),
        ));
        let listener = self.state.caller_listener;
        let caller_server =
            tokio::spawn(serve(listener, caller_api, self.shutdown_signals.clone()));
        self.control.start_gossip(&self.stop_internal, &self.tasks);
        info!(event = "node_ready", vm = %self.settings.vm);
        Node {
            component_registry: self.component_registry,
            control: self.control,
            root: self.root,
            settings: self.settings,
            shutdown_signals: self.shutdown_signals,
            stop_internal: self.stop_internal,
            tasks: self.tasks,
            state: Ready { caller_server },
        }
    }
}

impl Node<Ready> {
    /// Waits until another process has taken over this VM's address.
    pub async fn superseded(&self) {
        self.control.superseded().await;
    }

    /// Removes this VM from the entry addresses, asks clients to disconnect, and keeps serving
    /// until cached entry addresses have expired or `end_wait` completes.
    pub async fn drain(self, end_wait: impl Future<Output = ()>) -> Node<Draining> {
        info!(event = "node_draining", vm = %self.settings.vm, keep_ms = self.settings.keep_ms);
        self.control.leave();
        self.shutdown_signals.draining.cancel();
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(self.settings.keep_ms)) => {}
            () = end_wait => info!(event = "node_drain_cut_short", vm = %self.settings.vm),
        }
        Node {
            component_registry: self.component_registry,
            control: self.control,
            root: self.root,
            settings: self.settings,
            shutdown_signals: self.shutdown_signals,
            stop_internal: self.stop_internal,
            tasks: self.tasks,
            state: Draining {
                caller_server: self.state.caller_server,
            },
        }
    }
}

impl Node<Draining> {
    /// Finishes the requests in flight and stops all services.
    pub async fn stop(self) {
        if crate::faults::is_check_disabled("check.graceful_stop") {
            return;
        }
        let limit_ms = self.longest_deadline_ms() + STOP_MARGIN_MS;
        let vm = self.settings.vm.clone();
        let finish = tokio::time::timeout(Duration::from_millis(limit_ms), self.finish());
        let finished = finish.await.is_ok();
        info!(event = "node_stopped", vm = %vm, finished);
    }

    /// Returns the longest deadline that any service allows, which bounds how long a request in
    /// flight may run.
    fn longest_deadline_ms(&self) -> u64 {
        let fleet = self.control.fleet();
        let deadlines = fleet.services.iter().map(|s| s.max_deadline_ms);
        deadlines.max().unwrap_or(0)
    }

    async fn finish(self) {
        self.shutdown_signals.stop.cancel();
        let _ = self.state.caller_server.await;
        // All requests of callers are finished here; only peers may still send requests.
        self.root.drain();
        while self.root.in_flight() > 0 {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        self.stop_internal.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.component_registry.clear();
    }
}
