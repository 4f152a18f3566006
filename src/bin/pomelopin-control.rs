//! Server program of a control host.

use std::process::ExitCode;

use pomelopin::{
    adapters::log,
    control::runtime,
    settings::{
        control::{ControlSettings, control_arguments},
        finding::settings_or_exit,
    },
};

/// Worker threads of the runtime that serves HTTP; the event loop has a thread of its own.
const WORKERS: usize = 2;

fn main() -> ExitCode {
    let arguments = control_arguments().run();
    let settings = match settings_or_exit(arguments.validate(), arguments.check_settings) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    if let Err(error) = log::init(arguments.log, &settings.name) {
        eprintln!("pomelopin-control: cannot initialize logging: {error}");
        return ExitCode::FAILURE;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::critical!("control host terminated: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: ControlSettings) -> eyre::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
    runtime.block_on(runtime::run(settings))
}
