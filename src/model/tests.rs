//! Tests of [`super`].

use super::*;

/// Agents compare tokens by their numeric value alone, so the tokens of two terms must never
/// overlap, however often a token is raised.
#[test]
fn tokens_of_a_later_term_exceed_all_tokens_of_an_earlier_term() {
    let mut last = FencingToken::first(Term(3));
    for _ in 0..5 {
        last = last.raised().unwrap();
    }
    assert_eq!(last.term(), Term(3));
    assert!(last > FencingToken::first(Term(3)) && last < FencingToken::first(Term(4)));
    let end = FencingToken(FencingToken::first(Term(4)).0 - 1);
    assert_eq!(
        end.raised(),
        None,
        "the last token of a term cannot be raised into the next term"
    );
}
