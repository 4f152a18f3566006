//! Rates and bursts of workspaces over all hosts.
