//! Represents the routes, services and limits in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{ConfigVersion, Route, RouteName, version};
use crate::core::control::ServiceName;

/// Represents a complete configuration of routes, services and limits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutingTable {
    /// The version, or `None` if no configuration was delivered yet.
    #[serde(with = "version")]
    pub version: Option<ConfigVersion>,
    /// The routes, by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// The services, by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
}

/// Represents the settings of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections that an upstream accepts from all callers together.
    pub connections_max: u32,
    /// The protocol that upstreams speak.
    pub protocol: String,
    /// Whether upstreams expect TLS.
    pub tls: bool,
    /// How long an upstream is cold after its start.
    pub cold_start: Duration,
    /// The rate that a cold upstream sustains, in requests per second.
    pub cold_rate_per_s: f64,
}

/// Represents the limits on what callers may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub header_max_bytes: u64,
    /// The maximum size of a request body in bytes.
    pub body_max_bytes: u64,
    /// The timeout for the arrival of a request head. It has an effect only if
    /// it is longer than `idle_timeout`.
    pub header_timeout: Duration,
    /// The timeout of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 16 * 1024,
            body_max_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Represents an index of routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: BTreeMap<String, BTreeMap<String, (RouteName, Arc<Route>)>>,
}

impl RoutingTable {
    /// Returns the reasons why the table is invalid, one line each.
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut names_by_prefix = BTreeMap::new();
        for (name, route) in &self.routes {
            findings.extend(self.route_findings(name, route));
            let host_and_prefix = (route.host.to_ascii_lowercase(), &route.path_prefix);
            if let Some(other) = names_by_prefix.insert(host_and_prefix, name) {
                findings.push(format!("routes `{other}` and `{name}` share host and prefix"));
            }
        }
        findings
    }

    fn route_findings(&self, name: &RouteName, route: &Route) -> Vec<String> {
        let mut findings = Vec::new();
        if route.host.is_empty() {
            findings.push(format!("route `{name}` has an empty host"));
        }
        if !route.path_prefix.starts_with('/') {
            findings.push(format!("route `{name}`: the path prefix must begin with a slash"));
        }
        if route.timeout.is_zero() {
            findings.push(format!("route `{name}`: the timeout must be longer than 0"));
        }
        let unknown: BTreeSet<&ServiceName> = route
            .destination
            .services()
            .filter(|service| !self.services.contains_key(*service))
            .collect();
        for service in unknown {
            findings.push(format!("route `{name}` names the unknown service `{service}`"));
        }
        if let super::Destination::Split(parts) = &route.destination {
            if parts.is_empty() {
                findings.push(format!("route `{name}` is split between no services"));
            }
            if parts.iter().any(|part| !(part.weight >= 0.0 && part.weight.is_finite())) {
                findings.push(format!("route `{name}` has a weight below 0"));
            }
        }
        findings
    }
}

impl RouteIndex {
    /// Indexes the routes of a table.
    pub fn new(table: &RoutingTable) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, (RouteName, Arc<Route>)>> =
            BTreeMap::new();
        for (name, route) in &table.routes {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), (name.clone(), route.clone()));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The host is compared regardless of case, and without its port unless a route's host has
    /// one.
    pub fn find(&self, host: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        let find = |host: &str| self.hosts.get(host).or_else(|| self.hosts.get(without_port(host)));
        let prefixes = match find(host) {
            Some(prefixes) => prefixes,
            None => find(&host.to_ascii_lowercase())?,
        };
        // The greatest indexed prefix that sorts at or before `rest` is the
        // longest match if `rest` starts with it. Otherwise every indexed prefix
        // of `rest` is also a prefix of the part that both have in common, so
        // that part is searched next.
        let mut rest = path;
        loop {
            let (prefix, (route_name, route)) = prefixes
                .range::<str, _>((std::ops::Bound::Unbounded, std::ops::Bound::Included(rest)))
                .next_back()?;
            if rest.starts_with(prefix.as_str()) {
                return Some((route_name, route));
            }
            let common_bytes =
                rest.bytes().zip(prefix.bytes()).take_while(|(left, right)| left == right).count();
            rest = &rest[..rest.floor_char_boundary(common_bytes)];
        }
    }
}

/// Returns a host without its port. The colons of an IPv6 address are not followed by a port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
