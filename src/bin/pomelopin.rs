//! Command line of the operators.

use std::{io, process::ExitCode};

use pomelopin::cli::{self, CliError, Cx, Exit};

fn main() -> ExitCode {
    let command = cli::command().run();
    match run(command) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("pomelopin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: cli::Command) -> Result<Exit, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    let mut out = io::stdout().lock();
    runtime.block_on(cli::run(command, &mut Cx { out: &mut out }))
}
