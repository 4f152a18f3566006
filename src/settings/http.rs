//! Settings of the HTTP listener of an entry host.

/// Limits of the HTTP listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// Maximum size of an announcement, in bytes.
    pub max_announcement_bytes: usize,
    /// Maximum number of instances whose last announcement is kept.
    pub max_known_instances: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { max_announcement_bytes: 16 * 1_024, max_known_instances: 65_536 }
    }
}
