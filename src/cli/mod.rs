//! Operators' command line.
//!
//! Commands write to the context's output, so tests call them without a process.

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
    /// Checks a file; exits with 2 if it has faults
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
    /// Gives a host or an instance no new work
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        drain_command: DrainCommand,
    },
}

/// What a file is compared with.
#[derive(Debug, Clone, Bpaf)]
pub enum Base {
    /// Other file, compared without a control host.
    Other {
        /// Compare with this file in place of the accepted one
        #[bpaf(argument("FILE"))]
        against: PathBuf,
    },
    /// Accepted file.
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

/// Options of both drains.
#[derive(Debug, Clone, Bpaf)]
pub struct DrainOptions {
    #[bpaf(external(operator_settings))]
    pub settings: OperatorSettings,
    /// Wait until every live host has the drain in force
    pub wait: bool,
}

/// Result of a command that ran to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    Success,
    /// Not all live hosts have the file in force.
    Pending,
    /// File has faults.
    Invalid,
    /// Another file was accepted first.
    Conflict,
}

impl Exit {
    /// Exit code of the process. 1 also stands for a command that failed.
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

/// Why a command failed.
#[derive(Debug, Display, From)]
pub enum CliError {
    #[display("{}: {_1}", _0.display())]
    #[from(ignore)]
    File(PathBuf, io::Error),
    #[display("output: {_0}")]
    Output(io::Error),
    Client(ClientError),
    Edit(EditError),
    Key(KeyError),
    #[display("the runtime did not start: {_0}")]
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
/// Fails if a file cannot be read or the control hosts give no answer in time.
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

/// Text of a file.
fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|error| CliError::File(path.to_owned(), error))
}

/// Prints findings as `FILE:LINE:COL: message`.
fn print_findings(path: &Path, findings: &[Finding], cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    for finding in findings {
        writeln!(cx.out, "{}:{finding}", path.display())?;
    }
    Ok(Exit::Invalid)
}
