//! Decides when, and to which upstream, an instance sends a request.
//!
//! An instance keeps an exact count of the slots of the upstreams that it owns
//! and sends to no others. [`Admission`] covers all services of one instance;
//! [`Pool`] covers one service.

mod fair_share;
mod instance;
mod link;
mod offers;
mod pool;
mod queue;
mod retry;
mod service_time;
mod slots;

pub use self::{
    instance::{Admission, AdmissionConfig, Released},
    link::LinkBucket,
    offers::OfferCount,
    pool::{OfferOutcome, Pool, PoolConfig, PoolEvent, RefusalReason},
    queue::{SlotRequest, WaitQueue},
    retry::RetryBudget,
    slots::{Finish, SlotState, Slots},
};

/// Identifies one request for a slot within one instance. A caller's request that is
/// offered more than once gets a new ticket each time.
pub type Ticket = u64;
