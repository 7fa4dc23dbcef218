//! Tests of routing tables, and of how requests are matched to routes.

use std::sync::Arc;

use bulrushspan::{
    core::routing::{Destination, RouteIndex, RoutingTable, WeightedService},
    platform::configuration,
};
use serde_json::json;

/// Returns an index with one route per host and prefix; each is named after its prefix.
fn index(routes: &[(&str, &str)]) -> RouteIndex {
    RouteIndex::new(&table(routes))
}

fn table(routes: &[(&str, &str)]) -> RoutingTable {
    let service = json!({"type": "services", "meta": {"name": "s"}, "spec": {
        "health_path": "/h", "max_conns": 9}});
    let route = |(host, prefix): &(&str, &str)| {
        json!({"type": "routes", "meta": {"name": format!("{host}{prefix}")}, "spec": {
            "host": host, "path_prefix": prefix, "kind": "safe", "timeout_s": 1.0, "slo_s": 0.5,
            "priority": 1, "service": "s", "max_attempts": 1}})
    };
    let mut resources = vec![service];
    resources.extend(routes.iter().map(route));
    let body = json!({"version": "r1", "resources": resources}).to_string();
    configuration::decode(body.as_bytes()).unwrap()
}

/// Each version of a large configuration that is in the log held all of its routes by itself.
#[test]
fn versions_share_the_routes_that_they_have_in_common() {
    let old = table(&[("h", "/a/"), ("h", "/b/"), ("h", "/c/")]);
    let mut new = table(&[("h", "/a/"), ("h", "/b/"), ("i", "/c/")]);
    Arc::make_mut(new.routes.get_mut("h/b/").unwrap()).priority = 2;
    let expected = new.clone();
    new.share_with(&old);
    assert_eq!(new, expected);
    let is_shared = |name: &str| Arc::ptr_eq(&new.routes[name], &old.routes[name]);
    assert!(is_shared("h/a/") && !is_shared("h/b/"));
    assert!(Arc::ptr_eq(&new.services["s"], &old.services["s"]));
}

fn find(index: &RouteIndex, host: &str, path: &str) -> String {
    index.find(host, path).map_or_else(|| "404".to_owned(), |(name, _)| name.clone())
}

/// Requests to hosts that a colon is a part of, or whose port the route names, got 404.
#[test]
fn a_host_matches_with_and_without_a_port() {
    let index = index(&[("Shop.example", "/"), ("[2001:db8::1]", "/"), ("desk.example:8144", "/")]);
    for host in ["shop.example", "SHOP.EXAMPLE:80", "shop.example:"] {
        assert_eq!(find(&index, host, "/a"), "Shop.example/", "{host}");
    }
    for host in ["[2001:db8::1]", "[2001:DB8::1]:8144"] {
        assert_eq!(find(&index, host, "/a"), "[2001:db8::1]/", "{host}");
    }
    assert_eq!(find(&index, "desk.example:8144", "/a"), "desk.example:8144/");
    for host in
        ["", "desk.example", "desk.example:80", "desk.example:x", "[2001:db8::2]", "example"]
    {
        assert_eq!(find(&index, host, "/a"), "404", "{host}");
    }
}

/// A path that differs from a prefix inside a character got 404 although a shorter prefix matches.
#[test]
fn the_longest_prefix_matches_also_beside_similar_characters() {
    let index = index(&[("h", "/"), ("h", "/men\u{fc}/"), ("h", "/menu/"), ("h", "/menu/a/")]);
    assert_eq!(find(&index, "h", "/men\u{fc}/1"), "h/men\u{fc}/");
    assert_eq!(find(&index, "h", "/men\u{fd}/1"), "h/");
    assert_eq!(find(&index, "h", "/menu/b"), "h/menu/");
    assert_eq!(find(&index, "h", "/menu/a/"), "h/menu/a/");
    assert_eq!(find(&index, "h", "/menu"), "h/");
}

/// Weights whose sum overflows sent all requests to the last service.
#[test]
fn extreme_weights_keep_their_proportions() {
    let split = |weight: f64| {
        let part = |service: &str| WeightedService { service: service.to_owned(), weight };
        Destination::Split(vec![part("first"), part("last")])
    };
    for weight in [f64::MIN_POSITIVE, 1.0, 1e308, f64::MAX] {
        assert_eq!(split(weight).pick(0.2).unwrap(), "first", "{weight}");
        assert_eq!(split(weight).pick(0.8).unwrap(), "last", "{weight}");
    }
}
