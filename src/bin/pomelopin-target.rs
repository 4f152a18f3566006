//! Stand-in database instance.

use std::process::ExitCode;

use bpaf::Parser;
use eyre::Result;
use pomelopin::{
    settings::target::{TargetSettings, target_arguments},
    target::run::{Listeners, start},
};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> Result<ExitCode> {
    let arguments = target_arguments()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-in database instance that speaks the PostgreSQL protocol")
        .run();
    match arguments.validate() {
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Ok(ExitCode::from(EXIT_SETTINGS))
        }
        Ok(_) if arguments.check_settings => {
            println!("settings are valid");
            Ok(ExitCode::SUCCESS)
        }
        Ok(settings) => serve(settings),
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
