//! Runs a whole deployment in one process and checks its promises.

mod deployment;
mod load;
mod report;
mod scenario;
mod stand_in;

pub use self::{deployment::Deployment, report::Report, scenario::run, stand_in::StandIn};
