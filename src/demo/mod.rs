//! Runs a whole deployment in one process, sends load through it and checks the
//! guarantees that the system gives (the report lists them as promises).

mod deployment;
mod load;
mod report;
mod scenario;
mod stub_upstream;

pub use self::{
    deployment::Deployment, report::Report, scenario::run, stub_upstream::StubUpstream,
};
