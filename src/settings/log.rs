//! Settings of logging.

use bpaf::Bpaf;
use spdlog::Level;

/// Log settings shared by all binaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Bpaf)]
pub struct LogSettings {
    /// Least severe level that is logged: critical, error, warn, info, debug or trace
    #[bpaf(
        long("log"),
        env("POMELOPIN_LOG"),
        argument("LEVEL"),
        fallback(Level::Info),
        display_fallback
    )]
    pub level: Level,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info }
    }
}
