//! Focused tests of the core, with virtual time, and of what surrounds it.

mod admission;
mod balance;
mod control;
mod explain;
mod http1;
mod layout;
mod platform;
mod replication;
mod roster;
mod settings;
mod sizes;
mod steering;
mod storage;
