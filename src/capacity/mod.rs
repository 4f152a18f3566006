//! Scaling benchmarks of the decision code.
//!
//! Each benchmark runs the production code in this process at five or more sizes, most of
//! them up to the size that the design aims for, and gives a [`series::Series`] with one
//! point per size.

pub mod fleet;
pub mod plot;
pub mod series;
pub mod state;
pub mod traffic;
