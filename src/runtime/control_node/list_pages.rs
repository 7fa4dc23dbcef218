//! Reads the pages of the list of upstreams.

use std::time::Duration;

use futures_util::future::try_join_all;
use tracing::warn;

use crate::{
    core::{control::ZoneName, upstreams::ListedUpstreams},
    platform::listing::{decode_page, page_target},
    runtime::http_client::HttpClient,
    settings::UpstreamListSource,
};

/// Reads the pages of the list of upstreams.
///
/// The pages of one list can only be read one after the other. A long list is
/// therefore read by availability zone, side by side: what is read last is
/// hardly older then than what is read first.
pub(super) struct PageReader {
    source: UpstreamListSource,
    whole: HttpClient,
    by_zone: Vec<(ZoneName, HttpClient)>,
    /// The pages of the whole list, when it was last read.
    page_count: usize,
}

/// How long one page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The most pages of one list.
const PAGES_MAX: usize = 100;
/// The most pages that are read one after the other.
const SEQUENTIAL_PAGES_MAX: usize = 2;
/// Reading by availability zone takes no more than this part of the calls
/// that all readers together may make.
const CALLS_FRACTION_MAX: f64 = 0.5;

impl PageReader {
    /// Returns a reader of the list in some availability zones.
    pub(super) fn new(
        source: UpstreamListSource,
        zones: impl IntoIterator<Item = ZoneName>,
    ) -> Self {
        let zones = zones.into_iter();
        let by_zone = zones.map(|zone| (zone, HttpClient::new(source.address))).collect();
        Self { source, whole: HttpClient::new(source.address), by_zone, page_count: 0 }
    }

    /// Reads all pages.
    ///
    /// # Errors
    ///
    /// Returns what went wrong when one of them can't be read.
    pub(super) async fn read(&mut self) -> Result<ListedUpstreams, String> {
        let calls_max = self.source.calls_per_s * CALLS_FRACTION_MAX;
        let fits = self.by_zone.len() as f64 <= calls_max;
        if self.page_count <= SEQUENTIAL_PAGES_MAX || !fits {
            let (listing, pages) = read_sequentially(&mut self.whole, None).await?;
            self.page_count = pages;
            return Ok(listing);
        }
        let parts = self.by_zone.iter_mut().map(|(zone, get)| read_sequentially(get, Some(zone)));
        let parts = try_join_all(parts).await?;
        Ok(parts.into_iter().flat_map(|(listing, _)| listing).collect())
    }
}

/// Reads the pages of the list, or of one availability zone's part. Returns
/// how many there were as well.
async fn read_sequentially(
    get: &mut HttpClient,
    zone: Option<&str>,
) -> Result<(ListedUpstreams, usize), String> {
    let mut listing = ListedUpstreams::new();
    let mut token = None;
    for number in 1..=PAGES_MAX {
        let answer = get.get(&page_target(zone, token.as_deref()), PAGE_TIMEOUT).await;
        let page = match answer {
            Ok((200, body)) => decode_page(&body).map_err(|error| error.to_string())?,
            Ok((status, _)) => return Err(format!("status {status}")),
            Err(error) => return Err(error.to_string()),
        };
        if !page.findings.is_empty() {
            warn!(findings = ?page.findings, "some entries of the list can't be read");
        }
        listing.extend(page.upstreams.into_iter().map(|upstream| (upstream.id.clone(), upstream)));
        token = page.next;
        if token.is_none() {
            return Ok((listing, number));
        }
    }
    Err(format!("more than {PAGES_MAX} pages"))
}
