//! The platform's list of live and leaving upstreams.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use xtra::Address;

use super::admission_actor::{AdmissionActor, SetPlatformLeaving};
use crate::settings::{PlatformListSource, Settings};

/// Represents the platform's list of upstreams.
///
/// The list may be out of date. An upstream that it marks as leaving is treated as
/// leaving, but one that is not listed may still be live.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformList {
    /// The listed upstreams.
    #[serde(rename = "instances")]
    pub upstreams: Vec<PlatformUpstream>,
}

/// Represents an entry of [`PlatformList`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformUpstream {
    /// The name of the upstream.
    pub name: String,
    /// The state of the upstream: `live` or `leaving`.
    pub state: String,
}

/// The timeout for reading the list over HTTP.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list at a fixed interval and sends the leaving upstreams to the
/// admission actor. While the list can't be read, the previous one stays in effect.
pub(super) async fn poll_platform(
    source: PlatformListSource,
    settings: Arc<Settings>,
    admission: Address<AdmissionActor>,
) {
    let client = reqwest::Client::new();
    let mut previous = Some(BTreeSet::new());
    let mut interval = tokio::time::interval(settings.timing.platform_interval);
    loop {
        interval.tick().await;
        let leaving = read_list(&source, &client).await.map(|list| list.leaving());
        match (&leaving, &previous) {
            (None, Some(_)) => {
                warn!("platform list can't be read; the previous one stays in effect")
            }
            (Some(current), Some(previous_leaving)) if current != previous_leaving => {
                info!(leaving = ?current, "the leaving upstreams in the platform list changed")
            }
            _ => {}
        }
        if let Some(leaving) = &leaving {
            admission.send(SetPlatformLeaving(leaving.clone())).await.ok();
        }
        previous = leaving;
    }
}

async fn read_list(source: &PlatformListSource, client: &reqwest::Client) -> Option<PlatformList> {
    match source {
        PlatformListSource::File(path) => {
            let bytes = tokio::fs::read(path).await.ok()?;
            serde_json::from_slice(&bytes).ok()
        }
        PlatformListSource::Http(url) => {
            let response = client.get(url).timeout(READ_TIMEOUT).send().await.ok()?;
            response.error_for_status().ok()?.json().await.ok()
        }
    }
}

impl PlatformList {
    /// Returns the upstreams that are leaving.
    pub fn leaving(&self) -> BTreeSet<String> {
        let leaving = self.upstreams.iter().filter(|upstream| upstream.state == "leaving");
        leaving.map(|upstream| upstream.name.clone()).collect()
    }
}
