//! Tests of how an instance that lost its links hands requests over to peers: without I/O.

use std::{collections::BTreeMap, net::SocketAddr, slice::from_ref, time::Duration};

use bulrushspan::{
    core::{
        balance::{ReachFailure, UpstreamLinks},
        peers::{Peer, Peers},
        roster::{AnnouncedInstance, Roster},
    },
    net::{
        http1::{HeadWriter, parse_request_head, parse_response_head},
        relay::{Refusal, RelayTerms},
    },
};
use bytes::BytesMut;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(10);

fn peer(name: &str, region: &str) -> Peer {
    Peer { instance: name.to_owned(), address: address(name), region: region.to_owned() }
}

/// Returns the address of the instance whose name ends in a number.
fn address(name: &str) -> SocketAddr {
    format!("10.0.0.{}:7660", &name[1..]).parse().unwrap()
}

fn chosen(peers: &Peers, homes: &[&str], tried: &[&str], now: Duration) -> Option<String> {
    let homes: Vec<String> = homes.iter().map(|home| (*home).to_owned()).collect();
    let tried: Vec<SocketAddr> = tried.iter().map(|name| address(name)).collect();
    peers.choose(&homes, &tried, now).map(|peer| peer.instance.clone())
}

const REFUSED: ReachFailure = ReachFailure { began_at: NOW, is_timeout: false };
const TIMED_OUT: ReachFailure = ReachFailure { began_at: NOW, is_timeout: true };

/// Links that hang or are refused for all upstreams must not be taken for a few crashed ones,
/// nor the other way round.
#[test]
fn links_are_lost_once_several_upstreams_in_a_row_are_out_of_reach() {
    for failure in [REFUSED, TIMED_OUT] {
        let (orders, files) = ("orders".to_owned(), "files".to_owned());
        let mut links = UpstreamLinks::default();
        for id in ["u1", "u2", "u2", "u1"] {
            assert!(!links.record_unreachable(&orders, &id.to_owned(), failure));
        }
        assert!(links.has_unreachable(&orders) && !links.are_lost(&orders));
        assert!(!links.record_reached(&orders, NOW));
        assert!(!links.has_unreachable(&orders));
        let lost: Vec<bool> = ["u1", "u2", "u3", "u4"]
            .map(|id| links.record_unreachable(&orders, &id.to_owned(), failure))
            .into();
        assert_eq!(lost, [false, false, true, false], "the loss is reported once");
        assert!(links.are_lost(&orders) && !links.are_lost(&files));
        assert!(links.record_reached(&orders, NOW), "one success shows that the links are back");
        assert!(!links.are_lost(&orders));
    }
}

/// A queue on the own link, or several crashed upstreams: attempts that time out together were
/// taken for lost links although other upstreams responded while they waited.
#[test]
fn timeouts_do_not_count_if_an_upstream_was_heard_meanwhile() {
    let (orders, files) = ("orders".to_owned(), "files".to_owned());
    let ids = ["u1", "u2", "u3"].map(str::to_owned);
    let heard_at = NOW + Duration::from_millis(200);
    let mut links = UpstreamLinks::default();
    links.record_reached(&orders, heard_at);
    ids.iter().for_each(|id| _ = links.record_unreachable(&orders, id, TIMED_OUT));
    assert!(!links.are_lost(&orders), "a response came in after these attempts began");
    ids.iter().for_each(|id| _ = links.record_unreachable(&orders, id, REFUSED));
    assert!(links.are_lost(&orders), "a refusal did not wait for the own link");
    ids.iter().for_each(|id| _ = links.record_unreachable(&files, id, TIMED_OUT));
    assert!(links.are_lost(&files), "the response was not from an upstream of this service");
    links.record_reached(&orders, heard_at);
    let later = ReachFailure { began_at: heard_at, is_timeout: true };
    ids.iter().for_each(|id| _ = links.record_unreachable(&orders, id, later));
    assert!(links.are_lost(&orders), "nothing was heard since these attempts began");
}

/// Requests that wait on connections from before a loss show it only at their deadlines; silence
/// of all upstreams shows it sooner.
#[test]
fn upstreams_are_silent_once_requests_to_several_wait_and_none_is_heard() {
    let (orders, files) = ("orders".to_owned(), "files".to_owned());
    let ids = ["u1", "u2", "u3"].map(str::to_owned);
    let later = |ms| NOW + Duration::from_millis(ms);
    let mut links = UpstreamLinks::default();
    links.record_reached(&orders, NOW);
    let sent: Vec<_> = ids.iter().map(|id| links.record_sent(&orders, id, later(1))).collect();
    ids.iter().for_each(|_| _ = links.record_sent(&files, &ids[0], later(1)));
    assert!(links.silent_services(later(400)).is_empty(), "responses may take that long");
    assert_eq!(links.silent_services(later(600)), from_ref(&orders), "one upstream is not several");
    links.record_reached(&orders, later(300));
    assert!(links.silent_services(later(600)).is_empty(), "one was heard meanwhile");
    assert_eq!(links.silent_services(later(900)), from_ref(&orders));
    links.record_ended(&sent[0]);
    assert!(links.silent_services(later(900)).is_empty(), "requests to two upstreams are left");
    assert!(links.suspect(&orders) && !links.suspect(&orders));
    assert!(links.are_lost(&orders) && links.lost_services().contains(&orders));
    assert!(links.record_reached(&orders, later(950)) && !links.are_lost(&orders));
}

#[test]
fn requests_spread_over_peers_of_the_own_region_before_others() {
    let mut peers = Peers::new("north".to_owned());
    assert_eq!(chosen(&peers, &[], &[], NOW), None);
    peers.set(vec![peer("p1", "south"), peer("p2", "north"), peer("p3", "north")]);
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let name = chosen(&peers, &[], &[], NOW).unwrap();
        peers.record_start(address(&name));
        *counts.entry(name).or_insert(0) += 1;
    }
    insta::assert_compact_debug_snapshot!(counts, @r#"{"p1": 2, "p2": 9, "p3": 9}"#);
    for _ in 0..9 {
        peers.record_end(address("p3"));
    }
    assert_eq!(chosen(&peers, &[], &[], NOW).as_deref(), Some("p3"));
    assert_eq!(chosen(&peers, &["south"], &[], NOW).as_deref(), Some("p1"));
    assert_eq!(chosen(&peers, &["south"], &["p1"], NOW), None, "no peer is tried twice");
    peers.record_failure(address("p3"), NOW);
    assert_eq!(chosen(&peers, &[], &["p1"], NOW).as_deref(), Some("p2"));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(chosen(&peers, &[], &["p1"], later).as_deref(), Some("p3"));
}

fn announced(name: &str, zone: &str, reaches_upstreams: bool) -> (String, AnnouncedInstance) {
    let instance = AnnouncedInstance {
        zone: zone.to_owned(),
        address: SocketAddr::new(address(name).ip(), 80),
        relay_address: address(name),
        is_ready: true,
        reaches_upstreams,
        has_lost_links: false,
        announced_at: NOW,
    };
    (name.to_owned(), instance)
}

fn roster(instances: impl IntoIterator<Item = (String, AnnouncedInstance)>) -> Roster {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let mut roster = Roster::new(regions, Duration::ZERO);
    for (name, instance) in instances {
        assert!(roster.record_announcement(name, instance));
    }
    roster
}

/// Callers must not be led to a whole zone that lost its links while others have theirs.
#[test]
fn the_directory_names_instances_without_links_only_if_none_has_them() {
    let partly = roster([
        announced("p1", "a", false),
        announced("p2", "a", false),
        announced("p3", "b", true),
        announced("p4", "b", true),
        announced("p5", "c", true),
    ]);
    let named = |roster: &Roster| -> Vec<String> {
        let addresses = roster.addresses_for("north", "a", NOW).into_iter();
        addresses.map(|address| address.ip().to_string()).collect()
    };
    assert_eq!(named(&partly), ["10.0.0.3", "10.0.0.4"]);
    let wholly = roster([announced("p1", "a", false), announced("p2", "a", false)]);
    assert_eq!(named(&wholly), ["10.0.0.1", "10.0.0.2"]);
}

#[test]
fn an_instance_is_told_of_a_few_peers_in_each_region_that_reach_upstreams() {
    let mut instances: Vec<_> = (1..20).map(|n| announced(&format!("p{n}"), "a", n != 7)).collect();
    instances.push(announced("p20", "c", true));
    let roster = roster(instances);
    let peers_of = |name: &str| -> Vec<String> {
        let peers = roster.peers_of(&name.to_owned(), NOW).into_iter();
        peers.map(|peer| peer.instance).collect()
    };
    assert_eq!(peers_of("p7").len(), 5, "four in its region and the one in the other");
    assert_eq!(peers_of("p7"), peers_of("p7"));
    let mut told = BTreeMap::new();
    for number in 1..20 {
        let name = format!("p{number}");
        for peer in peers_of(&name) {
            assert!(peer != name && peer != "p7");
            *told.entry(peer).or_insert(0) += 1;
        }
    }
    assert!(told.len() >= 16, "hand-overs of many instances go to many peers: {told:?}");
    assert!(roster.peers_of(&"p1".to_owned(), NOW + Duration::from_secs(5)).is_empty());
}

/// The directory learns of a loss only once it has lasted; until then hand-overs of instances
/// that lost their links went to others that had lost theirs too, and were refused.
#[test]
fn instances_that_have_just_lost_their_links_are_no_peers() {
    let mut lost = announced("p2", "a", true);
    lost.1.has_lost_links = true;
    let roster = roster([announced("p1", "a", true), lost, announced("p3", "a", true)]);
    let peers = roster.peers_of(&"p1".to_owned(), NOW);
    assert_eq!(peers.iter().map(|peer| &peer.instance).collect::<Vec<_>>(), ["p3"]);
    assert_eq!(roster.addresses_for("north", "a", NOW).len(), 3, "it still takes callers");
}

#[test]
fn terms_and_refusals_survive_the_wire() {
    let terms =
        RelayTerms { attempts_max: 2, config_version: 54, fingerprint: Some(u128::MAX / 3) };
    let mut head = HeadWriter::with_request("GET", "/");
    terms.write(&mut head);
    let mut bytes = BytesMut::from(&head.finish()[..]);
    let head = parse_request_head(&mut bytes, 1024).unwrap().unwrap();
    assert_eq!(RelayTerms::parse(&head.headers), Some(terms));
    let refusal = Refusal { reason: "busy".to_owned(), retry_after: Duration::from_millis(120) };
    let mut head = HeadWriter::with_status(503);
    refusal.write(&mut head);
    let mut bytes = BytesMut::from(&head.finish()[..]);
    let head = parse_response_head(&mut bytes, 1024, "GET").unwrap().unwrap();
    assert_eq!(Refusal::parse(&head.headers), Some(refusal));
    assert_eq!(RelayTerms::parse(&head.headers), None);
}

proptest! {
    /// A request with home regions must not reach an instance elsewhere, and no peer is asked
    /// twice for the same request.
    #[test]
    fn only_untried_peers_in_home_regions_are_chosen(
        regions in proptest::collection::vec(0..3_u8, 0..8),
        homes in proptest::collection::btree_set(0..3_u8, 0..3),
        failed in proptest::collection::vec(0..8_usize, 0..4),
        busy in proptest::collection::vec(0..8_usize, 0..40),
    ) {
        let mut peers = Peers::new("0".to_owned());
        let name = |index: usize| format!("p{}", index + 1);
        let listed = regions.iter().enumerate();
        peers.set(listed.map(|(index, region)| peer(&name(index), &region.to_string())).collect());
        failed.iter().for_each(|index| peers.record_failure(address(&name(*index)), NOW));
        busy.iter().for_each(|index| peers.record_start(address(&name(*index))));
        let homes: Vec<String> = homes.iter().map(u8::to_string).collect();
        let mut tried = Vec::new();
        while let Some(peer) = peers.choose(&homes, &tried, NOW) {
            prop_assert!(homes.is_empty() || homes.contains(&peer.region));
            prop_assert!(!tried.contains(&peer.address));
            tried.push(peer.address);
        }
        let is_due = |index: usize, region: &u8| {
            !failed.contains(&index) && (homes.is_empty() || homes.contains(&region.to_string()))
        };
        let expected =
            regions.iter().enumerate().filter(|(index, region)| is_due(*index, region)).count();
        prop_assert_eq!(tried.len(), expected);
    }

    /// A peer that is slow, since many hand requests over to it, must not get as many more as
    /// one that responds at once.
    #[test]
    fn a_request_goes_to_the_peer_of_the_region_with_the_fewest_in_progress(
        response_ticks in proptest::collection::vec(1..40_u32, 2..6),
        requests in 1..200_u32,
    ) {
        let mut peers = Peers::new("north".to_owned());
        let name = |index: usize| format!("p{}", index + 1);
        peers.set((0..response_ticks.len()).map(|index| peer(&name(index), "north")).collect());
        let mut ends: Vec<Vec<u32>> = vec![Vec::new(); response_ticks.len()];
        for tick in 0..requests {
            for (index, ends) in ends.iter_mut().enumerate() {
                let ended = ends.extract_if(.., |end| *end <= tick);
                ended.for_each(|_| peers.record_end(address(&name(index))));
            }
            let chosen = chosen(&peers, &[], &[], NOW).unwrap();
            let index = chosen[1..].parse::<usize>().unwrap() - 1;
            let fewest = ends.iter().map(Vec::len).min();
            prop_assert_eq!(Some(ends[index].len()), fewest);
            peers.record_start(address(&chosen));
            ends[index].push(tick + response_ticks[index]);
        }
    }

    /// Peers that lost their links as well, as in a cut of most instances: each is asked twice a
    /// second at most, and requests go to those that have theirs.
    #[test]
    fn peers_without_links_are_asked_twice_a_second_at_most(
        has_links in proptest::collection::vec(any::<bool>(), 1..6),
        gaps_ms in proptest::collection::vec(0..300_u64, 1..200),
    ) {
        let mut peers = Peers::new("north".to_owned());
        let name = |index: usize| format!("p{}", index + 1);
        peers.set((0..has_links.len()).map(|index| peer(&name(index), "north")).collect());
        let mut asked: BTreeMap<String, u64> = BTreeMap::new();
        let mut now = NOW;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            let mut tried = Vec::new();
            while let Some(peer) = peers.choose(&[], &tried, now).cloned() {
                tried.push(peer.address);
                if has_links[peer.instance[1..].parse::<usize>().unwrap() - 1] {
                    break;
                }
                *asked.entry(peer.instance).or_default() += 1;
                peers.record_failure(peer.address, now);
            }
            let is_taken_over = tried.last().is_some_and(|last| {
                (0..has_links.len()).any(|index| has_links[index] && address(&name(index)) == *last)
            });
            prop_assert_eq!(is_taken_over, has_links.contains(&true));
        }
        let asked_max = 2 * (now - NOW).as_secs() + 2;
        prop_assert!(asked.values().all(|asked| *asked <= asked_max), "{:?}", asked);
    }
}
