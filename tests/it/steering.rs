//! Tests of which region and instance a caller is sent to, and of the limits
//! on shifting callers between regions.

use std::{collections::BTreeMap, net::IpAddr};

use bulrushspan::core::{
    control::{RegionName, ShiftRule, SlotLoad},
    steering::{
        BlockTable, Layout, ShiftInputs, next_shift_step, reachable_shares, rendezvous_order,
    },
};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;

fn shares(row: &[(&str, u32)]) -> BTreeMap<RegionName, u32> {
    row.iter().map(|(region, share)| ((*region).to_owned(), *share)).collect()
}

#[test]
fn with_moved_moves_exactly_the_given_number_of_points() {
    let layout = Layout::new(&shares(&[("a", 500), ("b", 300), ("c", 200)]));
    let moved_layout = layout.with_moved(&"a".to_owned(), &"c".to_owned(), 120);
    assert_eq!(layout.distance(&moved_layout), 120);
    assert_eq!(moved_layout.shares(), shares(&[("a", 380), ("b", 300), ("c", 320)]));
}

/// Returns the shares of `north` after one shift step towards `south`, or
/// `None` if the step moves no points.
fn shares_after_step(south_load: Option<SlotLoad>) -> Option<BTreeMap<RegionName, u32>> {
    let layouts = BTreeMap::from([("north".to_owned(), Layout::new(&shares(&[("north", 1000)])))]);
    let target = BTreeMap::from([("north".to_owned(), shares(&[("north", 500), ("south", 500)]))]);
    let busy_load = SlotLoad { usable_slots: 100, used_slots: 80, waiting: 0 };
    let mut loads = BTreeMap::from([("north".to_owned(), busy_load)]);
    loads.extend(south_load.map(|load| ("south".to_owned(), load)));
    let rows = next_shift_step(&ShiftInputs {
        layouts: &layouts,
        target: &target,
        rule: ShiftRule { cap_permille: 100, interval_ms: 1, headroom_permille: 200 },
        region_loads: &loads,
        slot_counts: &shares(&[("north", 100), ("south", 100)]),
        block_counts: &shares(&[("north", 10)]),
    });
    rows.get("north").map(Layout::shares)
}

#[test]
fn a_step_keeps_to_its_cap_and_the_headroom() {
    let load = |used_slots| Some(SlotLoad { usable_slots: 100, used_slots, waiting: 0 });
    // The 1000 points of north use 80 slots, so each uses 0.08. The headroom
    // leaves 80 of the 100 slots of south usable.
    let steps = [
        ("idle", shares_after_step(load(0))),
        ("room for 4 slots", shares_after_step(load(76))),
        ("no room", shares_after_step(load(80))),
        ("no fresh report", shares_after_step(None)),
    ];
    insta::assert_debug_snapshot!("steps", steps);
}

/// Guards against a shift that never ends: a region that was down counted as
/// full however few of its callers were left, so that its last point never
/// fitted into another region.
#[test]
fn the_last_callers_of_a_region_that_is_down_are_shifted() {
    let home = "south".to_owned();
    let mut layout = Layout::new(&shares(&[("south", 1000)]));
    let target = BTreeMap::from([(home.clone(), shares(&[("north", 1000)]))]);
    let idle_load = SlotLoad { usable_slots: 8, used_slots: 0, waiting: 0 };
    let loads = BTreeMap::from([("north".to_owned(), idle_load)]);
    for _ in 0..10 {
        let layouts = BTreeMap::from([(home.clone(), layout.clone())]);
        let rows = next_shift_step(&ShiftInputs {
            layouts: &layouts,
            target: &target,
            rule: ShiftRule { cap_permille: 100, interval_ms: 1, headroom_permille: 100 },
            region_loads: &loads,
            slot_counts: &shares(&[("north", 8), ("south", 8)]),
            block_counts: &shares(&[("north", 1), ("south", 1)]),
        });
        layout = rows[&home].clone();
    }
    assert_eq!(layout.shares(), shares(&[("north", 1000)]));
}

#[test]
fn shares_of_a_region_that_is_down_go_to_the_others() {
    let target = BTreeMap::from([
        ("a".to_owned(), shares(&[("a", 600), ("b", 300), ("c", 100)])),
        ("b".to_owned(), shares(&[("b", 1000)])),
    ]);
    let regions_up = ["a", "c"].map(str::to_owned).into();
    insta::assert_debug_snapshot!("reachable", reachable_shares(&target, &regions_up));
}

proptest! {
    #[test]
    fn removing_an_instance_moves_only_its_callers(
        key in 0u32..100_000,
        removed_index in 0usize..10,
    ) {
        let names: Vec<String> = (0..10).map(|number| format!("i{number}")).collect();
        let original_order = rendezvous_order(&key.to_string(), &names);
        let mut remaining = names.clone();
        remaining.remove(removed_index);
        let order_after_removal = rendezvous_order(&key.to_string(), &remaining);
        let expected: Vec<String> =
            original_order.into_iter().filter(|name| *name != names[removed_index]).collect();
        prop_assert_eq!(order_after_removal, expected);
    }

    #[test]
    fn the_most_specific_block_is_found(
        v4 in prop::collection::vec((any::<u32>(), 0u8..=32), 0..40),
        v6 in prop::collection::vec((any::<u128>(), 0u8..=128), 0..20),
        v4_bits in any::<u32>(),
        v6_bits in any::<u128>(),
    ) {
        let nets: Vec<IpNet> = v4
            .iter()
            .map(|(bits, length)| IpNet::V4(Ipv4Net::new((*bits).into(), *length).unwrap().trunc()))
            .chain(v6.iter().map(|(bits, length)| {
                IpNet::V6(Ipv6Net::new((*bits).into(), *length).unwrap().trunc())
            }))
            .collect();
        let blocks: BTreeMap<IpNet, RegionName> =
            nets.iter().map(|net| (*net, format!("region of {net}"))).collect();
        let table = BlockTable::new().with_blocks(blocks.iter());
        prop_assert_eq!(table.len(), blocks.len());
        let network_addresses: Vec<IpAddr> = nets.iter().map(IpNet::network).collect();
        let random_addresses = [IpAddr::V4(v4_bits.into()), IpAddr::V6(v6_bits.into())];
        for address in network_addresses.into_iter().chain(random_addresses) {
            // IPv4-mapped IPv6 addresses are looked up as IPv4 addresses.
            let address = address.to_canonical();
            let expected = blocks
                .iter()
                .filter(|(net, _)| net.contains(&address))
                .max_by_key(|(net, _)| net.prefix_len());
            prop_assert_eq!(table.find(address), expected.map(|(net, region)| (*net, region)));
        }
    }
}
