//! Explains a request from the log lines of all processes that it passed.

mod line;
mod story;

pub use self::{
    line::{BadLine, Line},
    story::{Story, tell},
};
