//! Stand-in database instance for tests and experiments.

use std::process::ExitCode;

use bpaf::Parser;
use eyre::Result;
use pomelopin::{
    settings::{
        finding::settings_or_exit,
        target::{TargetSettings, target_arguments},
    },
    target::run::{Listeners, start},
};

fn main() -> Result<ExitCode> {
    let arguments = target_arguments()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-in database instance that speaks the PostgreSQL protocol")
        .run();
    match settings_or_exit(arguments.validate(), arguments.check_settings) {
        Ok(settings) => serve(settings),
        Err(exit) => Ok(exit),
    }
}

#[tokio::main]
async fn serve(settings: TargetSettings) -> Result<ExitCode> {
    let listeners = Listeners::bind(&settings).await?;
    let mut running = start(settings, listeners).await?;
    spdlog::info!(
        "instance {} serves SQL on {} and HTTP on {}",
        running.instance.settings.name,
        running.sql_addr,
        running.http_addr
    );
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        () = running.wait() => {}
    }
    Ok(ExitCode::SUCCESS)
}
