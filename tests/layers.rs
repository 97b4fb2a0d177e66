//! The layers of the library's modules: a module may use only modules of lower layers.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::{Path, PathBuf};

/// The modules of the library from the lowest layer to the highest. Modules of one layer do not use each
/// other.
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

/// A reference to the module `to` in the code of the module `from`.
struct ModuleUse {
    from: String,
    to: String,
    location: String,
}

fn layer_of(module: &str) -> Option<usize> {
    LAYERS.iter().position(|layer| layer.contains(&module))
}

/// The modules that follow `crate::` in a line, including those in the list of a nested `use`.
fn referenced_modules(line: &str) -> Vec<String> {
    let mut modules = Vec::new();
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
                modules.push(name);
            }
        }
    }
    modules
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

/// All references in code. Comments may refer to any module, and unit tests may use higher layers.
fn module_uses(root: &Path) -> Vec<ModuleUse> {
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
            for to in referenced_modules(code) {
                uses.push(ModuleUse {
                    from: module.clone(),
                    to,
                    location: format!("src/{}:{}: {}", relative.display(), number + 1, line.trim()),
                });
            }
        }
    }
    uses
}

#[test]
fn every_module_is_assigned_to_a_layer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let library = std::fs::read_to_string(root.join("lib.rs")).unwrap();
    let declared = library.lines().filter_map(|line| {
        let name = line.strip_prefix("pub mod ")?;
        name.strip_suffix(';')
    });
    for module in declared {
        assert!(
            layer_of(module).is_some(),
            "module {module} is not assigned to a layer"
        );
    }
}

#[test]
fn no_module_uses_one_of_the_same_or_a_higher_layer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let uses = module_uses(&root);
    assert!(
        uses.len() > 100,
        "too few references found; the search may be broken"
    );
    let violations = uses.iter().filter(|module_use| {
        let (from, to) = (layer_of(&module_use.from), layer_of(&module_use.to));
        module_use.from != module_use.to && from <= to
    });
    let violations: Vec<&str> = violations
        .map(|module_use| module_use.location.as_str())
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
