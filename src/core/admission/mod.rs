//! Decides when a request is sent to which upstream.
//!
//! An instance counts the slots of the upstreams that it owns exactly and
//! sends to no other. [`Admission`] holds what one instance owns; [`Pool`]
//! does so for one service.

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
    offers::Offers,
    pool::{Offer, Pool, PoolConfig, PoolEvent, RefusalReason},
    queue::{SlotRequest, WaitQueue},
    retry::RetryBudget,
    slots::{Finish, SlotState, Slots},
};

/// Identifies a request at one instance.
pub type Ticket = u64;
