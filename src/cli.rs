//! Command line arguments and exit codes.

use std::{path::PathBuf, process::ExitCode};

use clap::{Args, Parser, Subcommand, ValueEnum};
use dogwoodway_types::ChangeId;

/// Exit code of a command that failed.
pub(crate) const EXIT_FAILURE: ExitCode = ExitCode::FAILURE;

/// Exit code of `publish` if another change to the same object was accepted first.
pub(crate) const EXIT_STALE: u8 = 3;

/// Exit code of `publish` if the change is invalid, and of `check` if a file is.
pub(crate) const EXIT_INVALID: u8 = 4;

/// Exit code of `publish` if the verdict is not known, and of `status` if a node lags or did not
/// answer.
pub(crate) const EXIT_UNKNOWN: u8 = 5;

/// Routes language-model traffic with long shared prompts.
#[derive(Debug, Parser)]
#[command(name = "dogwoodway", version, about)]
pub(crate) struct Cli {
    /// Format of the log lines.
    #[arg(long, global = true, value_enum, default_value = "json")]
    pub(crate) log_format: LogFormat,
    /// Lowest level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Lines for people.
    Text,
}

/// The role to run or the command to execute.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve callers on an entry VM, through the agents.
    Entry(RoleArgs),
    /// Run beside a backend server and control all access to it.
    Agent(RoleArgs),
    /// Serve callers on the users' platform, directly from backend servers without agents.
    Router,
    /// Publish a configuration change and wait for the verdict.
    Publish(PublishArgs),
    /// Print the configuration in force.
    Get(GetArgs),
    /// Print the audit trail: who changed what, when, against which version, with which verdict.
    Audit(LogArgs),
    /// Print which configuration each node applies, and who lags.
    Status(StatusArgs),
    /// Check settings and configuration files without starting or sending anything.
    Check(CheckArgs),
    /// Read a bearer key from standard input and print the hash to configure.
    HashKey(HashKeyArgs),
}

/// Arguments of a serving role.
#[derive(Args, Debug)]
pub(crate) struct RoleArgs {
    /// Settings file, in YAML.
    #[arg(long, short = 's')]
    pub(crate) settings: PathBuf,
}

/// Arguments of `audit`, which `publish` and `status` take as well.
#[derive(Args, Debug)]
pub(crate) struct LogArgs {
    /// Base URL of the platform's log.
    #[arg(long, env = "DOGWOODWAY_LOG_URL")]
    pub(crate) log_url: String,
    /// Format of the result on standard output.
    #[arg(long, short = 'o', value_enum, default_value = "text")]
    pub(crate) output: OutputFormat,
}

/// Format of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Lines for people.
    Text,
    /// JSON for scripts.
    Json,
}

/// Arguments of `get`.
#[derive(Args, Debug)]
pub(crate) struct GetArgs {
    /// Base URL of the platform's log.
    #[arg(long, env = "DOGWOODWAY_LOG_URL")]
    pub(crate) log_url: String,
    /// Format of the configuration on standard output.
    #[arg(long, short = 'o', value_enum, default_value = "yaml")]
    pub(crate) output: ConfigOutputFormat,
}

/// Format of a printed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum ConfigOutputFormat {
    /// YAML.
    Yaml,
    /// JSON.
    Json,
}

/// Arguments of `status`.
#[derive(Args, Debug)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    pub(crate) log: LogArgs,
    /// Base URL of the platform's list of VMs.
    #[arg(long, env = "DOGWOODWAY_VMS_URL")]
    pub(crate) vms_url: String,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
#[command(after_help = "Exit codes: 0 all valid, 4 something is invalid.")]
pub(crate) struct CheckArgs {
    /// Settings file of an entry; may be given several times.
    #[arg(long)]
    pub(crate) entry: Vec<PathBuf>,
    /// Settings file of an agent; may be given several times.
    #[arg(long)]
    pub(crate) agent: Vec<PathBuf>,
    /// Configuration file, as given to `publish` for a new deployment; may be given several times.
    #[arg(long)]
    pub(crate) config: Vec<PathBuf>,
}

/// Arguments of `publish`.
#[derive(Args, Debug)]
#[command(after_help = "Exit codes: 0 accepted (or would be), 1 not sent, 2 usage, 3 stale, \
    4 invalid, 5 unknown: query the verdict with --ask and the change id.")]
pub(crate) struct PublishArgs {
    #[command(flatten)]
    pub(crate) log: LogArgs,
    /// File of edits, in YAML.
    #[arg(long, short = 'f', required_unless_present = "ask")]
    pub(crate) file: Option<PathBuf>,
    /// Print the diff and the verdict that the change would get, and publish nothing.
    #[arg(long)]
    pub(crate) dry_run: bool,
    /// Identifier of the change, so that publishing it again has no effect; random if omitted.
    #[arg(long)]
    pub(crate) change_id: Option<ChangeId>,
    /// Publish nothing; wait for the verdict on the change with the given identifier.
    #[arg(long, requires = "change_id")]
    pub(crate) ask: bool,
    /// Start a new deployment if the log is empty; only safe if no node has an earlier
    /// configuration.
    #[arg(long)]
    pub(crate) init: bool,
    /// Author recorded in the audit trail.
    #[arg(long, env = "USER")]
    pub(crate) author: String,
}

/// Arguments of `hash-key`.
#[derive(Args, Debug)]
pub(crate) struct HashKeyArgs {
    /// Secret that is hashed together with bearer keys, as in the entries' settings.
    #[arg(long, env = "DOGWOODWAY_KEY_PEPPER", hide_env_values = true)]
    pub(crate) pepper: String,
}
