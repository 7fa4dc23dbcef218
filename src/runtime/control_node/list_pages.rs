//! Fetches the platform's list of upstreams, page by page.

use std::{fmt::Display, time::Duration};

use futures_util::future::try_join_all;

use crate::{
    core::{control::ZoneName, upstreams::ListedUpstream},
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
    /// Whether the list was too long to be read sequentially when that was last tried.
    is_long: bool,
}

/// Represents what was read at once of the list, or of one availability zone's part of it.
#[derive(Default)]
pub(super) struct ListReading {
    /// The upstreams, in the order of the list. Several may have one id.
    pub(super) upstreams: Vec<ListedUpstream>,
    /// The number of entries that could not be decoded.
    pub(super) undecodable_count: usize,
    /// Descriptions of the entries that could not be decoded; there may be fewer of them.
    pub(super) findings: Vec<String>,
}

/// Represents the reason why the list could not be read.
#[derive(Clone, Debug)]
pub(super) struct ReadError {
    /// The kind of error, for metrics: one of [`ReadError::REASONS`].
    pub(super) reason: &'static str,
    pub(super) message: String,
}

/// The timeout for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum number of pages of one list.
const PAGES_MAX: usize = 100;
/// A list with more pages than this is read by availability zone, if the rate of
/// calls allows that. Each page costs a round trip, which may cross regions.
const SEQUENTIAL_PAGES_MAX: usize = 2;
/// Reading by availability zone may use up to this fraction of the calls per
/// second that all readers together may make.
const CALLS_FRACTION_MAX: f64 = 0.5;

impl PageReader {
    /// Creates a reader of the list in the given availability zones.
    pub(super) fn new(
        source: UpstreamListSource,
        zones: impl IntoIterator<Item = ZoneName>,
        page_max_bytes: usize,
    ) -> Self {
        let new_client = || HttpClient::new(source.address, page_max_bytes);
        let zone_clients = zones.into_iter().map(|zone| (zone, new_client())).collect();
        Self { source, client: new_client(), zone_clients, is_long: false }
    }

    /// Reads the list of all availability zones.
    ///
    /// # Errors
    ///
    /// Returns an error if a page can't be read.
    pub(super) async fn read(&mut self) -> Result<ListReading, ReadError> {
        let calls_per_s_max = self.source.calls_per_s * CALLS_FRACTION_MAX;
        let may_read_by_zone = self.zone_clients.len() as f64 <= calls_per_s_max;
        if !self.is_long || !may_read_by_zone {
            let pages_max = if may_read_by_zone { SEQUENTIAL_PAGES_MAX } else { PAGES_MAX };
            if let Some(reading) = read_pages(&mut self.client, None, pages_max).await? {
                return Ok(reading);
            }
            if !may_read_by_zone {
                return Err(ReadError::too_long("the list"));
            }
            self.is_long = true;
        }
        let parts = self.zone_clients.iter_mut().map(|(zone, client)| read_zone(client, zone));
        let mut reading = ListReading::default();
        try_join_all(parts).await?.into_iter().for_each(|part| reading.add(part));
        Ok(reading)
    }
}

impl ReadError {
    /// The kinds of errors.
    pub(super) const REASONS: [&'static str; 4] =
        ["no_response", "status", "undecodable", "too_long"];

    fn new(reason: &'static str, page: usize, error: impl Display) -> Self {
        Self { reason, message: format!("page {page}: {error}") }
    }

    fn too_long(list: &str) -> Self {
        Self { reason: "too_long", message: format!("{list} has more than {PAGES_MAX} pages") }
    }
}

impl ListReading {
    fn add(&mut self, other: Self) {
        self.upstreams.extend(other.upstreams);
        self.undecodable_count += other.undecodable_count;
        self.findings.extend(other.findings);
    }
}

/// Reads the part of the list that is in one availability zone.
async fn read_zone(client: &mut HttpClient, zone: &str) -> Result<ListReading, ReadError> {
    let reading = read_pages(client, Some(zone), PAGES_MAX).await?;
    reading.ok_or_else(|| ReadError::too_long(&format!("the list of zone {zone}")))
}

/// Reads the pages of the list, or of one availability zone's part of it, one
/// after another. Returns `None` if there are more than `pages_max`.
async fn read_pages(
    client: &mut HttpClient,
    zone: Option<&str>,
    pages_max: usize,
) -> Result<Option<ListReading>, ReadError> {
    let mut reading = ListReading::default();
    let mut token = None;
    for page_number in 1..=pages_max {
        let response = client.get(&page_target(zone, token.as_deref()), PAGE_TIMEOUT).await;
        let page = match response {
            Ok((200, body)) => decode_page(&body)
                .map_err(|error| ReadError::new("undecodable", page_number, error))?,
            Ok((status, _)) => {
                return Err(ReadError::new("status", page_number, format!("HTTP status {status}")));
            }
            Err(error) => return Err(ReadError::new("no_response", page_number, error)),
        };
        reading.add(ListReading {
            upstreams: page.upstreams,
            undecodable_count: page.undecodable_count,
            findings: page.findings,
        });
        token = page.next;
        if token.is_none() {
            return Ok(Some(reading));
        }
    }
    Ok(None)
}
