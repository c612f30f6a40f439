//! Runs each request that is not idempotent at most once, identified by a ticket.
//!
//! Only the process that issued a ticket redeems it, so a request that is resent after a timeout or
//! to another VM is forwarded there and gets the outcome of the first execution.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::clock::{boot_ms, unix_ms};
use crate::root::Root;
use crate::ticket::{RedeemResult, Ticket};
use crate::wire::ForwardedRequest;

/// Records the outcome of a redeemed ticket when dropped, even if the task that runs the request
/// panics or is cancelled.
struct TicketCompletionGuard {
    root: Arc<Root>,
    ticket: Ticket,
    answer: Option<Answer>,
}

impl Drop for TicketCompletionGuard {
    fn drop(&mut self) {
        let unknown_answer = || {
            let id = self.ticket.to_string();
            Answer::without_results(&id, Outcome::Unknown, Reason::Failed)
        };
        let answer = self.answer.take().unwrap_or_else(unknown_answer);
        if let Some(tickets) = self.root.state().tickets.as_mut() {
            tickets.complete(self.ticket, &answer);
        }
    }
}

impl Root {
    /// Runs a request that is not idempotent here, or forwards it to the issuer of its ticket.
    pub(crate) async fn run_at_most_once(self: &Arc<Self>, request: CallerRequest) -> Answer {
        let id = &request.request_id;
        let Some(ticket) = Ticket::parse(id) else {
            return match self.admit(&request).await {
                Ok(_permit) => self.ticket_required(id),
                Err(answer) => answer,
            };
        };
        if ticket.block.issuer == self.control.incarnation() {
            return self.redeem(ticket, request).await;
        }
        match self.admit(&request).await {
            Ok(_permit) => self.forward(ticket.block.address, request).await,
            Err(answer) => mark_outcome_unknown(answer),
        }
    }

    fn ticket_required(&self, request_id: &str) -> Answer {
        let mut answer =
            Answer::without_results(request_id, Outcome::NotRun, Reason::TicketRequired);
        answer.ticket_block = self.issue_ticket_block();
        answer.retry_after(0)
    }

    /// Forwards a request to the VM that issued its ticket.
    async fn forward(&self, issuer: SocketAddr, request: CallerRequest) -> Answer {
        let id = request.request_id.clone();
        info!(event = "forward", request = %id, issuer = %issuer);
        crate::faults::hit_fail_point("request.forwarded");
        if issuer == self.control.settings.internal_address || !self.control.is_known_peer(issuer) {
            return Answer::without_results(&id, Outcome::Unknown, Reason::TicketIssuerLost);
        }
        let wait = Duration::from_millis(request.deadline_ms);
        let forwarded = ForwardedRequest {
            deadline_unix_ms: unix_ms() + request.deadline_ms,
            request,
        };
        let call = self.peer_client.call(issuer, "/forward", &forwarded);
        match timeout(wait, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                warn!(event = "forward_failed", request = %id, %error);
                Answer::without_results(&id, Outcome::Unknown, Reason::TicketIssuerLost)
            }
            Err(_) => Answer::without_results(&id, Outcome::Unknown, Reason::Timeout),
        }
    }

    /// Runs a request that another VM received and forwarded, under a ticket of this process.
    pub async fn run_forwarded(self: &Arc<Self>, forwarded: ForwardedRequest) -> Answer {
        let mut request = forwarded.request;
        let remaining_ms = forwarded.deadline_unix_ms.saturating_sub(unix_ms());
        request.deadline_ms = request.deadline_ms.min(remaining_ms);
        match Ticket::parse(&request.request_id) {
            Some(ticket) if ticket.block.issuer == self.control.incarnation() => {
                self.redeem(ticket, request).await
            }
            _ => Answer::without_results(
                &request.request_id,
                Outcome::Unknown,
                Reason::TicketIssuerLost,
            ),
        }
    }

    /// Runs a request under a ticket of this process, at most once.
    ///
    /// The ticket is redeemed before admission, so that a refusal never reports `NotRun` for a
    /// request that ran when it was sent before.
    async fn redeem(self: &Arc<Self>, ticket: Ticket, request: CallerRequest) -> Answer {
        let id = request.request_id.clone();
        let redeemed = self.state().tickets.as_mut().map(|tickets| {
            let content = tickets.content_hash(&request);
            tickets.redeem(ticket, content, boot_ms())
        });
        let not_run = |reason| Answer::without_results(&id, Outcome::NotRun, reason).retry_after(0);
        match redeemed {
            Some(RedeemResult::Run) => self.run_redeemed(ticket, request).await,
            Some(RedeemResult::Wait(outcome)) => {
                wait_for_outcome(outcome, &id, request.deadline_ms).await
            }
            Some(RedeemResult::Completed(answer)) => Answer::clone(&answer),
            Some(RedeemResult::OtherContent) => not_run(Reason::TicketOtherContent),
            Some(RedeemResult::NotIssued) => self.ticket_required(&id),
            Some(RedeemResult::Full) => not_run(Reason::Overloaded),
            Some(RedeemResult::Expired) | None => {
                Answer::without_results(&id, Outcome::Unknown, Reason::TicketExpired)
            }
        }
    }

    /// Runs a request whose ticket was just redeemed with the result [`RedeemResult::Run`].
    ///
    /// It runs in a separate task, so that its outcome is recorded even if the caller disconnects.
    async fn run_redeemed(self: &Arc<Self>, ticket: Ticket, request: CallerRequest) -> Answer {
        let id = request.request_id.clone();
        let mut completion_guard = TicketCompletionGuard {
            root: Arc::clone(self),
            ticket,
            answer: None,
        };
        let root = Arc::clone(self);
        let running = self.tasks.spawn(async move {
            let answer = match root.admit(&request).await {
                Ok(_permit) => root.execute(&request).await,
                Err(answer) => answer,
            };
            completion_guard.answer = Some(answer.clone());
            drop(completion_guard);
            answer
        });
        let unknown_answer = Answer::without_results(&id, Outcome::Unknown, Reason::Failed);
        running.await.unwrap_or(unknown_answer)
    }
}

/// Waits until the deadline for the outcome of a request that was sent before and is still running.
async fn wait_for_outcome(
    mut outcome: watch::Receiver<Option<Arc<Answer>>>,
    id: &str,
    deadline_ms: u64,
) -> Answer {
    let wait = Duration::from_millis(deadline_ms);
    let wait_result = timeout(wait, outcome.wait_for(Option::is_some)).await;
    let answer = match &wait_result {
        Ok(Ok(answer)) => answer.as_deref().cloned(),
        _ => None,
    };
    answer.unwrap_or(Answer::without_results(
        id,
        Outcome::Unknown,
        Reason::Timeout,
    ))
}

/// Changes the outcome `NotRun` to `Unknown` in a refusal of a request whose ticket another process
/// issued.
///
/// The request may have run when it was sent before. A malformed request keeps `NotRun`, since no
/// process admits it.
fn mark_outcome_unknown(mut answer: Answer) -> Answer {
    if answer.outcome == Outcome::NotRun && answer.reason != Some(Reason::BadRequest) {
        answer.outcome = Outcome::Unknown;
    }
    answer
}
