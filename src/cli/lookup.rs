//! Implements the `lookup` command.

use std::net::IpAddr;

use super::{
    CommandResult,
    client::{operator_command, print_json},
};
use crate::runtime::LookUpResponse;

operator_command! {
    /// Shows which entry instances a client address is told to use.
    LookupFlags as "lookup" {
        /// the client address
        #[argh(positional)]
        client: IpAddr,
    }
}

impl LookupFlags {
    pub(super) async fn run(self) -> CommandResult {
        let path = format!("/v1/lookup?client={}", self.client);
        let response: LookUpResponse = self.client()?.get(&path).await?;
        if self.json {
            return Ok(print_json(&response)?);
        }
        println!(
            "block {} of {}, served by {} for {} ms, revision {}, key epoch {}",
            response.block,
            response.home,
            response.region,
            response.ttl_ms,
            response.revision,
            response.key_epoch
        );
        for instance in &response.instances {
            println!("{:16}  {}", instance.name, instance.address);
        }
        Ok(())
    }
}
