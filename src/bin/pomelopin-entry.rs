//! Server program of an entry host, which speaks the PostgreSQL protocol with callers and
//! targets.

use std::{process::ExitCode, time::SystemTime};

use eyre::{Context, Result};
use pomelopin::{
    adapters::log,
    entry::runtime,
    ids::Incarnation,
    settings::{
        entry::{EntryArguments, EntrySettings, entry_arguments},
        finding::settings_or_exit,
    },
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let arguments = entry_arguments().run();
    let settings = match settings_or_exit(arguments.validate(), arguments.check_settings) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    match start(&arguments, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &EntryArguments, settings: EntrySettings) -> Result<()> {
    log::init(arguments.log, settings.host.as_str())?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if arguments.workers > 0 {
        builder.worker_threads(arguments.workers);
    }
    let runtime = builder.enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let shutdown = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        runtime::run(settings, new_incarnation()?, shutdown).await
    })
}

/// Incarnation of this process: the start time in milliseconds. It is larger than those of
/// earlier starts as long as the wall clock is not set back in between.
fn new_incarnation() -> Result<Incarnation> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = since_epoch.wrap_err("the wall clock is set to a time before 1970")?.as_millis();
    Ok(Incarnation(u64::try_from(ms)?))
}
