//! The order of the modules: each may use what stands before it, and nothing that stands behind it.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::{Path, PathBuf};

/// The modules of the library from the lowest to the highest. Those of one layer do not use each other.
const LAYERS: [&[&str]; 15] = [
    &["time"],
    &["model", "pending_reason", "rate_limit", "metrics"],
    &["config", "features", "cli"],
    &["wire", "timing", "policy", "admin_client"],
    &["http", "state_summary", "demand"],
    &["store"],
    &["leader"],
    &["forwarding", "cluster"],
    &["sockets", "capacity"],
    &["sched", "fleet"],
    &["service"],
    &["peer"],
    &["api"],
    &["actors"],
    &["run"],
];

/// A use of one module by another.
struct Use {
    from: String,
    to: String,
    place: String,
}

fn layer_of(module: &str) -> Option<usize> {
    LAYERS.iter().position(|layer| layer.contains(&module))
}

/// The modules named after `crate::` in a line, the list of a nested `use` included.
fn modules_named(line: &str) -> Vec<String> {
    let mut named = Vec::new();
    for part in line.split("crate::").skip(1) {
        let (list, nested) = match part.strip_prefix('{') {
            Some(list) => (list, true),
            None => (part, false),
        };
        for item in list
            .split([',', '}'])
            .take(if nested { usize::MAX } else { 1 })
        {
            let name: String = item
                .trim()
                .chars()
                .take_while(|c| c.is_ascii_lowercase() || *c == '_')
                .collect();
            if !name.is_empty() {
                named.push(name);
            }
        }
    }
    named
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

/// All uses in code. Comments may refer to any module, and unit tests may build on higher ones.
fn uses(root: &Path) -> Vec<Use> {
    let mut files = Vec::new();
    source_files(root, &mut files);
    files.sort();
    let mut uses = Vec::new();
    for file in files {
        let relative = file.strip_prefix(root).unwrap();
        let first = relative.components().next().unwrap();
        let module = Path::new(first.as_os_str()).with_extension("");
        let module = module.to_str().unwrap().to_owned();
        let is_test = relative.file_name().is_some_and(|name| name == "tests.rs");
        if is_test || module == "lib" || module == "main" {
            continue;
        }
        for (number, line) in std::fs::read_to_string(&file).unwrap().lines().enumerate() {
            let code = line.split("//").next().unwrap();
            for to in modules_named(code) {
                uses.push(Use {
                    from: module.clone(),
                    to,
                    place: format!("src/{}:{}: {}", relative.display(), number + 1, line.trim()),
                });
            }
        }
    }
    uses
}

#[test]
fn every_module_stands_in_a_layer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let library = std::fs::read_to_string(root.join("lib.rs")).unwrap();
    let declared = library.lines().filter_map(|line| {
        let name = line.strip_prefix("pub mod ")?;
        name.strip_suffix(';')
    });
    for module in declared {
        assert!(layer_of(module).is_some(), "{module} stands in no layer");
    }
}

#[test]
fn no_module_uses_one_of_a_higher_layer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let uses = uses(&root);
    assert!(uses.len() > 100, "the uses were found");
    let wrong = uses.iter().filter(|used| {
        let (from, to) = (layer_of(&used.from), layer_of(&used.to));
        used.from != used.to && from <= to
    });
    let wrong: Vec<&str> = wrong.map(|used| used.place.as_str()).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
