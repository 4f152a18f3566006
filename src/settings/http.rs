//! Settings of the HTTP listener of an entry host.

/// Bounds of requests to the HTTP listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// Largest accepted announcement, in bytes.
    pub max_announcement_bytes: usize,
    /// Instances whose last announcement is remembered.
    pub max_known_instances: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { max_announcement_bytes: 16 * 1_024, max_known_instances: 65_536 }
    }
}
