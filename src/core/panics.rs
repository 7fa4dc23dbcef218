//! Keeps a panic from ending the task in which it happens.

use std::{future::Future, panic::AssertUnwindSafe};

use futures_util::FutureExt;

/// Returns the output of a future, or `None` if it panics.
///
/// What the future shares with others must stay valid if it stops at any point.
pub async fn catch_panic<F: Future>(future: F) -> Option<F::Output> {
    AssertUnwindSafe(future).catch_unwind().await.ok()
}
