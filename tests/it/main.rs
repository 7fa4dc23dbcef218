//! Focused tests of the core, with virtual time, and of what surrounds it.

mod admission;
mod control;
mod replication;
mod settings;
mod sizes;
mod steering;
mod storage;
