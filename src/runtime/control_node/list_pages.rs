//! Fetches the platform's list of upstreams, page by page.

use std::time::Duration;

use futures_util::future::try_join_all;
use tracing::warn;

use crate::{
    core::{control::ZoneName, upstreams::ListedUpstreams},
    platform::listing::{decode_page, page_target},
    runtime::http_client::HttpClient,
    settings::UpstreamListSource,
};

/// Represents a reader of the list of upstreams.
///
/// The pages of one list can only be read sequentially. A long list is therefore
/// read by availability zone, all zones concurrently, so that all parts of the
/// list are about equally old.
pub(super) struct PageReader {
    source: UpstreamListSource,
    /// Reads the list of all availability zones.
    client: HttpClient,
    /// One client per availability zone, which reads the list of that zone.
    zone_clients: Vec<(ZoneName, HttpClient)>,
    /// The number of pages when the list was last read for all availability zones
    /// together; 0 before the first such read.
    page_count: usize,
}

/// The timeout for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum number of pages of one list.
const PAGES_MAX: usize = 100;
/// A list with more pages than this is read by availability zone, if the rate of
/// calls allows that.
const SEQUENTIAL_PAGES_MAX: usize = 2;
/// Reading by availability zone may use up to this fraction of the calls per
/// second that all readers together may make.
const CALLS_FRACTION_MAX: f64 = 0.5;

impl PageReader {
    /// Creates a reader of the list in the given availability zones.
    pub(super) fn new(
        source: UpstreamListSource,
        zones: impl IntoIterator<Item = ZoneName>,
    ) -> Self {
        let zones = zones.into_iter();
        let zone_clients = zones.map(|zone| (zone, HttpClient::new(source.address))).collect();
        Self { source, client: HttpClient::new(source.address), zone_clients, page_count: 0 }
    }

    /// Reads the list of all availability zones.
    ///
    /// # Errors
    ///
    /// Returns a description of the error if a page can't be read.
    pub(super) async fn read(&mut self) -> Result<ListedUpstreams, String> {
        let calls_per_s_max = self.source.calls_per_s * CALLS_FRACTION_MAX;
        let is_rate_allowed = self.zone_clients.len() as f64 <= calls_per_s_max;
        if self.page_count <= SEQUENTIAL_PAGES_MAX || !is_rate_allowed {
            let (upstreams, page_count) = read_pages(&mut self.client, None).await?;
            self.page_count = page_count;
            return Ok(upstreams);
        }
        let parts =
            self.zone_clients.iter_mut().map(|(zone, client)| read_pages(client, Some(zone)));
        let parts = try_join_all(parts).await?;
        Ok(parts.into_iter().flat_map(|(upstreams, _)| upstreams).collect())
    }
}

/// Reads the pages of the list, or of one availability zone's part of it, one
/// after another. Also returns the number of pages.
async fn read_pages(
    client: &mut HttpClient,
    zone: Option<&str>,
) -> Result<(ListedUpstreams, usize), String> {
    let mut upstreams = ListedUpstreams::new();
    let mut token = None;
    for page_number in 1..=PAGES_MAX {
        let response = client.get(&page_target(zone, token.as_deref()), PAGE_TIMEOUT).await;
        let page = match response {
            Ok((200, body)) => decode_page(&body).map_err(|error| error.to_string())?,
            Ok((status, _)) => return Err(format!("page {page_number} has HTTP status {status}")),
            Err(error) => return Err(error.to_string()),
        };
        if !page.findings.is_empty() {
            warn!(
                findings = ?page.findings,
                "skipped entries of the list of upstreams that can't be decoded"
            );
        }
        upstreams
            .extend(page.upstreams.into_iter().map(|upstream| (upstream.id.clone(), upstream)));
        token = page.next;
        if token.is_none() {
            return Ok((upstreams, page_number));
        }
    }
    Err(format!("the list has more than {PAGES_MAX} pages"))
}
