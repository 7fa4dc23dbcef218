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
        let answer: LookUpResponse = self.client()?.get(&path).await?;
        if self.json {
            return Ok(print_json(&answer)?);
        }
        println!(
            "block {} of {}, served by {} for {} ms, revision {}, key epoch {}",
            answer.block,
            answer.home,
            answer.region,
            answer.ttl_ms,
            answer.revision,
            answer.key_epoch
        );
        for instance in &answer.instances {
            println!("{:16}  {}", instance.name, instance.address);
        }
        Ok(())
    }
}
