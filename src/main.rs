//! The `dogwoodway` binary: entry, agent and the operator's commands.

mod agent;
mod cli;
mod clock;
mod config_follower;
mod entry;
mod logging;
mod metrics_page;
mod operator;
mod settings;
mod shutdown;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Command};

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(e) = logging::init(cli.log_format, cli.log_level) {
        eprintln!("dogwoodway: logging could not be set up: {e}");
        return cli::EXIT_FAILURE;
    }
    match cli.command {
        Command::Entry(args) => entry::run(&args.settings).await,
        Command::Agent(args) => agent::run(&args.settings).await,
        Command::Publish(args) => operator::publish(&args).await,
        Command::Get(args) => operator::get(&args).await,
        Command::Audit(args) => operator::audit(&args).await,
        Command::Status(args) => operator::status(&args).await,
        Command::Check(args) => operator::check(&args),
        Command::HashKey(args) => operator::hash_key(&args),
    }
}
