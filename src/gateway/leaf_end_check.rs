//! Confirms with another VM that leaves which refuse connections have ended, before their
//! unanswered runs count as evidence against contents.
//!
//! Handles partitions between this VM and some or all leaves.

use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Limited};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use super::connection::{CallError, Connection};
use super::engine::{Engine, State};
use super::link_check::LINK_CHECK_WAIT;
use super::membership::Membership;
use super::vm_client::VmClient;
use super::vm_server::HANDLED_HEADER;
use crate::clock::boot_us;
use crate::ids::LeafKey;
use crate::wire::{decode, encode};

/// Path of questions for the state of leaves.
pub(super) const LEAF_STATES_PATH: &str = "/leaf-states";

/// Time for which refusals are collected, since leaves of several shards may end together.
const COLLECT_MS: u64 = 5;

/// Maximum number of leaves in one question, each of which costs the other VM a connection.
const MAX_ASKED: usize = 8;

/// Maximum number of VMs that are asked.
const MAX_ASKED_VMS: usize = 2;

/// Timeout for an answer: that of a connection to a leaf, and a network round trip.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Question for the state of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafQuestion {
    /// Hash of the leaf's process.
    pub process: u64,
    /// Time since the address of the leaf refused a connection.
    pub refused_ago_us: u64,
}

/// State of a leaf as another VM finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum LeafAnswer {
    /// It accepts connections, or has replied since.
    Alive,
    /// Its address refuses connections.
    Refusing,
    /// The VM does not know the leaf, or its connection was neither accepted nor refused.
    Unknown,
}

/// Confirms or discards refusals until the task is dropped.
pub(super) async fn run(
    engine: Arc<Engine>,
    membership: Arc<Membership>,
    vm_client: Arc<VmClient>,
) {
    engine.state().leaves.set_confirms_refusals();
    loop {
        engine.refusal_recorded.notified().await;
        sleep(Duration::from_millis(COLLECT_MS)).await;
        while engine.state().leaves.refusals().next().is_some() {
            engine.check_refusals(&membership, &vm_client).await;
        }
    }
}

impl Engine {
    /// Confirms or discards the oldest refusals.
    async fn check_refusals(&self, membership: &Membership, vm_client: &VmClient) {
        if self.links_are_lost(LINK_CHECK_WAIT).await {
            self.state().leaves.forget_failures();
            return;
        }
        let mut asked: Vec<(LeafKey, LeafQuestion)> = Vec::new();
        {
            let now_us = boot_us();
            for (key, refusal) in self.state().leaves.refusals() {
                let question = LeafQuestion {
                    process: refusal.process,
                    refused_ago_us: now_us.saturating_sub(refusal.since_us),
                };
                asked.push((key, question));
            }
        }
        asked.sort_by_key(|(_, question)| std::cmp::Reverse(question.refused_ago_us));
        asked.truncate(MAX_ASKED);
        let questions: Vec<LeafQuestion> = asked.iter().map(|(_, question)| *question).collect();
        let answers = match ask(vm_client, &questions).await {
            Some(answers) => answers,
            None if membership.live_vms().len() > 1 && !self.reaches_leaves().await => {
                vec![LeafAnswer::Alive; asked.len()]
            }
            None => vec![LeafAnswer::Refusing; asked.len()],
        };
        let is_unknown = answers.contains(&LeafAnswer::Unknown);
        let reaches_leaves = !is_unknown || self.reaches_leaves().await;
        let state = &mut *self.state();
        for ((key, _), answer) in asked.into_iter().zip(answers) {
            let is_confirmed = match answer {
                LeafAnswer::Alive => false,
                LeafAnswer::Refusing => true,
                LeafAnswer::Unknown => reaches_leaves,
            };
            state.log_refusal(key, is_confirmed);
            if is_confirmed {
                state.leaves.confirm_refusal(key);
            } else {
                state.leaves.discard_refusal(key);
            }
        }
        self.record_ended_runs(state);
    }

    /// Answers the questions of another VM, which may be cut off from the leaves.
    pub(super) async fn leaf_answers(&self, questions: &[LeafQuestion]) -> Vec<LeafAnswer> {
        let answers = questions.iter().take(MAX_ASKED);
        join_all(answers.map(|question| self.leaf_answer(question))).await
    }

    async fn leaf_answer(&self, question: &LeafQuestion) -> LeafAnswer {
        let address = {
            let state = self.state();
            let mut leaves = state.leaves.iter().map(|(_, leaf)| leaf);
            let Some(leaf) = leaves.find(|leaf| leaf.record.process_hash() == question.process)
            else {
                return LeafAnswer::Unknown;
            };
            if leaf.alive_us.saturating_add(question.refused_ago_us) > boot_us() {
                return LeafAnswer::Alive;
            }
            leaf.address()
        };
        match Connection::open(address).await {
            Ok(_) => LeafAnswer::Alive,
            Err(CallError::ConnectRefused) => LeafAnswer::Refusing,
            Err(_) => LeafAnswer::Unknown,
        }
    }
}

impl State {
    fn log_refusal(&self, key: LeafKey, is_confirmed: bool) {
        let Some(leaf) = self.leaves.get(key) else {
            return;
        };
        let (address, id) = (leaf.address(), &leaf.record.id);
        if is_confirmed {
            info!(event = "leaf_ended", leaf = %address, %id);
        } else {
            info!(event = "leaf_end_refuted", leaf = %address, %id);
        }
    }
}

/// Asks another VM that reaches leaves; returns `None` if none answers.
async fn ask(vm_client: &VmClient, questions: &[LeafQuestion]) -> Option<Vec<LeafAnswer>> {
    let body = Bytes::from(encode(&questions.to_vec()).ok()?);
    let mut asked_vms = Vec::new();
    while asked_vms.len() < MAX_ASKED_VMS {
        let vm = vm_client.choose(&asked_vms)?;
        asked_vms.push(vm.address);
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let asking = async {
            let call = vm_client.call(&vm, LEAF_STATES_PATH, body.clone()).await;
            let response = call.ok()?;
            if !response.headers().contains_key(HANDLED_HEADER) {
                return None;
            }
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let bytes = body.collect().await.ok()?.to_bytes();
            decode::<Vec<LeafAnswer>>(&bytes).ok()
        };
        let answers = timeout(limit, asking).await.ok().flatten();
        match answers {
            Some(answers) if answers.len() == questions.len() => return Some(answers),
            _ => {
                debug!(event = "leaf_states_not_answered", vm = %vm.address);
                vm.avoid();
            }
        }
    }
    None
}
