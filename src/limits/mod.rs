//! Rates and bursts of workspaces over all hosts.
//!
//! One limiter owner per workspace keeps a token bucket and grants tokens to the
//! entry hosts. Each token permits one request until the grant ends. A granted
//! token counts as spent, so lost grants and lost hosts only make the limit
//! stricter.

pub mod admission;
pub mod bucket;
pub mod forecast;
pub mod limiter;
