//! Acquires slots of the upstreams that this instance owns, and releases them.

use tokio::sync::oneshot;
use xtra::Address;

use super::{Gateway, problem::Problem, request::CallerRequest};
use crate::{
    core::{
        admission::{Finish, RefusalReason, SlotRequest, Ticket},
        control::{ServiceName, UpstreamName},
    },
    runtime::admission_actor::{AdmissionActor, AdmissionOutcome, FinishRequest, OfferRequest},
};

/// Holds what a request occupies: a position in the admission queue, then a slot. Dropping the
/// guard, for any reason, frees it.
pub(super) struct SlotGuard {
    admission: Address<AdmissionActor>,
    service: ServiceName,
    ticket: Ticket,
    finish: Finish,
}

impl SlotGuard {
    /// Sets how the request ended. Unless set, a request that got its slot counts as cancelled.
    pub(super) fn set_finish(&mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let admission = self.admission.clone();
        let (service, ticket, finish) = (self.service.clone(), self.ticket, self.finish);
        // Without a runtime the process is shutting down, and its slots no longer matter.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                admission.send(FinishRequest { service, ticket, finish }).await.ok();
            });
        }
    }
}

impl Gateway {
    /// Acquires a slot of an upstream that this instance owns, queueing for one if `may_wait`.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal; the request was not sent.
    pub(super) async fn acquire_slot(
        &self,
        request: &CallerRequest,
        may_wait: bool,
    ) -> Result<(SlotGuard, UpstreamName), Problem> {
        let crashed = request.crashed_upstreams(&self.shared.view.current().policy)?;
        let ticket = self.next_ticket();
        let slot_request =
            SlotRequest::new(ticket, request.class, request.deadline).with_crashed(crashed);
        let (reply, outcome_receiver) = oneshot::channel();
        let mut slot = SlotGuard {
            admission: self.shared.admission.clone(),
            service: request.service.clone(),
            ticket,
            finish: Finish::Unsent,
        };
        let service = request.service.clone();
        self.shared
            .admission
            .send(OfferRequest { service, request: slot_request, may_wait, reply })
            .await
            .ok();
        match outcome_receiver.await {
            Ok(AdmissionOutcome::Admitted(upstream)) => {
                // The process may have been suspended since the slot was granted, so that the
                // lease has expired.
                if !self.shared.view.has_lease() {
                    return Err(refusal(RefusalReason::NoLease.name()));
                }
                slot.set_finish(Finish::Cancelled);
                Ok((slot, upstream))
            }
            Ok(AdmissionOutcome::Refused { reason, retry_after }) => {
                Err(refusal(reason.name()).with_retry_after(retry_after))
            }
            Err(_) => Err(refusal(RefusalReason::NoUpstream.name())),
        }
    }
}

/// Returns the problem for a request that was not run. `reason` is its stable error code.
pub(super) fn refusal(reason: &str) -> Problem {
    let message = match reason {
        "no_upstream" => "no upstream takes work at present; try again",
        "queue_full" => "too many requests wait; try again after the time given",
        "too_late" => "the answer would come after the deadline; try again later",
        "no_lease" => return Problem::no_lease(),
        "link_full" => "the link between the regions is full; try again",
        "unreachable" => "the upstream could not be reached; try again",
        "shed" => "the upstream sheds load; try again after the time given",
        _ => "the request was not run; try again",
    };
    Problem::not_run(warp::http::StatusCode::SERVICE_UNAVAILABLE, reason, message)
}
