//! Words that the project has withdrawn do not come back: the list stands in CONTRIBUTING.md.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::{Path, PathBuf};

const HEADING: &str = "## Withdrawn words";

/// The words of the list: one a line in the block below its heading.
fn withdrawn_words(page: &str) -> Vec<String> {
    let (_, section) = page.split_once(HEADING).expect("the list has a heading");
    let block = section.lines().skip_while(|line| !line.starts_with("    "));
    let words = block.take_while(|line| line.starts_with("    "));
    let words = words.flat_map(|line| line.split(','));
    let words = words.map(|word| word.trim().to_owned());
    words.filter(|word| !word.is_empty()).collect()
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// The line without its string literals: these hold names of the protocol, of records and of JSON.
fn without_strings(line: &str) -> String {
    let mut code = String::new();
    let mut in_string = false;
    let mut escaped = false;
    for character in line.chars() {
        match character {
            '"' if !escaped => in_string = !in_string,
            _ if !in_string => code.push(character),
            _ => {}
        }
        escaped = in_string && character == '\\' && !escaped;
    }
    code
}

/// Whether the text holds the word with nothing of a longer word around it.
fn holds_word(text: &str, word: &str) -> bool {
    let part_of_word = |c: char| c.is_alphanumeric() || c == '_';
    text.match_indices(word).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + word.len()..].chars().next();
        !before.is_some_and(part_of_word) && !after.is_some_and(part_of_word)
    })
}

#[test]
fn withdrawn_words_are_not_used_in_code_and_comments() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("CONTRIBUTING.md")).unwrap();
    let words = withdrawn_words(&page);
    assert!(words.len() > 10, "the list was found");
    let mut files = Vec::new();
    for folder in ["src", "crates/links/src", "crates/testbed/src"] {
        source_files(&root.join(folder), &mut files);
    }
    files.sort();
    let mut found = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        for (number, line) in text.lines().enumerate() {
            let code = without_strings(line);
            for word in words.iter().filter(|word| holds_word(&code, word)) {
                let shown = file.strip_prefix(root).unwrap().display();
                found.push(format!("{shown}:{}: {word}: {}", number + 1, line.trim()));
            }
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn words_are_found_whole_and_outside_of_strings() {
    assert!(holds_word("// gives up the lead.", "the lead"));
    assert!(!holds_word("the leader", "the lead"));
    assert!(!holds_word("in_vain_too", "in_vain"));
    assert_eq!(
        without_strings(r#"rename = "the \" lead", x"#),
        "rename = , x"
    );
}
