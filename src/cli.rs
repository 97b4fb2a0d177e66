//! The command line's arguments and subcommands.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A gang scheduler for rented clusters: starts all tasks of a gang together, or none.
#[derive(Debug, Parser)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// Serve as a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Enable the optional subsystems named in this file; see deploy/features.toml. Default: none.
    #[arg(long, value_name = "FILE")]
    pub features: Option<PathBuf>,
    /// The command to run instead of serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands that run instead of serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a settings file and print the first error.
    Check {
        /// The settings file.
        file: PathBuf,
        /// A features file to validate as well.
        #[arg(long, value_name = "FILE")]
        features: Option<PathBuf>,
    },
    /// Send a request to the administration interface of a running controller.
    Admin {
        /// The peer address of any controller, such as 10.0.0.1:8081.
        #[arg(long, value_name = "ADDRESS")]
        node: std::net::SocketAddrV4,
        /// The request to send.
        #[command(subcommand)]
        action: AdminAction,
    },
}

/// Requests to the administration interface.
#[derive(Debug, Subcommand)]
pub enum AdminAction {
    /// Show the leader, the machines, and the jobs with the reason why each is pending.
    Status,
    /// Show why tasks of one job are pending; only the leader has this state.
    Job {
        /// The job's id.
        id: String,
    },
    /// Show the state of one machine, and why no tasks are placed on it; only the leader has this state.
    Machine {
        /// The machine's name.
        name: String,
    },
    /// Show counters and histograms of the controller.
    Metrics,
    /// Show the connectivity matrix, suppressed links and the latest decisions on leadership.
    Links,
    /// Show the operators' settings with their version.
    Settings,
    /// Replace the operators' settings: JSON with `version` and `settings`, as printed by `settings`.
    Set {
        /// The JSON, or @ followed by the path of a file that contains it.
        json: String,
    },
    /// Place no new tasks on a machine.
    Drain {
        /// The machine's name.
        machine: String,
    },
}
