use super::*;
use crate::config::{Peer, Settings};

/// Guards against a peer that is taken for up to date, or for outdated, by its response to a summary of an
/// earlier term: the numbers of the summaries begin again in each term.
#[actix_web::test]
async fn late_response_to_a_summary_of_an_earlier_term_is_ignored() {
    let text = include_str!("../../../../deploy/example.toml");
    let mut settings = Settings::parse(text, "a test").unwrap();
    settings.peers = vec![Peer {
        member: "knot-1".to_owned(),
        zone: String::new(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    }];
    let shared = Shared::new(settings);
    let mut publisher = SummaryPublisher::new(shared, Client::default());
    publisher.begin_term(Term(1));
    let sent_in_term_1 = publisher.peers[0].recipient.clone();
    publisher.begin_term(Term(2));
    let now = Instant::now();
    let number = 57;
    sent_in_term_1.borrow_mut().record_reply(number, true);
    assert!(!publisher.peers[0].needs_full(now));
    // The peer has responded to the first summary of term 2 that it lacks the state.
    publisher.peers[0]
        .recipient
        .borrow_mut()
        .record_reply(1, true);
    sent_in_term_1.borrow_mut().record_reply(number, false);
    assert!(publisher.peers[0].needs_full(now));
}
