//! Look-ups of the instances that a caller should use.

use std::{collections::BTreeMap, error::Error, fmt, net::IpAddr, sync::Arc};

use ipnet::IpNet;

use super::{BlockTable, Point};
use crate::core::control::{InstanceName, Policy, RegionName, Revision, SHARES_TOTAL_PERMILLE};

/// Answers look-ups, using data derived from one policy.
#[derive(Clone, Debug, Default)]
pub struct Steering {
    blocks: Arc<BlockTable>,
    default_region: RegionName,
    available: BTreeMap<RegionName, Vec<InstanceName>>,
}

/// Represents the result of a look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookUpResult {
    /// The client block, or the address alone if no block contains it.
    pub block: IpNet,
    /// The home region of the block.
    pub home: RegionName,
    /// The region that serves the caller.
    pub region: RegionName,
    /// The instances to use, in order of preference.
    pub instances: Vec<InstanceName>,
    /// The revision of the policy that the result is based on.
    pub revision: Revision,
}

/// Represents the error of a look-up whose region has no available instance.
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
    /// Creates a `Steering` from a policy. `default_region` is the home region of
    /// callers whose address is in no block, and `region_of` returns the region of an
    /// instance.
    pub fn new(
        policy: &Policy,
        default_region: RegionName,
        region_of: impl Fn(&InstanceName) -> Option<RegionName>,
    ) -> Self {
        let blocks = Arc::new(BlockTable::new().with_blocks(policy.blocks.iter()));
        let mut steering = Self { blocks, default_region, available: BTreeMap::new() };
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

    /// Sets the instances that look-ups may name to those available in a policy.
    pub fn update_instances(
        &mut self,
        policy: &Policy,
        region_of: impl Fn(&InstanceName) -> Option<RegionName>,
    ) {
        self.available.clear();
        for name in policy.instances.keys().filter(|name| policy.is_available(name)) {
            if let Some(region) = region_of(name) {
                self.available.entry(region).or_default().push(name.clone());
            }
        }
    }

    /// Returns the number of client blocks.
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the instances for a client address, in order of preference.
    ///
    /// # Errors
    ///
    /// Returns an error if the region that serves the caller has no instance. No
    /// other region is used instead: that would move all of the region's callers
    /// at once and exceed the cap of the shift that is already in progress.
    pub fn look_up(&self, policy: &Policy, address: IpAddr) -> Result<LookUpResult, NoInstance> {
        let (block, home) = match self.blocks.find(address) {
            Some((block, home)) => (block, home.clone()),
            None => (IpNet::from(address), self.default_region.clone()),
        };
        let point = point_of(block);
        let assigned_region = policy.layouts.get(&home).and_then(|layout| layout.region_at(point));
        let region = assigned_region.cloned().unwrap_or_else(|| home.clone());
        let Some(available) = self.available.get(&region) else {
            return Err(NoInstance { region });
        };
        // The callers of a block are distributed by address, so that a large block
        // is not served by a single instance.
        let instances = rendezvous_order(&address.to_string(), available);
        Ok(LookUpResult { block, home, region, instances, revision: policy.revision })
    }
}

/// Returns the point that a client block is hashed to.
fn point_of(block: IpNet) -> Point {
    crc32fast::hash(block.to_string().as_bytes()) % SHARES_TOTAL_PERMILLE
}

/// Orders names for a key by rendezvous hashing: removing a name changes the
/// first choice only of the keys that had that name first.
pub fn rendezvous_order(key: &str, names: &[InstanceName]) -> Vec<InstanceName> {
    let mut scored: Vec<(u64, &InstanceName)> =
        names.iter().map(|name| (score(key, name), name)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns the rendezvous weight of a name for a key. CRC is linear: with it
/// alone, the order of two names would be the same for too many keys. So the
/// checksums are mixed by multiplication.
fn score(key: &str, name: &str) -> u64 {
    let key_hash = u64::from(crc32fast::hash(key.as_bytes()));
    let name_hash = u64::from(crc32fast::hash(name.as_bytes()));
    let mut mixed = (key_hash << 32 | name_hash).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 32)
}
