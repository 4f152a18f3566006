//! Distributed rate limiting: enforces the rate and burst of each workspace across
//! all hosts.
//!
//! Each workspace has one limiter owner, the host that keeps its token bucket and
//! grants tokens to the entry hosts. A token permits one request until its grant
//! expires. Granted tokens count as spent, so a lost grant or a crashed host can only
//! make the limit stricter.

pub mod admission;
pub mod bucket;
pub mod forecast;
pub mod limiter;
pub mod token_bucket;
