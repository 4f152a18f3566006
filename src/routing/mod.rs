//! Choice of the instance that serves a statement.
