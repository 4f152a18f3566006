//! Runtime of an entry host.
