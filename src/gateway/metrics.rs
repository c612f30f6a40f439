//! Counts requests, leaf calls and platform calls of the gateway, and exports them as Prometheus
//! text.

use error_stack::Report;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::connection::CallError;
use crate::http_server::CutOffCause;
use crate::telemetry::{Exporter, TelemetryError};

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    answers: Counter<u64>,
    answer_us: Histogram<u64>,
    failed_calls: Counter<u64>,
    extra_calls: Counter<u64>,
    connections: Counter<u64>,
    platform_calls: Counter<u64>,
    forwarded: Counter<u64>,
    link_checks: Counter<u64>,
    links_lost: Gauge<u64>,
    unanswered: Counter<u64>,
    memory_refusals: Counter<u64>,
    admissions: Counter<u64>,
    evacuated_domains: Gauge<u64>,
    cold_leaves: Gauge<u64>,
    cut_off_responses: Counter<u64>,
    leaf_body_waits: Counter<u64>,
    unread_bodies: Counter<u64>,
    capacity_reports: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics and their exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn open() -> Result<Self, Report<TelemetryError>> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("cloverrack_gateway");
        Ok(Self {
            answers: meter.u64_counter("cloverrack_gateway_answers").build(),
            answer_us: meter.u64_histogram("cloverrack_gateway_answer_us").build(),
            failed_calls: meter.u64_counter("cloverrack_gateway_failed_calls").build(),
            extra_calls: meter.u64_counter("cloverrack_gateway_extra_calls").build(),
            connections: meter.u64_counter("cloverrack_gateway_connections").build(),
            platform_calls: meter
                .u64_counter("cloverrack_gateway_platform_calls")
                .build(),
            forwarded: meter
                .u64_counter("cloverrack_gateway_forwarded_requests")
                .build(),
            link_checks: meter.u64_counter("cloverrack_gateway_link_checks").build(),
            links_lost: meter.u64_gauge("cloverrack_gateway_links_lost").build(),
            unanswered: meter
                .u64_counter("cloverrack_gateway_unanswered_requests")
                .build(),
            memory_refusals: meter
                .u64_counter("cloverrack_gateway_memory_refusals")
                .build(),
            admissions: meter.u64_counter("cloverrack_gateway_admissions").build(),
            evacuated_domains: meter
                .u64_gauge("cloverrack_gateway_evacuated_domains")
                .build(),
            cold_leaves: meter.u64_gauge("cloverrack_gateway_cold_leaves").build(),
            cut_off_responses: meter
                .u64_counter("cloverrack_gateway_cut_off_responses")
                .build(),
            leaf_body_waits: meter
                .u64_counter("cloverrack_gateway_leaf_body_waits")
                .build(),
            unread_bodies: meter
                .u64_counter("cloverrack_gateway_unread_bodies")
                .build(),
            capacity_reports: meter
                .u64_counter("cloverrack_gateway_capacity_reports")
                .build(),
            exporter,
        })
    }

    /// Counts an answer to a caller by status, and records its latency.
    pub fn count_answer(&self, status: u16, elapsed_us: u64) {
        self.answers
            .add(1, &[KeyValue::new("status", i64::from(status))]);
        self.answer_us.record(elapsed_us, &[]);
    }

    /// Counts a failed leaf call by error.
    pub fn count_failed_call(&self, error: CallError) {
        self.failed_calls
            .add(1, &[KeyValue::new("error", error.to_string())]);
    }

    /// Counts a retry or hedge that the retry budget granted or denied.
    pub fn count_retry(&self, granted: bool) {
        self.extra_calls
            .add(1, &[KeyValue::new("granted", granted)]);
    }

    /// Counts a new connection to a leaf.
    pub fn count_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the platform.
    pub fn count_platform_call(&self, succeeded: bool) {
        self.platform_calls
            .add(1, &[KeyValue::new("succeeded", succeeded)]);
    }

    /// Counts a request that was offered to another VM, by outcome.
    pub fn count_forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a check of the links to the leaves, and records whether they are lost after it.
    pub fn count_link_check(&self, answered: bool, are_lost: bool) {
        self.link_checks
            .add(1, &[KeyValue::new("answered", answered)]);
        self.links_lost.record(u64::from(are_lost), &[]);
    }

    /// Counts a request that ended without a response, by cause.
    pub fn count_unanswered(&self, cause: &'static str) {
        self.unanswered.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a refusal for want of memory, by what it was for.
    pub fn count_memory_refusal(&self, purpose: &'static str) {
        self.memory_refusals
            .add(1, &[KeyValue::new("purpose", purpose)]);
    }

    /// Counts a request of a ranked route that was not admitted on arrival, by rank and outcome.
    pub fn count_admission(&self, rank: u32, outcome: &'static str) {
        let rank = KeyValue::new("rank", i64::from(rank));
        self.admissions
            .add(1, &[rank, KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of failure domains whose leaves get no requests.
    pub fn record_evacuated_domains(&self, domains: usize) {
        self.evacuated_domains.record(domains as u64, &[]);
    }

    /// Records the number of leaves to which requests are limited since they are cold.
    pub fn record_cold_leaves(&self, leaves: usize) {
        self.cold_leaves.record(leaves as u64, &[]);
    }

    /// Counts a response that was cut off, by cause.
    pub fn count_cut_off(&self, cause: CutOffCause) {
        let cause = match cause {
            CutOffCause::Stalled => "stalled",
            CutOffCause::NoMemory => "no memory",
        };
        self.cut_off_responses
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a call that found no leaf with room for its body; it is tried again.
    pub fn count_leaf_body_wait(&self) {
        self.leaf_body_waits.add(1, &[]);
    }

    /// Counts a connection that was closed because its leaf did not read the body of a request.
    pub fn count_unread_body(&self) {
        self.unread_bodies.add(1, &[]);
    }

    /// Counts reports on what leaves take well, sent or received.
    pub fn count_capacity_reports(&self, direction: &'static str, reports: usize) {
        if reports > 0 {
            self.capacity_reports
                .add(reports as u64, &[KeyValue::new("direction", direction)]);
        }
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
