//! Tests of [`super`].

use super::*;

fn parse(text: &str) -> Result<Features, FeaturesError> {
    Features::parse(text, "features.toml")
}

#[test]
fn subsystem_is_on_only_if_its_table_is_present_and_not_disabled() {
    assert_eq!(parse("").unwrap().links, None);
    assert_eq!(
        parse("[links]").unwrap().links,
        Some(LinkFeatures::default())
    );
    assert_eq!(parse("[links]\nenabled = false").unwrap().links, None);
    let text = "[links]\ndamping = false\ndetector_phi = 3\nhandovers_max = 1";
    let links = parse(text).unwrap().links.unwrap();
    assert!(links.placement_gate && !links.damping);
    assert_eq!((links.detector_phi, links.handovers_max), (3.0, 1));
}

/// An operator must be able to correct the file from the error message alone.
#[test]
fn errors_are_one_line_with_the_file_field_value_and_allowed_values() {
    let cases = [
        ("links = 3", "field `links` is 3; allowed is a table"),
        ("[lanks]", "unknown field `lanks`; allowed are links"),
        (
            "[links]\ngate = true",
            "unknown field `links.gate`; allowed are enabled, placement_gate, damping, \
             leadership, detector_phi, handovers_max",
        ),
        (
            "[links]\ndamping = \"yes\"",
            "field `links.damping` is \"yes\"; allowed is true or false",
        ),
        (
            "[links]\ndetector_phi = 0.5",
            "field `links.detector_phi` is 0.5; allowed is a number from 1 to 20",
        ),
        (
            "[links]\ndetector_phi = nan",
            "field `links.detector_phi` is nan; allowed is a number from 1 to 20",
        ),
        (
            "[links]\nhandovers_max = -1",
            "field `links.handovers_max` is -1; allowed is a whole number from 1 to 20",
        ),
    ];
    for (text, expected) in cases {
        let error = parse(text).unwrap_err().to_string();
        assert_eq!(error, format!("features file features.toml: {expected}"));
    }
    let error = parse("[links").unwrap_err().to_string();
    assert!(error.starts_with("features file features.toml is not valid TOML: "));
    assert_eq!(error.lines().count(), 1);
    let error = Features::load(Path::new("no/such.toml")).unwrap_err();
    assert!(error
        .to_string()
        .starts_with("cannot read features file no/such.toml: "));
}
