//! Runs a whole deployment in one process and checks its promises.

mod deployment;
mod load;
mod report;
mod scenario;
mod stub_upstream;

pub use self::{
    deployment::Deployment, report::Report, scenario::run, stub_upstream::StubUpstream,
};
