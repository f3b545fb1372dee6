//! The `dogwoodway` binary: the serving roles (entry, agent, router) and the operator's commands.

mod agent;
mod cli;
mod clock;
mod config_follower;
mod entry;
mod logging;
mod metrics_server;
mod operator;
mod router;
mod settings;
mod shutdown;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::{Builder, Runtime};

use crate::cli::{Cli, Command};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let sink = match cli.command {
        Command::Router => logging::Sink::StandardOutput,
        _ => logging::Sink::StandardError,
    };
    if let Err(e) = logging::init(cli.log_format, cli.log_level, sink) {
        eprintln!("dogwoodway: cannot set up logging: {e}");
        return cli::EXIT_FAILURE;
    }
    match runtime(&cli.command) {
        Ok(runtime) => runtime.block_on(run(cli.command)),
        Err(e) => {
            eprintln!("dogwoodway: cannot start the async runtime: {e}");
            cli::EXIT_FAILURE
        }
    }
}

/// Builds the async runtime. A router gets only a small share of one core, where several worker
/// threads would add overhead without parallelism.
fn runtime(command: &Command) -> std::io::Result<Runtime> {
    match command {
        Command::Router => Builder::new_current_thread().enable_all().build(),
        _ => Builder::new_multi_thread().enable_all().build(),
    }
}

async fn run(command: Command) -> ExitCode {
    match command {
        Command::Entry(args) => entry::run(&args.settings).await,
        Command::Agent(args) => agent::run(&args.settings).await,
        Command::Router => router::run().await,
        Command::Publish(args) => operator::publish(&args).await,
        Command::Get(args) => operator::get(&args).await,
        Command::Audit(args) => operator::audit(&args).await,
        Command::Status(args) => operator::status(&args).await,
        Command::Check(args) => operator::check(&args),
        Command::HashKey(args) => operator::hash_key(&args),
    }
}
