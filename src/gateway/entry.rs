//! Life cycle of the gateway on one VM: it starts, serves, and leaves without cutting off a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;
use tracing::info;

use super::engine::{Engine, Headers};
use super::exchange;
use super::extra::ExtraCallBounds;
use super::follower::{Follower, Source};
use super::members::Members;
use super::meters::Meters;
use super::notes;
use super::service::CallerService;
use super::spread;
use crate::clock::boot_ms;
use crate::fact::Profile;
use crate::http_server::{Handler, Phases, serve};
use crate::kernel::{CONTROL, Kernel, ROOT, TELEMETRY};

/// Time between two looks at the number of VMs and at leaves kept for a grace time.
const TIDY_MS: u64 = 250;

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
    pub notes_address: SocketAddr,
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
    pub extra_calls: ExtraCallBounds,
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
    Meters,
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
    kernel: Arc<Kernel>,
    settings: Arc<GatewaySettings>,
    phases: Phases,
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
    pub async fn spawn<S: Source>(
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
        let members = Members::bind(settings.internal_address, settings.seeds.clone(), profile);
        let members = members
            .await
            .change_context(GatewayError::Bind("membership"))?;
        let meters = Meters::open().change_context(GatewayError::Meters)?;
        let engine = Arc::new(Engine::new(
            settings.headers.clone(),
            settings.extra_calls,
            settings.failure_domain.clone(),
            meters,
        ));
        let kernel = Arc::new(Kernel::default());
        kernel.register(CONTROL, Arc::clone(&members));
        kernel.register(ROOT, Arc::clone(&engine));
        tokio::spawn(Arc::clone(&members).run());
        // Callers wait for a VM that comes back; a first start has time to spare calls.
        let asks_peers = settings.first_start && !members.is_seed();
        engine.set_watching(!asks_peers);
        tokio::spawn(Follower::new(source, Arc::clone(&engine)).run());
        let notes_socket = UdpSocket::bind(settings.notes_address)
            .await
            .change_context(GatewayError::Bind("notes"))?;
        let notes_socket = Arc::new(notes_socket);
        tokio::spawn(notes::receive(
            Arc::clone(&notes_socket),
            Arc::clone(&engine),
        ));
        let sending = notes::send(notes_socket, Arc::clone(&engine), members.address());
        tokio::spawn(sending);
        tokio::spawn(exchange::serve(internal, Arc::clone(&engine)));
        let spreading = spread::run(Arc::clone(&engine), Arc::clone(&members), asks_peers);
        tokio::spawn(spreading);
        tokio::spawn(tidy(Arc::clone(&engine), members));
        let phases = Phases::default();
        let service = Arc::new(CallerService::new(engine));
        kernel.register(TELEMETRY, Arc::clone(&service));
        let callers = tokio::spawn(serve(listener, service, phases.clone()));
        info!(event = "gateway_serving", vm = %settings.vm, address = %settings.caller_address);
        Ok(Self {
            kernel,
            settings,
            phases,
            state: Serving { callers },
        })
    }

    /// Serves a further listener of this process until it ends.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn serve_also<H: Handler>(
        &self,
        address: SocketAddr,
        name: &'static str,
        handler: Arc<H>,
    ) -> Result<(), Report<GatewayError>> {
        let listener = bind(address, name).await?;
        let phases = Phases {
            leaving: self.phases.stop.clone(),
            stop: self.phases.stop.clone(),
        };
        tokio::spawn(serve(listener, handler, phases));
        Ok(())
    }

    /// Leaves the address answers and tells callers to go; their requests are served on.
    pub fn leave(self) -> Gateway<Leaving> {
        info!(event = "gateway_leaving", vm = %self.settings.vm);
        if let Ok(members) = self.kernel.find::<Members>(CONTROL) {
            members.leave();
        }
        self.phases.leaving.cancel();
        Gateway {
            kernel: self.kernel,
            settings: self.settings,
            phases: self.phases,
            state: Leaving {
                callers: self.state.callers,
                since_ms: boot_ms(),
            },
        }
    }
}

impl<S> Gateway<S> {
    /// Returns the services of this process.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Returns the phases of the end.
    pub fn phases(&self) -> &Phases {
        &self.phases
    }
}

impl Gateway<Leaving> {
    /// Serves for as long as callers may come, then ends when the last answer has left.
    pub async fn stop(self) {
        let grace_ms = self.settings.stop_grace_ms;
        let serve_ms = grace_ms.saturating_sub(STOP_MARGIN_MS);
        sleep(Duration::from_millis(serve_ms)).await;
        self.phases.stop.cancel();
        let passed_ms = boot_ms().saturating_sub(self.state.since_ms);
        let left_ms = grace_ms.saturating_sub(passed_ms + EXIT_MARGIN_MS);
        let ended = tokio::time::timeout(Duration::from_millis(left_ms), self.state.callers).await;
        info!(event = "gateway_stopped", vm = %self.settings.vm, finished = ended.is_ok());
        self.kernel.clear();
    }
}

/// Keeps what depends on time or on the number of VMs up to date.
async fn tidy(engine: Arc<Engine>, members: Arc<Members>) {
    loop {
        sleep(Duration::from_millis(TIDY_MS)).await;
        let carriers = engine.carriers(&members.live());
        engine.set_carriers(&carriers);
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
