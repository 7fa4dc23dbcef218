//! Serves the metrics of a process over HTTP.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use http::StatusCode;

use super::{
    http_handler::{HandlerLimits, HttpHandler, HttpResponse, listen, serve_http_handler},
    logs::DroppedLines,
    node_error::NodeError,
};
use crate::core::ConnectionLimits;

/// Configures the metrics of a process.
#[derive(Clone, Debug, Default)]
pub struct MetricsConfig {
    /// The port on which the metrics are served; `None` if they are not served.
    pub metrics_port: Option<u16>,
    /// The counters of dropped log lines.
    pub dropped_lines: DroppedLines,
}

/// A future of the metrics in the Prometheus text format.
pub(super) type TextFuture = Pin<Box<dyn Future<Output = String> + Send>>;

/// The path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Starts to serve the metrics that `text` returns, until the process ends.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub(super) async fn serve_metrics(
    address: SocketAddr,
    connections: ConnectionLimits,
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
    let limits = HandlerLimits::without_body(connections);
    tokio::spawn(serve_http_handler(listener, handler, limits));
    Ok(())
}
