//! Checks that the sources do not use the withdrawn words listed in CONTRIBUTING.md.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::{Path, PathBuf};

const HEADING: &str = "## Withdrawn words";

/// The words in the indented block below the heading, separated by commas or line breaks.
fn withdrawn_words(document: &str) -> Vec<String> {
    let (_, section) = document
        .split_once(HEADING)
        .expect("CONTRIBUTING.md has no heading for the withdrawn words");
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

/// The line without its string literals, which contain names of the protocol, of records and of JSON fields.
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

/// Whether the text contains the word, and not merely as a part of a longer word.
fn contains_word(text: &str, word: &str) -> bool {
    let is_word_character = |c: char| c.is_alphanumeric() || c == '_';
    text.match_indices(word).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + word.len()..].chars().next();
        !before.is_some_and(is_word_character) && !after.is_some_and(is_word_character)
    })
}

#[test]
fn withdrawn_words_are_not_used_in_code_and_comments() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let document = std::fs::read_to_string(root.join("CONTRIBUTING.md")).unwrap();
    let words = withdrawn_words(&document);
    assert!(
        words.len() > 10,
        "the list of withdrawn words has too few entries"
    );
    let mut files = Vec::new();
    for folder in ["src", "crates/links/src", "crates/testbed/src"] {
        source_files(&root.join(folder), &mut files);
    }
    files.sort();
    let mut occurrences = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        for (number, line) in text.lines().enumerate() {
            let code = without_strings(line);
            for word in words.iter().filter(|word| contains_word(&code, word)) {
                let relative = file.strip_prefix(root).unwrap().display();
                occurrences.push(format!(
                    "{relative}:{}: {word}: {}",
                    number + 1,
                    line.trim()
                ));
            }
        }
    }
    assert!(occurrences.is_empty(), "{}", occurrences.join("\n"));
}

#[test]
fn search_matches_whole_words_outside_of_strings() {
    assert!(contains_word("// gives up the lead.", "the lead"));
    assert!(!contains_word("the leader", "the lead"));
    assert!(!contains_word("in_vain_too", "in_vain"));
    assert_eq!(
        without_strings(r#"rename = "the \" lead", x"#),
        "rename = , x"
    );
}
