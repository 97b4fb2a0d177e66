//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A gang scheduler for rented clusters: all starts of a gang leave together, or none does.
#[derive(Debug, Parser)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// Serve as a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Turn on what this file names; see deploy/features.toml. Without it nothing is turned on.
    #[arg(long, value_name = "FILE")]
    pub features: Option<PathBuf>,
    /// What to do instead of serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What to do instead of serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a settings file and say what is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
        /// A features file to check with it.
        #[arg(long, value_name = "FILE")]
        features: Option<PathBuf>,
    },
    /// Talk to a running controller's administration interface.
    Admin {
        /// Any controller's peer address, such as 10.0.0.1:8081.
        #[arg(long, value_name = "ADDRESS")]
        node: std::net::SocketAddrV4,
        /// What to ask or tell it.
        #[command(subcommand)]
        action: AdminAction,
    },
}

/// What operators can ask or tell a controller.
#[derive(Debug, Subcommand)]
pub enum AdminAction {
    /// Who leads, the machines, and the jobs with what each waits for.
    Status,
    /// Why one job's tasks don't run. Ask the leader.
    Job {
        /// The job's id.
        id: String,
    },
    /// How one machine stands, and why it gets no tasks. Ask the leader.
    Machine {
        /// The machine's name.
        name: String,
    },
    /// Counters and histograms.
    Metrics,
    /// The connectivity matrix, suppressed links and the last decisions on leadership.
    Links,
    /// The operators' settings with their version.
    Settings,
    /// Set the operators' settings: JSON with `version` and `settings`, as `settings` prints it.
    Set {
        /// The JSON, or a file that holds it after an @.
        json: String,
    },
    /// Give a machine no new tasks.
    Drain {
        /// The machine's name.
        machine: String,
    },
}
