//! Explains what happened to a request, from the log lines of all processes that
//! handled it.

mod explanation;
mod log_line;

pub use self::{
    explanation::{Explanation, explain_request},
    log_line::{LineError, LogLine},
};
