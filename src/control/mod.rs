//! Control group: replicated log, elections, leases of entry hosts.
