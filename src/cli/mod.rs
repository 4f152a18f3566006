//! Command line of the operators.
//!
//! Commands write to the output of a [`Cx`], so tests can run them in process.

pub mod apply;
pub mod audit;
pub mod client;
pub mod drain;
pub mod files;
pub mod keys;
pub mod status;
pub mod table;
pub mod time;

use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use derive_more::{Display, From};

use crate::{
    cli::client::ClientError,
    configuration::{edit::EditError, finding::Finding},
    ids::{ApplyId, HostId, InstanceId, KeyId, Revision},
    keys::key::KeyError,
    settings::operator::{OperatorSettings, operator_settings},
    state::model::Drain,
};

/// Applies configuration files to pomelopin and shows its state.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Checks a file; exits with 2 if it is invalid
    #[bpaf(command)]
    Check {
        /// Configuration file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists what a file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        base: Base,
        /// Configuration file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies a file; exits with 3 if another file was accepted first
    #[bpaf(command)]
    Apply {
        #[bpaf(external(operator_settings))]
        settings: OperatorSettings,
        /// Wait until every live host has the file in force
        wait: bool,
        /// Id of an earlier request that got no answer
        #[bpaf(argument::<String>("ID"), map(ApplyId::from), optional)]
        request: Option<ApplyId>,
        /// Configuration file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows control hosts, entry hosts, groups and owners
    #[bpaf(command)]
    Status {
        #[bpaf(external(operator_settings))]
        settings: OperatorSettings,
    },
    /// Lists accepted changes, oldest first
    #[bpaf(command)]
    Audit {
        #[bpaf(external(operator_settings))]
        settings: OperatorSettings,
        /// First revision to list
        #[bpaf(argument::<u64>("REVISION"), fallback(0), display_fallback, map(Revision))]
        from: Revision,
    },
    /// Keys of callers
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys_command: KeysCommand,
    },
    /// Stops new work for a host or an instance
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        drain_command: DrainCommand,
    },
}

/// Base of the comparison.
#[derive(Debug, Clone, Bpaf)]
pub enum Base {
    /// Another local file; needs no control host.
    Other {
        /// Compare with this file in place of the accepted one
        #[bpaf(argument("FILE"))]
        against: PathBuf,
    },
    /// File that the control hosts have accepted.
    Accepted {
        #[bpaf(external(operator_settings))]
        settings: OperatorSettings,
    },
}

/// Subcommands of `keys`.
#[derive(Debug, Clone, Bpaf)]
pub enum KeysCommand {
    /// Prints a new key and the lines for the file
    #[bpaf(command)]
    New {
        /// Id of the key, not secret
        #[bpaf(argument::<String>("ID"), map(KeyId::from))]
        id: KeyId,
    },
}

/// Subcommands of `drain`.
#[derive(Debug, Clone, Bpaf)]
pub enum DrainCommand {
    /// Drains an entry host
    #[bpaf(command)]
    Host {
        #[bpaf(external)]
        drain_options: DrainOptions,
        /// Name of the host
        #[bpaf(positional::<String>("NAME"), map(HostId::from))]
        name: HostId,
    },
    /// Drains a target instance
    #[bpaf(command)]
    Instance {
        #[bpaf(external)]
        drain_options: DrainOptions,
        /// Name of the instance
        #[bpaf(positional::<String>("NAME"), map(InstanceId::from))]
        name: InstanceId,
    },
}

/// Options of a drain.
#[derive(Debug, Clone, Bpaf)]
pub struct DrainOptions {
    #[bpaf(external(operator_settings))]
    pub settings: OperatorSettings,
    /// Wait until every live host has the drain in force
    pub wait: bool,
}

/// Result of a completed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    Success,
    /// File was accepted, but not all live hosts acknowledged it before the deadline.
    Pending,
    /// File is invalid.
    Invalid,
    /// Another file was accepted first.
    Conflict,
}

impl Exit {
    /// Exit code of the process. A failed command also exits with 1.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Pending => 1,
            Exit::Invalid => 2,
            Exit::Conflict => 3,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.code())
    }
}

/// Failure of a command.
#[derive(Debug, Display, From)]
pub enum CliError {
    #[display("{}: {_1}", _0.display())]
    #[from(ignore)]
    File(PathBuf, io::Error),
    #[display("cannot write the output: {_0}")]
    Output(io::Error),
    Client(ClientError),
    Edit(EditError),
    Key(KeyError),
    #[display("cannot start the async runtime: {_0}")]
    #[from(ignore)]
    Runtime(io::Error),
    #[display("no file has been accepted yet")]
    #[from(ignore)]
    NoFile,
}

impl std::error::Error for CliError {}

/// Context of a command.
pub struct Cx<'a> {
    /// Output of the command.
    pub out: &'a mut dyn Write,
}

/// Runs a command.
///
/// # Errors
///
/// Fails if a file cannot be read or no control host responds before the deadline.
pub async fn run(command: Command, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    match command {
        Command::Check { file } => files::check(&file, cx),
        Command::Diff { base: Base::Other { against }, file } => {
            files::diff_files(&against, &file, cx)
        }
        Command::Diff { base: Base::Accepted { settings }, file } => {
            files::diff_accepted(&settings, &file, cx).await
        }
        Command::Apply { settings, wait, request, file } => {
            apply::apply_file(&settings, wait, request, &file, cx).await
        }
        Command::Status { settings } => status::status(&settings, cx).await,
        Command::Audit { settings, from } => audit::audit(&settings, from, cx).await,
        Command::Keys { keys_command: KeysCommand::New { id } } => keys::new(id, cx),
        Command::Drain { drain_command: DrainCommand::Host { drain_options, name } } => {
            drain::drain(&drain_options, &Drain::Host(name), cx).await
        }
        Command::Drain { drain_command: DrainCommand::Instance { drain_options, name } } => {
            drain::drain(&drain_options, &Drain::Instance(name), cx).await
        }
    }
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|error| CliError::File(path.to_owned(), error))
}

/// Prints findings, each as `FILE:LINE:COLUMN: MESSAGE`.
fn print_findings(path: &Path, findings: &[Finding], cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    for finding in findings {
        writeln!(cx.out, "{}:{finding}", path.display())?;
    }
    Ok(Exit::Invalid)
}
