//! Runs requests that are not idempotent, at most once each, under the tickets of their issuer.

use std::sync::Arc;

use tracing::{info, warn};

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::clock::boot_ms;
use crate::link::LinkError;
use crate::root::Root;
use crate::ticket::{Redeem, Ticket};

impl Root {
    /// Runs a request that is not idempotent, here or at the ticket's issuer.
    pub(crate) async fn run_ticket(self: &Arc<Self>, request: CallerRequest) -> Answer {
        let Some(ticket) = Ticket::parse(&request.request_id) else {
            let mut answer =
                Answer::empty(&request.request_id, Outcome::NotRun, Reason::TicketRequired);
            answer.ticket_block = self.issue_block();
            return answer.retry_after(0);
        };
        if ticket.block.issuer == self.control.incarnation() {
            return self.redeem(ticket, request).await;
        }
        let issuer = ticket.block.address;
        info!(event = "forward", request = %request.request_id, issuer = %issuer);
        if issuer == self.control.settings.internal_address || !self.control.admits(issuer) {
            return issuer_lost(&request.request_id);
        }
        let wait = std::time::Duration::from_millis(request.deadline_ms);
        let call = self.link.call::<_, Answer>(issuer, "/forward", &request);
        match tokio::time::timeout(wait, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => forward_failed(&request, &error),
            Err(_) => Answer::empty(&request.request_id, Outcome::Unknown, Reason::Timeout),
        }
    }

    /// Runs a request under a ticket of this process, at most once.
    async fn redeem(self: &Arc<Self>, ticket: Ticket, request: CallerRequest) -> Answer {
        let id = request.request_id.clone();
        let deadline_ms = request.deadline_ms;
        let redeemed = self
            .state()
            .tickets
            .as_mut()
            .map(|tickets| tickets.redeem(ticket, boot_ms()));
        match redeemed {
            Some(Redeem::Run) => {
                let root = Arc::clone(self);
                let running = self.tasks.spawn(async move {
                    let answer = root.execute(&request).await;
                    if let Some(tickets) = root.state().tickets.as_mut() {
                        tickets.settle(ticket, &answer);
                    }
                    answer
                });
                let lost = Answer::empty(&id, Outcome::Unknown, Reason::Failed);
                running.await.unwrap_or(lost)
            }
            Some(Redeem::Wait(mut outcome)) => {
                let wait = std::time::Duration::from_millis(deadline_ms);
                let settled = tokio::time::timeout(wait, outcome.wait_for(Option::is_some)).await;
                let kept = settled
                    .ok()
                    .and_then(Result::ok)
                    .and_then(|answer| answer.clone());
                kept.unwrap_or(Answer::empty(&id, Outcome::Unknown, Reason::TicketUsed))
            }
            Some(Redeem::NotIssued) => {
                Answer::empty(&id, Outcome::NotRun, Reason::TicketRequired).retry_after(0)
            }
            _ => Answer::empty(&id, Outcome::Unknown, Reason::TicketExpired),
        }
    }

    /// Runs a request under a ticket of this process, for a VM that received it.
    pub async fn run_forwarded(self: &Arc<Self>, request: CallerRequest) -> Answer {
        match Ticket::parse(&request.request_id) {
            Some(ticket) if ticket.block.issuer == self.control.incarnation() => {
                self.redeem(ticket, request).await
            }
            _ => issuer_lost(&request.request_id),
        }
    }
}

fn issuer_lost(request_id: &str) -> Answer {
    Answer::empty(request_id, Outcome::Unknown, Reason::TicketIssuerLost)
}

fn forward_failed(request: &CallerRequest, error: &LinkError) -> Answer {
    warn!(event = "forward_failed", request = %request.request_id, %error);
    issuer_lost(&request.request_id)
}
