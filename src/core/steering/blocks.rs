//! The table of client blocks.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

use crate::core::control::RegionName;

/// Maps client blocks to home regions and finds the longest block that contains
/// an address.
///
/// There is one ordered map for each prefix length in use. A change costs one
/// insertion, and a search at most one look-up for each prefix length.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: BTreeMap<u8, BTreeMap<u32, RegionIndex>>,
    v6: BTreeMap<u8, BTreeMap<u128, RegionIndex>>,
    regions: Vec<RegionName>,
    indexes: BTreeMap<RegionName, RegionIndex>,
}

type RegionIndex = u32;

impl BlockTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the table with blocks added.
    pub fn with_blocks<'a>(
        mut self,
        blocks: impl IntoIterator<Item = (&'a IpNet, &'a RegionName)>,
    ) -> Self {
        for (block, region) in blocks {
            self.insert(*block, region);
        }
        self
    }

    /// Sets the home region of a block.
    pub fn insert(&mut self, block: IpNet, region: &RegionName) {
        let index = self.intern(region);
        match block.trunc() {
            IpNet::V4(net) => {
                let blocks = self.v4.entry(net.prefix_len()).or_default();
                blocks.insert(u32::from(net.network()), index);
            }
            IpNet::V6(net) => {
                let blocks = self.v6.entry(net.prefix_len()).or_default();
                blocks.insert(u128::from(net.network()), index);
            }
        }
    }

    /// Returns the block with the longest prefix that contains `address`, with its
    /// home region.
    pub fn find(&self, address: IpAddr) -> Option<(IpNet, &RegionName)> {
        match address {
            IpAddr::V4(address) => self.find_v4(address),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(mapped) => self.find_v4(mapped),
                None => self.find_v6(address),
            },
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        let v4: usize = self.v4.values().map(BTreeMap::len).sum();
        let v6: usize = self.v6.values().map(BTreeMap::len).sum();
        v4 + v6
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find_v4(&self, address: Ipv4Addr) -> Option<(IpNet, &RegionName)> {
        let bits = u32::from(address);
        self.v4.iter().rev().find_map(|(length, blocks)| {
            let network = bits & mask_v4(*length);
            let region = blocks.get(&network)?;
            let net = Ipv4Net::new(Ipv4Addr::from(network), *length).ok()?;
            Some((IpNet::V4(net), self.regions.get(*region as usize)?))
        })
    }

    fn find_v6(&self, address: Ipv6Addr) -> Option<(IpNet, &RegionName)> {
        let bits = u128::from(address);
        self.v6.iter().rev().find_map(|(length, blocks)| {
            let network = bits & mask_v6(*length);
            let region = blocks.get(&network)?;
            let net = Ipv6Net::new(Ipv6Addr::from(network), *length).ok()?;
            Some((IpNet::V6(net), self.regions.get(*region as usize)?))
        })
    }

    fn intern(&mut self, region: &RegionName) -> RegionIndex {
        if let Some(index) = self.indexes.get(region) {
            return *index;
        }
        let index = self.regions.len() as RegionIndex;
        self.regions.push(region.clone());
        self.indexes.insert(region.clone(), index);
        index
    }
}

fn mask_v4(length: u8) -> u32 {
    u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0)
}

fn mask_v6(length: u8) -> u128 {
    u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0)
}
