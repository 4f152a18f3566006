//! Limits of a workspace over all entry hosts of a fleet.

mod bound;
mod price;
mod simulation;
