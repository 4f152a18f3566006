//! Log of a process: one line to standard error for each record.
//!
//! A line holds the time, the level, the host, the message and the key-value pairs:
//! `2026-03-01T09:23:12.263+00:00 info host=entry-1 lease renewed revision=7`.

use spdlog::{
    LevelFilter, Logger,
    formatter::{PatternFormatter, pattern},
    sink::{StdStream, StdStreamSink},
};

use crate::settings::log::LogSettings;

/// Sets up the log of the process; `host` names the process in each line.
///
/// # Errors
///
/// Fails if `host` contains characters that a logger's name cannot have.
pub fn init(settings: LogSettings, host: &str) -> spdlog::Result<()> {
    let formatter = PatternFormatter::new(pattern!(
        "{date}T{time}.{millisecond}{tz_offset} {^{level}} host={logger} {payload} {kv}{eol}"
    ));
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(formatter).build_arc()?;
    let logger = Logger::builder()
        .name(host)
        .level_filter(LevelFilter::MoreSevereEqual(settings.level))
        .sink(sink)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
