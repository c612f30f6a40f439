//! Logs, with one key=value line per event, and metrics in the Prometheus text format.
//!
//! Counts each answer with its outcome, latency and missing shards. Also counts extra calls, calls
//! to the platform, and the traffic and CPU time of control work.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use error_stack::{Report, ResultExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use rustix::time::{ClockId, clock_gettime};
use thiserror::Error;
use tracing::Level;
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

use crate::answer::Answer;
use crate::clock::boot_ms;
use crate::log_rate_limiter::{LogRateLimiter, NonBlockingStdout};
use crate::report::{Reports, ServiceReport};

/// Logs or metrics could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum TelemetryError {
    /// The log filter is malformed.
    #[error("log filter is malformed")]
    InvalidFilter,
    /// A log subscriber is installed already.
    #[error("a log subscriber is installed already")]
    AlreadyInstalled,
    /// The metrics exporter could not be built.
    #[error("metrics exporter could not be built")]
    Exporter,
    /// The metrics could not be written as text.
    #[error("metrics could not be encoded")]
    Encode,
}

/// Sends log events that pass `filter` to standard error, one key=value line each.
///
/// # Errors
///
/// Fails on a malformed filter, and if logs were set up before.
pub fn init_logs(filter: &str) -> Result<(), Report<TelemetryError>> {
    let filter = EnvFilter::try_new(filter).change_context(TelemetryError::InvalidFilter)?;
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init()
        .change_context(TelemetryError::AlreadyInstalled)
}

/// Sends log events of level INFO and above to standard output, one key=value line each.
///
/// The rate of lines is limited, and a line is dropped if its write would block on the reader.
///
/// # Errors
///
/// Fails if logs were set up before.
pub fn init_rate_limited_logs() -> Result<(), Report<TelemetryError>> {
    let limiter = Arc::new(LogRateLimiter::default());
    let filter_limiter = Arc::clone(&limiter);
    let rate_filter = dynamic_filter_fn(move |metadata, _| {
        *metadata.level() <= Level::INFO && filter_limiter.try_acquire(*metadata.level(), boot_ms())
    });
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(move || NonBlockingStdout::new(Arc::clone(&limiter)))
        .with_filter(rate_filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .change_context(TelemetryError::AlreadyInstalled)
}

/// Exporter of metrics in the Prometheus text format.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without meters.
    ///
    /// # Errors
    ///
    /// Fails if it can't be built.
    pub fn open() -> Result<Self, Report<TelemetryError>> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .change_context(TelemetryError::Exporter)?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    /// Returns a meter; its instruments are exported until the exporter is dropped.
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Report<TelemetryError>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .change_context(TelemetryError::Encode)?;
        Ok(text)
    }
}

/// Counters and histograms of one process.
#[derive(Debug)]
pub struct Telemetry {
    exporter: Exporter,
    reports: Mutex<Reports>,
    answers: Counter<u64>,
    answer_ms: Histogram<u64>,
    missing_shards: Counter<u64>,
    extra_calls: Counter<u64>,
    unexpected_replies: Counter<u64>,
    platform_calls: Counter<u64>,
    platform_bytes: Counter<u64>,
    control_bytes: Counter<u64>,
    control_cpu_us: Counter<u64>,
}

/// Measures the CPU time of the calling thread.
///
/// Valid only if no `await` lies between start and reading: at an `await` the thread may run other
/// tasks, and the task may resume on another thread.
#[derive(Clone, Copy, Debug)]
pub struct CpuTimer {
    started_us: u64,
}

impl CpuTimer {
    /// Starts a timer.
    pub fn start() -> Self {
        Self {
            started_us: thread_cpu_us(),
        }
    }

    /// Returns the CPU time since the start.
    pub fn elapsed_us(&self) -> u64 {
        thread_cpu_us().saturating_sub(self.started_us)
    }
}

fn thread_cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}

impl Telemetry {
    /// Creates the metrics of this process.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn open() -> Result<Self, Report<TelemetryError>> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("cloverrack");
        Ok(Self {
            answers: meter.u64_counter("cloverrack_answers").build(),
            answer_ms: meter.u64_histogram("cloverrack_answer_ms").build(),
            missing_shards: meter.u64_counter("cloverrack_lacking_shards").build(),
            extra_calls: meter.u64_counter("cloverrack_extra_calls").build(),
            unexpected_replies: meter.u64_counter("cloverrack_unexpected_replies").build(),
            platform_calls: meter.u64_counter("cloverrack_platform_calls").build(),
            platform_bytes: meter.u64_counter("cloverrack_platform_bytes").build(),
            control_bytes: meter.u64_counter("cloverrack_control_bytes").build(),
            control_cpu_us: meter.u64_counter("cloverrack_control_cpu_us").build(),
            exporter,
            reports: Mutex::default(),
        })
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns tail latency, coverage and extra load of each service over the last one to two
    /// minutes.
    pub fn service_reports(&self) -> Vec<ServiceReport> {
        self.reports().all(boot_ms())
    }

    /// Counts the leaf calls of one request: those needed, one per shard, and those made.
    pub fn count_leaf_calls(&self, service: &str, needed: u64, made: u64) {
        self.reports()
            .record_calls(service, needed, made, boot_ms());
    }

    /// Records a final answer in the report of its service, which must be in the configuration in
    /// force.
    pub fn record_service_answer(&self, service: &str, answer: &Answer, elapsed_us: u64) {
        self.reports()
            .record_answer(service, answer, elapsed_us, boot_ms());
    }

    /// Counts a final answer by outcome, with its latency and missing shards.
    pub fn count_answer(&self, answer: &Answer, elapsed_ms: u64) {
        let outcome = KeyValue::new("outcome", format!("{:?}", answer.outcome));
        self.answers.add(1, std::slice::from_ref(&outcome));
        self.answer_ms.record(elapsed_ms, &[outcome]);
        self.missing_shards.add(answer.missing.len() as u64, &[]);
    }

    /// Counts a hedge or retry that the budget allowed or denied.
    pub fn count_extra_call(&self, allowed: bool) {
        self.extra_calls
            .add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts a reply that no pending request expects.
    pub fn count_unexpected_reply(&self) {
        self.unexpected_replies.add(1, &[]);
    }

    /// Counts a call to the platform and the bytes of its response.
    pub fn count_platform_call(&self, succeeded: bool, response_bytes: u64) {
        self.platform_calls
            .add(1, &[KeyValue::new("succeeded", succeeded)]);
        self.platform_bytes.add(response_bytes, &[]);
    }

    /// Counts bytes of control traffic; `transport` is `udp` or `link`, `direction` `sent` or
    /// `received`.
    pub fn count_control_bytes(
        &self,
        transport: &'static str,
        direction: &'static str,
        bytes: usize,
    ) {
        let labels = [
            KeyValue::new("transport", transport),
            KeyValue::new("direction", direction),
        ];
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Counts CPU time used by control work: gossip and configuration documents.
    pub fn count_control_cpu(&self, timer: &CpuTimer) {
        self.control_cpu_us.add(timer.elapsed_us(), &[]);
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>, Report<TelemetryError>> {
        self.exporter.encode()
    }
}
