//! Focused tests of the core, with virtual time.
