//! The executable: parses the command line and calls the library.

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

/// Exit code of the program after a failure.
#[derive(Debug, Clone, Copy)]
enum FailureCode {
    /// Serving or an administration request failed.
    Runtime = 1,
    /// The arguments, the settings file or the features file are invalid.
    Usage = 2,
}

impl From<FailureCode> for ExitCode {
    fn from(code: FailureCode) -> Self {
        Self::from(code as u8)
    }
}

/// Why a file named on the command line cannot be used.
#[derive(Debug, Error)]
enum LoadError {
    /// The settings file cannot be used.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// The features file cannot be used.
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
            "missing argument --config FILE, which is required to serve; see --help",
        ),
    }
}

/// Reads the settings file, and the features file if one is named.
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
    init_logging();
    match actix::System::new().block_on(knotlanding::run::serve(settings, features)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(
            FailureCode::Runtime,
            format_args!("failed to serve: {error}"),
        ),
    }
}

/// Logs to standard error at the level in `LOG_LEVEL`; only errors by default.
fn init_logging() {
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

fn admin(controller: SocketAddrV4, action: AdminAction) -> ExitCode {
    match actix::System::new().block_on(admin_client::execute(controller, action)) {
        Ok(body) => {
            println!("{body}");
            ExitCode::SUCCESS
        }
        Err(error @ AdminClientError::UnreadableFile { .. }) => fail(FailureCode::Usage, error),
        Err(error) => fail(FailureCode::Runtime, error),
    }
}
