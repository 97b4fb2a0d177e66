//! Fixtures in `tests/formats/`: text files, and files of bytes as hexadecimal digits.

use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("tests/formats").join(name)
}

/// The content of a text fixture.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// The bytes of a fixture of hexadecimal digits. Other characters are skipped.
pub fn bytes(name: &str) -> Vec<u8> {
    let digits: Vec<u8> = text(name).bytes().filter(u8::is_ascii_hexdigit).collect();
    let pairs = digits.chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// The bytes as hexadecimal digits, which make the message of a failed comparison readable.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Asserts that the fixture contains exactly these bytes.
pub fn assert_bytes(name: &str, actual: &[u8]) {
    assert_eq!(hex(&bytes(name)), hex(actual), "{name}");
}

/// Asserts that the fixture contains exactly this text.
pub fn assert_text(name: &str, actual: &str) {
    assert_eq!(text(name), actual, "{name}");
}
