//! Detection of failed primaries and promotion of replicas.
