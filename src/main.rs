//! The program: reads the command line, then hands over to the library.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use knotlanding::cli::{AdminAction, Cli, Command};
use knotlanding::config::Settings;
use knotlanding::features::Features;

/// Exit code for settings or arguments that can't be used.
const USAGE: u8 = 2;
/// Exit code for a failure while running.
const FAILURE: u8 = 1;
/// A controller that takes longer to answer an operator is taken not to.
const ADMIN_LIMIT: Duration = Duration::from_secs(10);
/// Largest answer shown: the status of 4,000 machines and 20,000 jobs has some 6 MB.
const ADMIN_ANSWER_MAX: usize = 64 * 1024 * 1024;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match (cli.command, cli.config) {
        (Some(Command::Check { file, features }), _) => check(&file, features.as_deref()),
        (Some(Command::Admin { node, action }), _) => admin(node, action),
        (None, Some(file)) => match load(&file, cli.features.as_deref()) {
            Ok((settings, features)) => serve(settings, features),
            Err(error) => fail(USAGE, &error),
        },
        (None, None) => fail(USAGE, "give --config FILE to serve, or see --help"),
    }
}

/// Reads the settings, and the features if a file is named.
fn load(settings: &Path, features: Option<&Path>) -> Result<(Settings, Features), String> {
    let settings = Settings::load(settings).map_err(|error| error.to_string())?;
    let features = match features {
        Some(file) => Features::load(file).map_err(|error| error.to_string())?,
        None => Features::default(),
    };
    Ok((settings, features))
}

fn check(file: &Path, features: Option<&Path>) -> ExitCode {
    match load(file, features) {
        Ok((settings, _)) => {
            println!("{}: fine, for {}", file.display(), settings.member);
            ExitCode::SUCCESS
        }
        Err(error) => fail(USAGE, &error),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("knotlanding: {message}");
    ExitCode::from(code)
}

fn serve(settings: Settings, features: Features) -> ExitCode {
    log_to_stderr();
    match actix::System::new().block_on(knotlanding::run::serve(settings, features)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILURE, &format!("cannot serve: {error}")),
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

fn admin(node: std::net::SocketAddrV4, action: AdminAction) -> ExitCode {
    actix::System::new().block_on(async move {
        let http = awc::Client::builder().timeout(ADMIN_LIMIT).finish();
        let url = |path: &str| format!("http://{node}/admin/{path}");
        let sent = match action {
            AdminAction::Status => http.get(url("status")).send().await,
            AdminAction::Job { id } => http.get(url(&format!("jobs/{id}"))).send().await,
            AdminAction::Machine { name } => {
                http.get(url(&format!("machines/{name}"))).send().await
            }
            AdminAction::Metrics => http.get(url("metrics")).send().await,
            AdminAction::Links => http.get(url("links")).send().await,
            AdminAction::Settings => http.get(url("settings")).send().await,
            AdminAction::Set { json } => {
                let body = match json.strip_prefix('@') {
                    Some(file) => match std::fs::read_to_string(file) {
                        Ok(body) => body,
                        Err(error) => return fail(USAGE, &format!("cannot read {file}: {error}")),
                    },
                    None => json,
                };
                http.put(url("settings")).send_body(body).await
            }
            AdminAction::Drain { machine } => {
                http.post(url(&format!("machines/{machine}/drain")))
                    .send()
                    .await
            }
        };
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(error) => return fail(FAILURE, &format!("{node} does not answer: {error}")),
        };
        let status = answer.status();
        let body = match answer.body().limit(ADMIN_ANSWER_MAX).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(error) => return fail(FAILURE, &format!("{node} broke off: {error}")),
        };
        if status.is_success() {
            println!("{body}");
            ExitCode::SUCCESS
        } else {
            fail(FAILURE, &format!("{node} refuses ({status}): {body}"))
        }
    })
}
