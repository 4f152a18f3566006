//! Load generator and consistency checker.

use std::{process::ExitCode, sync::Arc};

use bpaf::Parser;
use eyre::Result;
use pomelopin::{
    load::{
        bulk::{idle, throughput},
        compare::compare,
        run::check,
    },
    settings::{
        finding::settings_or_exit,
        load::{LoadSettings, Mode, ReportFormat, load_arguments},
    },
};
use serde::Serialize;
use spdlog::{
    Logger,
    sink::{StdStream, StdStreamSink},
};

/// Exit code of a check that found violations.
const EXIT_VIOLATIONS: u8 = 1;

fn main() -> Result<ExitCode> {
    let arguments = load_arguments()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Load generator and consistency checker: reports measurements and every violation")
        .run();
    match settings_or_exit(arguments.validate(), arguments.check_settings) {
        Err(exit) => Ok(exit),
        Ok(settings) => {
            log_to_stderr()?;
            run(settings)
        }
    }
}

/// Sends the log to standard error, because standard output carries the report.
fn log_to_stderr() -> Result<()> {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build_arc()?;
    let logger = Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

#[tokio::main]
async fn run(settings: LoadSettings) -> Result<ExitCode> {
    let form = settings.report;
    match settings.mode {
        Mode::Check => {
            let allowed_share = settings.allowed_wrongly_refused_share;
            let report = check(settings).await?;
            print_report(form, &report, report.table())?;
            let violations = report.violations(allowed_share);
            for (name, count) in &violations {
                eprintln!("violation: {name} {count}");
            }
            let code = if violations.is_empty() { 0 } else { EXIT_VIOLATIONS };
            return Ok(ExitCode::from(code));
        }
        Mode::Latency => {
            let comparison = compare(settings).await?;
            print_report(form, &comparison, comparison.table())?;
        }
        Mode::Idle => {
            let report = idle(settings).await?;
            print_report(form, &report, format!("{report:#?}\n"))?;
        }
        Mode::Throughput => {
            let report = throughput(settings).await?;
            print_report(form, &report, format!("{report:#?}\n"))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_report(form: ReportFormat, report: &impl Serialize, table: String) -> Result<()> {
    match form {
        ReportFormat::Json => println!("{}", serde_json::to_string(report)?),
        ReportFormat::Table => print!("{table}"),
    }
    Ok(())
}
