//! Serves the metrics of a process that is told only of itself.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use http::StatusCode;

use super::{
    http_answers::{HttpAnswer, HttpAnswers, listen, serve_answers},
    logs::DroppedLines,
    node_error::NodeError,
};

/// Says what a process exposes about itself.
#[derive(Clone, Debug, Default)]
pub struct Exposed {
    /// Where the metrics are served, if at all.
    pub metrics_port: Option<u16>,
    /// Counts the log lines that were dropped.
    pub dropped: DroppedLines,
}

/// Holds metrics that are still gathered.
pub(super) type Text = Pin<Box<dyn Future<Output = String> + Send>>;

/// The path under which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics that a closure returns for as long as the process runs.
///
/// # Errors
///
/// Returns an error when the address can't be used.
pub(super) async fn serve_metrics(
    address: SocketAddr,
    text: impl Fn() -> Text + Send + Sync + 'static,
) -> Result<(), NodeError> {
    let listener = listen(address).await?;
    let answers: HttpAnswers = Arc::new(move |asked| {
        let text = (asked.path == METRICS_PATH).then(&text);
        Box::pin(async move {
            match text {
                Some(text) => HttpAnswer::text(StatusCode::OK, &text.await),
                None => HttpAnswer::text(StatusCode::NOT_FOUND, "there is no such call"),
            }
        })
    });
    tokio::spawn(serve_answers(listener, answers));
    Ok(())
}
