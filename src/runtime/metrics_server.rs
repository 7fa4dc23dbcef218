//! Serves the metrics of a process that is told only of itself.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use http::StatusCode;

use super::{
    http_handler::{HttpHandler, HttpResponse, listen, serve_http_handler},
    logs::DroppedLines,
    node_error::NodeError,
};

/// Says what a process exposes about itself.
#[derive(Clone, Debug, Default)]
pub struct MetricsConfig {
    /// Where the metrics are served, if at all.
    pub metrics_port: Option<u16>,
    /// Counts the log lines that were dropped.
    pub dropped: DroppedLines,
}

/// Holds metrics that are still gathered.
pub(super) type TextFuture = Pin<Box<dyn Future<Output = String> + Send>>;

/// The path under which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics that a closure returns for as long as the process runs.
///
/// # Errors
///
/// Returns an error when the address can't be used.
pub(super) async fn serve_metrics(
    address: SocketAddr,
    text: impl Fn() -> TextFuture + Send + Sync + 'static,
) -> Result<(), NodeError> {
    let listener = listen(address).await?;
    let handler: HttpHandler = Arc::new(move |request| {
        let text = (request.path == METRICS_PATH).then(&text);
        Box::pin(async move {
            match text {
                Some(text) => HttpResponse::text(StatusCode::OK, &text.await),
                None => HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call"),
            }
        })
    });
    tokio::spawn(serve_http_handler(listener, handler));
    Ok(())
}
