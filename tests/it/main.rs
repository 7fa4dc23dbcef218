//! Tests of single modules: the core with virtual time, and the parsing,
//! storage and settings around it.

mod admission;
mod balance;
mod cold_limit;
mod connection_table;
mod control;
mod explain;
mod hand_over;
mod http1;
mod layout;
mod link_pacer;
mod memory_budget;
mod notices;
mod panics;
mod placement;
mod platform;
mod platform_fuzz;
mod replication;
mod retry_budget;
mod roster;
mod routing;
mod settings;
mod sizes;
mod stall_detector;
mod steering;
mod stop_plan;
mod storage;
mod storage_crash;
mod suspects;
mod upstream_list;
mod wire;
