//! The command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Exit code of a command that failed.
pub(crate) const EXIT_FAILURE: ExitCode = ExitCode::FAILURE;

/// Routes language-model traffic with long shared prompts.
#[derive(Debug, Parser)]
#[command(name = "dogwoodway", version, about)]
pub(crate) struct Cli {
    /// Form of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value = "json")]
    pub(crate) log_format: LogFormat,
    /// Least severe level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Lines for people.
    Text,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve callers on an entry VM.
    Entry(RoleArgs),
    /// Stand beside a backend server.
    Agent(RoleArgs),
    /// Publish a configuration change and wait for the verdict.
    Publish(PublishArgs),
    /// Print the configuration in force.
    Get(LogArgs),
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

/// Where the platform's log is.
#[derive(Args, Debug)]
pub(crate) struct LogArgs {
    /// Base URL of the platform's log.
    #[arg(long, env = "DOGWOODWAY_LOG_URL")]
    pub(crate) log_url: String,
}

/// Arguments of `publish`.
#[derive(Args, Debug)]
pub(crate) struct PublishArgs {
    #[command(flatten)]
    pub(crate) log: LogArgs,
    /// File of edits, in YAML.
    #[arg(long, short = 'f')]
    pub(crate) file: PathBuf,
    /// Author recorded in the audit trail.
    #[arg(long, env = "USER")]
    pub(crate) author: String,
}

/// Arguments of `hash-key`.
#[derive(Args, Debug)]
pub(crate) struct HashKeyArgs {
    /// Secret of the deployment, as in the entries' settings.
    #[arg(long, env = "DOGWOODWAY_KEY_PEPPER", hide_env_values = true)]
    pub(crate) pepper: String,
}
