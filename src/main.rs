//! The program: reads the command line, then hands over to the library.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use knotlanding::admin_client::{self, AdminClientError};
use knotlanding::cli::{AdminAction, Cli, Command};
use knotlanding::config::{ConfigError, Settings};
use knotlanding::features::{Features, FeaturesError};
use thiserror::Error;

/// How the program ends when it fails.
#[derive(Debug, Clone, Copy)]
enum FailureCode {
    /// A failure while running.
    Runtime = 1,
    /// Settings or arguments that can't be used.
    Usage = 2,
}

impl From<FailureCode> for ExitCode {
    fn from(code: FailureCode) -> Self {
        Self::from(code as u8)
    }
}

/// Why the files named on the command line can't be used.
#[derive(Debug, Error)]
enum LoadError {
    /// The settings file.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// The features file.
    #[error(transparent)]
    Features(#[from] FeaturesError),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match (cli.command, cli.config) {
        (Some(Command::Check { file, features }), _) => check(&file, features.as_deref()),
        (Some(Command::Admin { node, action }), _) => admin(node, action),
        (None, Some(file)) => match load(&file, cli.features.as_deref()) {
            Ok((settings, features)) => serve(settings, features),
            Err(error) => fail(FailureCode::Usage, error),
        },
        (None, None) => fail(
            FailureCode::Usage,
            "give --config FILE to serve, or see --help",
        ),
    }
}

/// Reads the settings, and the features if a file is named.
fn load(settings: &Path, features: Option<&Path>) -> Result<(Settings, Features), LoadError> {
    let settings = Settings::load(settings)?;
    let features = features.map(Features::load).transpose()?;
    Ok((settings, features.unwrap_or_default()))
}

fn check(file: &Path, features: Option<&Path>) -> ExitCode {
    match load(file, features) {
        Ok((settings, _)) => {
            println!("{}: fine, for {}", file.display(), settings.member);
            ExitCode::SUCCESS
        }
        Err(error) => fail(FailureCode::Usage, error),
    }
}

fn fail(code: FailureCode, message: impl Display) -> ExitCode {
    eprintln!("knotlanding: {message}");
    code.into()
}

fn serve(settings: Settings, features: Features) -> ExitCode {
    log_to_stderr();
    match actix::System::new().block_on(knotlanding::run::serve(settings, features)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FailureCode::Runtime, format_args!("cannot serve: {error}")),
    }
}

fn log_to_stderr() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn admin(node: SocketAddrV4, action: AdminAction) -> ExitCode {
    match actix::System::new().block_on(admin_client::execute(node, action)) {
        Ok(body) => {
            println!("{body}");
            ExitCode::SUCCESS
        }
        Err(error @ AdminClientError::UnreadableFile { .. }) => fail(FailureCode::Usage, error),
        Err(error) => fail(FailureCode::Runtime, error),
    }
}
