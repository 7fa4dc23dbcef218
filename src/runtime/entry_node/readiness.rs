//! Responds to the platform's readiness probes.

use std::sync::{Arc, atomic::Ordering};

use http::StatusCode;

use super::Flag;
use crate::{
    platform::calls::is_readiness_call,
    runtime::http_handler::{HttpHandler, HttpResponse},
};

/// Returns the handler of the platform's readiness probes.
pub(super) fn handler(is_ready: Flag) -> HttpHandler {
    Arc::new(move |request| {
        let response = if !is_readiness_call(&request.path) {
            HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call")
        } else if is_ready.load(Ordering::Relaxed) {
            HttpResponse::text(StatusCode::OK, "ready")
        } else {
            HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        Box::pin(async move { response })
    })
}
