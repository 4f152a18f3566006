//! Logging setup: one line per record.
//!
//! A line holds the time, the level, the host, the message and the key-value pairs:
//! `2026-03-01T09:23:12.263+00:00 info host=entry-1 lease renewed revision=7`.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink},
};

use crate::settings::log::LogSettings;

/// Capacity of the queue to the writer thread. A full queue drops lines, so that a slow or
/// stopped reader of the log never delays requests.
const QUEUE_LINES: usize = 1024;

/// Initializes logging to standard error; `host` names the process in each line.
///
/// # Errors
///
/// Fails if `host` contains characters that a logger's name cannot have.
pub fn init(settings: LogSettings, host: &str) -> spdlog::Result<()> {
    set_logger(settings, host, stream_sink(StdStream::Stderr)?)
}

/// Initializes logging to standard output from a separate writer thread.
///
/// # Errors
///
/// Fails if `host` contains characters that a logger's name cannot have, or if the
/// thread cannot be started.
pub fn init_queued(settings: LogSettings, host: &str) -> spdlog::Result<()> {
    let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let thread_pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .thread_pool(thread_pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(stream_sink(StdStream::Stdout)?)
        .error_handler(ignore_dropped_line)
        .build_arc()?;
    set_logger(settings, host, sink)
}

/// Ignores dropped lines: while the queue is full, an error line would be dropped too.
fn ignore_dropped_line(_: spdlog::Error) {}

fn stream_sink(stream: StdStream) -> spdlog::Result<Arc<dyn Sink>> {
    let formatter = PatternFormatter::new(pattern!(
        "{date}T{time}.{millisecond}{tz_offset} {^{level}} host={logger} {payload} {kv}{eol}"
    ));
    Ok(StdStreamSink::builder().std_stream(stream).formatter(formatter).build_arc()?)
}

fn set_logger(settings: LogSettings, host: &str, sink: Arc<dyn Sink>) -> spdlog::Result<()> {
    let logger = Logger::builder()
        .name(host)
        .level_filter(LevelFilter::MoreSevereEqual(settings.level))
        .sink(sink)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
