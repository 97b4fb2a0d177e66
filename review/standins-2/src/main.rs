//! Runs one case of the review. Arguments: the case's name, the repository's root, the case's folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod cases;
mod deployment;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Longest run of a case; the processes are ended by then.
const TIME_MAX: Duration = Duration::from_secs(116);

/// How a case ended.
pub enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (case, root, folder) = (case.clone(), PathBuf::from(root), PathBuf::from(folder));
    let record = actix::System::new().block_on(async move {
        let mut lines = vec![format!("case {case}, trouble {trouble}")];
        let run = run(&case, &root, trouble, &mut lines);
        let outcome = tokio::time::timeout(TIME_MAX, run).await;
        let outcome = outcome.unwrap_or(Outcome::CouldNotRun("out of time".to_owned()));
        write_record(&folder, lines, &outcome);
        outcome
    });
    let (code, text) = match record {
        Outcome::Held(text) => (0, format!("held: {text}")),
        Outcome::Broken(text) => (1, format!("broken: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    println!("{text}");
    ExitCode::from(code)
}

async fn run(case: &str, root: &Path, trouble: bool, lines: &mut Vec<String>) -> Outcome {
    match case {
        "start-after-cancel" => cases::start_after_cancel(root, trouble, lines).await,
        "far-deadline" => cases::far_deadline(root, trouble, lines).await,
        "dropped-return" => cases::dropped_return(root, trouble, lines).await,
        _ => Outcome::CouldNotRun("unknown case".to_owned()),
    }
}

fn write_record(folder: &Path, mut lines: Vec<String>, outcome: &Outcome) {
    lines.push(match outcome {
        Outcome::Held(text) => format!("held: {text}"),
        Outcome::Broken(text) => format!("broken: {text}"),
        Outcome::CouldNotRun(text) => format!("could not run: {text}"),
    });
    lines.push(String::new());
    let _ = std::fs::write(folder.join("record.txt"), lines.join("\n"));
}
