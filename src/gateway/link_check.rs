//! Checks the links between this VM and the leaves by status checks of some leaves.
//!
//! Handles VMs that are cut off from the leaves, which have to find this out before their callers'
//! requests fail, and find the end of the partition without requests.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::Full;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

use super::connection::{CallError, Connection, Reply};
use super::engine::{Engine, State};
use super::forwarder::Forwarder;
use super::leaves::Leaf;
use super::link_monitor::{CheckResult, LinkChange, LinkState, SILENCE_US};
use super::membership::Membership;
use crate::clock::boot_us;
use crate::fact::LeafLinks;
use crate::ids::LeafKey;
use crate::running_timeout::running_timeout;

/// Interval at which the monitor is asked whether a check is due.
const POLL_INTERVAL_MS: u64 = 50;

/// Interval on a VM without calls, since each poll costs processor time.
const IDLE_POLL_INTERVAL_MS: u64 = 250;

/// Time after the latest call for which a VM counts as one with calls.
const IN_USE_US: u64 = 1_000_000;

/// Interval at which a failed request looks for the decision whether the links are lost.
const DECISION_POLL_MS: u64 = 5;

/// Timeout for the answer to a status check once the connection is open. It exceeds the pauses of
/// leaves and the delays of a loaded machine: slow leaves are no loss of links.
const ANSWER_TIMEOUT_MS: u64 = 500;

/// Timeout while the links are lost, since their end is not urgent.
const LOST_ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Longest time for which the decision whether the links are lost is waited for: the silence before a
/// check, and its timeout.
pub(super) const LINK_CHECK_WAIT: Duration = Duration::from_millis(700);

/// Checks the links whenever that is due and publishes their state, until the task is dropped.
pub(super) async fn run(
    engine: Arc<Engine>,
    membership: Arc<Membership>,
    forwarder: Arc<Forwarder>,
) {
    let mut published = LeafLinks::Connected;
    loop {
        let is_in_use = engine.state().link_monitor.is_in_use(IN_USE_US, boot_us());
        let interval_ms = if is_in_use {
            POLL_INTERVAL_MS
        } else {
            IDLE_POLL_INTERVAL_MS
        };
        sleep(Duration::from_millis(interval_ms)).await;
        engine.check_links_if_due().await;
        let links = leaf_links(engine.state().link_monitor.update(boot_us()));
        let forwards = links == LeafLinks::Lost && forwarder.has_candidate();
        engine.state().link_monitor.set_replaceable(forwards);
        engine.set_forwards(forwards);
        if links == published {
            continue;
        }
        published = links;
        membership.publish_leaf_links(links);
        if links == LeafLinks::Connected {
            forwarder.clear();
        }
    }
}

fn leaf_links(state: LinkState) -> LeafLinks {
    match state {
        LinkState::Connected => LeafLinks::Connected,
        LinkState::Lost { .. } => LeafLinks::Lost,
        LinkState::Recovering { .. } => LeafLinks::Recovering,
    }
}

impl Engine {
    /// Returns whether a request is to be sent to the leaves by this VM.
    pub(super) fn uses_leaves(&self) -> bool {
        let links = &self.state().link_monitor;
        links.uses_leaves(rand::random(), boot_us())
    }

    /// Follows whether requests are forwarded, since this VM reaches no leaf and another one does.
    pub(super) fn forwards(&self) -> watch::Receiver<bool> {
        self.forwards.subscribe()
    }

    fn set_forwards(&self, forwards: bool) {
        self.forwards
            .send_if_modified(|current| std::mem::replace(current, forwards) != forwards);
    }

    /// Returns whether no leaf can be reached. If calls fail in a way that may be due to the links,
    /// waits for a check or a reply, up to `limit`.
    pub(super) async fn links_are_lost(&self, limit: Duration) -> bool {
        let decided = async {
            loop {
                {
                    let state = &*self.state();
                    if state.link_monitor.is_lost() {
                        return true;
                    }
                    if !state.link_monitor.may_be_lost(state.leaves.usable_count()) {
                        return false;
                    }
                }
                sleep(Duration::from_millis(DECISION_POLL_MS)).await;
            }
        };
        timeout(limit, decided).await.unwrap_or(false)
    }

    /// Checks the links to the leaves if calls fail in a way that may be due to them.
    pub async fn check_links_if_due(&self) {
        if self.state().is_link_check_due() {
            self.check_links().await;
        }
    }

    /// Returns whether a leaf answers a status check of this VM now.
    pub(super) async fn reaches_leaves(&self) -> bool {
        self.check_links().await;
        !self.state().link_monitor.is_lost()
    }

    async fn check_links(&self) {
        let checked = self.state().link_checks();
        let was_lost = self.state().link_monitor.is_lost();
        let limit = Duration::from_millis(if was_lost {
            LOST_ANSWER_TIMEOUT_MS
        } else {
            ANSWER_TIMEOUT_MS
        });
        let answers = checked
            .iter()
            .map(|(_, address, request)| answers(*address, request.clone(), limit));
        let mut result = CheckResult::default();
        for ((leaf, ..), answer) in checked.iter().zip(join_all(answers).await) {
            match answer {
                Ok(Some(reply)) => {
                    result.answered += 1;
                    self.record_warmup(*leaf, &reply);
                }
                // The link works, although the reply counts against the leaf.
                Err(CallError::ImpossibleStatus) => result.answered += 1,
                Ok(None) | Err(CallError::Connect) => result.silent += 1,
                Err(_) => result.refused += 1,
            }
        }
        let answered = result.answered;
        let state = &mut *self.state();
        let links = &mut state.link_monitor;
        let change = links.record_check(result, boot_us());
        self.metrics.count_link_check(answered > 0, links.is_lost());
        match change {
            Some(LinkChange::Lost {
                failed_leaves,
                silent_us,
            }) => {
                let checked = checked.len();
                warn!(event = "leaf_links_lost", checked, failed_leaves, silent_us);
                state.leaves.forget_failures();
                if silent_us >= SILENCE_US {
                    state.leaves.close_all_idle();
                }
                state.concurrency_limiter.forget_pressure();
                state.admission.forget_pressure();
            }
            Some(LinkChange::Answering { lost_us }) => {
                info!(event = "leaf_links_answering", lost_us);
                state.leaves.forget_failures();
            }
            None => debug!(
                event = "leaf_links_checked",
                answered,
                checked = checked.len()
            ),
        }
    }
}

impl Engine {
    /// Applies the rest of its warm-up that a leaf names in the answer to a status check.
    fn record_warmup(&self, leaf: LeafKey, reply: &Reply) {
        let named = reply.headers.get(&self.headers.warmup_ms);
        let left_ms = named.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        if let Some(left_ms) = left_ms.filter(|_| reply.status.is_success()) {
            let leaves = &mut self.state().leaves;
            leaves.record_status_warmup(leaf, left_ms, boot_us());
        }
    }
}

impl State {
    fn is_link_check_due(&self) -> bool {
        let now_us = boot_us();
        let leaves = &self.leaves;
        let silent = || {
            let leaves = leaves.iter();
            leaves
                .filter(|(_, leaf)| leaf.leaf_stats.is_silent_for(SILENCE_US, now_us))
                .count()
        };
        self.link_monitor
            .is_check_due(leaves.usable_count(), silent, now_us)
    }

    /// Returns some of the leaves that were alive last, with the requests for their status. Leaves of
    /// services that are down tell nothing of the links, and those of evacuated domains get no requests.
    fn link_checks(&self) -> Vec<(LeafKey, SocketAddr, Request<Full<Bytes>>)> {
        let mut checked = Vec::new();
        let Some(route_table) = &self.route_table else {
            return checked;
        };
        let leaves = self.leaves.iter();
        let is_usable = |(_, leaf): &(LeafKey, &Leaf)| !leaf.is_departing() && !leaf.is_evacuated;
        let mut candidates: Vec<(LeafKey, &Leaf)> = leaves.filter(is_usable).collect();
        candidates.shuffle(&mut rand::rng());
        candidates.sort_by_key(|(_, leaf)| Reverse(leaf.alive_us));
        let count = self.link_monitor.checked_leaves();
        // While the links are lost, some of these leaves may have ended.
        let is_lost = self.link_monitor.is_lost();
        candidates.truncate(if is_lost { 2 * count } else { count });
        for (key, leaf) in candidates.sample(&mut rand::rng(), count) {
            let path = route_table.health_path(leaf.service);
            let request = Request::get(path.unwrap_or("/"))
                .header(http::header::HOST, leaf.address().to_string())
                .body(Full::default());
            if let Ok(request) = request {
                checked.push((*key, leaf.address(), request));
            }
        }
        checked
    }
}

/// Sends a request to a leaf on a new connection; any answer shows that the link works. Returns `None`
/// without an answer within `limit`, for which only time counts in which this process runs.
async fn answers(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Option<Reply>, CallError> {
    let mut connection = Connection::open(address).await?;
    let exchanged = running_timeout(limit, connection.exchange(request)).await;
    exchanged.transpose()
}
