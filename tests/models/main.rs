//! Model checking of the core.
