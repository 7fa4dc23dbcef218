//! Answers which entry instances a caller should use.

use std::{collections::BTreeMap, error::Error, fmt, net::IpAddr, sync::Arc};

use ipnet::IpNet;

use super::{BlockTable, Point};
use crate::core::control::{InstanceName, Policy, RegionName, Revision, SHARES_TOTAL_PERMILLE};

/// Answers look-ups under one policy.
#[derive(Clone, Debug, Default)]
pub struct Steering {
    blocks: Arc<BlockTable>,
    default_region: RegionName,
    offered: BTreeMap<RegionName, Vec<InstanceName>>,
}

/// Holds the answer to a look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAnswer {
    /// The client block, or the address alone where no block holds it.
    pub block: IpNet,
    /// The block's home region.
    pub home: RegionName,
    /// The region that serves the caller.
    pub region: RegionName,
    /// The entry instances to use, the first one first.
    pub instances: Vec<InstanceName>,
    /// The revision that the answer rests on.
    pub revision: Revision,
}

/// Says that no instance can be named to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoInstance {
    /// The region that would serve the caller.
    pub region: RegionName,
}

impl fmt::Display for NoInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "region `{}` has no instance to offer; its callers are being shifted",
            self.region
        )
    }
}

impl Error for NoInstance {}

impl Steering {
    /// Returns the steering of a policy. Callers in no block count as callers
    /// of `default_region`.
    pub fn new(
        policy: &Policy,
        default_region: RegionName,
        region_of: impl Fn(&InstanceName) -> Option<RegionName>,
    ) -> Self {
        let blocks = Arc::new(BlockTable::new().with_blocks(policy.blocks.iter()));
        let mut steering = Self { blocks, default_region, offered: BTreeMap::new() };
        steering.update_instances(policy, region_of);
        steering
    }

    /// Sets the home regions of further blocks.
    pub fn put_blocks(&mut self, blocks: &[(IpNet, RegionName)]) {
        let table = Arc::make_mut(&mut self.blocks);
        for (block, region) in blocks {
            table.insert(*block, region);
        }
    }

    /// Takes over which instances the policy offers.
    pub fn update_instances(
        &mut self,
        policy: &Policy,
        region_of: impl Fn(&InstanceName) -> Option<RegionName>,
    ) {
        self.offered.clear();
        for name in policy.instances.keys().filter(|name| policy.is_offered(name)) {
            if let Some(region) = region_of(name) {
                self.offered.entry(region).or_default().push(name.clone());
            }
        }
    }

    /// Returns how many client blocks are known.
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// Answers for a client address.
    ///
    /// # Errors
    ///
    /// Returns an error when the region that serves the caller has no
    /// instance. No other region is named instead: moving a region's callers
    /// at once would break the cap of the shift that is already under way.
    pub fn look_up(&self, policy: &Policy, address: IpAddr) -> Result<LookupAnswer, NoInstance> {
        let (block, home) = match self.blocks.find(address) {
            Some((block, home)) => (block, home.clone()),
            None => (IpNet::from(address), self.default_region.clone()),
        };
        let point = point_of(block);
        let placed = policy.layouts.get(&home).and_then(|layout| layout.region_at(point));
        let region = placed.cloned().unwrap_or_else(|| home.clone());
        let Some(offered) = self.offered.get(&region) else {
            return Err(NoInstance { region });
        };
        // Within a block callers are spread by address, so that one large
        // block does not land on one instance.
        let instances = rendezvous_order(&address.to_string(), offered);
        Ok(LookupAnswer { block, home, region, instances, revision: policy.revision })
    }
}

/// Returns the point of a client block.
fn point_of(block: IpNet) -> Point {
    crc32fast::hash(block.to_string().as_bytes()) % SHARES_TOTAL_PERMILLE
}

/// Orders names for a key so that taking one away moves only the keys that
/// had it first.
pub fn rendezvous_order(key: &str, names: &[InstanceName]) -> Vec<InstanceName> {
    let mut scored: Vec<(u64, &InstanceName)> =
        names.iter().map(|name| (score(key, name), name)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Mixes a key and a name. CRC alone is linear: the order of two names would
/// be the same for too many keys, so the sum is multiplied out.
fn score(key: &str, name: &str) -> u64 {
    let key_hash = u64::from(crc32fast::hash(key.as_bytes()));
    let name_hash = u64::from(crc32fast::hash(name.as_bytes()));
    let mut mixed = (key_hash << 32 | name_hash).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 32)
}
