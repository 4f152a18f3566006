//! Measured slopes of the decision code for the capacity page.
//!
//! Each slope runs the real code in this process at five or more sizes, up to the
//! size that the design aims for, and prints one row per size.

pub mod fleet;
pub mod plot;
pub mod series;
pub mod state;
pub mod traffic;
