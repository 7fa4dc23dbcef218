//! The header fields that entry instances add when one takes over a request of another.
//!
//! They are used between instances only, and are removed from what callers and upstreams
//! send.

use std::time::Duration;

use super::http1::{HeadWriter, Headers};
use crate::core::routing::ConfigVersion;

/// Represents the terms on which an instance takes over a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTerms {
    /// The maximum number of upstreams that the request may still be sent to.
    pub attempts_max: u32,
    /// The version of the configuration that routed the request. An instance with an older
    /// one does not take it over.
    pub config_version: ConfigVersion,
    /// Identifies the request when its caller sends it again; `None` from an instance that does
    /// not say.
    pub fingerprint: Option<u128>,
}

const ATTEMPTS_MAX: &str = "Relay-Attempts-Max";
const CONFIG_VERSION: &str = "Relay-Config-Version";
/// The fingerprint, in hexadecimal digits.
const FINGERPRINT: &str = "Relay-Fingerprint";
/// The reason why the instance refused the request, which has not run, and after how many
/// milliseconds the caller may send it again.
const REFUSED: &str = "Relay-Refused";

impl RelayTerms {
    /// Adds the fields to the head of a request.
    pub fn write(&self, head: &mut HeadWriter) {
        head.number(ATTEMPTS_MAX, self.attempts_max.into());
        head.number(CONFIG_VERSION, self.config_version);
        if let Some(fingerprint) = self.fingerprint {
            head.field(FINGERPRINT, format!("{fingerprint:032x}").as_bytes());
        }
    }

    /// Returns the terms in the head of a request, or `None` if one is missing or invalid.
    pub fn parse(headers: &Headers) -> Option<Self> {
        Some(Self {
            attempts_max: headers.get_str(ATTEMPTS_MAX)?.parse().ok()?,
            config_version: headers.get_str(CONFIG_VERSION)?.parse().ok()?,
            fingerprint: headers
                .get_str(FINGERPRINT)
                .and_then(|digits| u128::from_str_radix(digits, 16).ok()),
        })
    }
}

/// Represents the refusal of an instance to take over a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: String,
    /// When the caller may send the request again.
    pub retry_after: Duration,
}

impl Refusal {
    /// Adds the field to the head of a response.
    pub fn write(&self, head: &mut HeadWriter) {
        let value = format!("{} {}", self.reason, self.retry_after.as_millis());
        head.field(REFUSED, value.as_bytes());
    }

    /// Returns the refusal in the head of a response, or `None` if the response is an
    /// upstream's or tells of a failure.
    pub fn parse(headers: &Headers) -> Option<Self> {
        let (reason, retry_after_ms) = headers.get_str(REFUSED)?.split_once(' ')?;
        let retry_after = Duration::from_millis(retry_after_ms.parse().ok()?);
        Some(Self { reason: reason.to_owned(), retry_after })
    }
}

/// Returns whether a header field is used between instances only.
pub fn is_relay_field(name: &str) -> bool {
    let fields = [ATTEMPTS_MAX, CONFIG_VERSION, FINGERPRINT, REFUSED];
    fields.iter().any(|field| field.eq_ignore_ascii_case(name))
}
