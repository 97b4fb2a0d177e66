//! What the nodes tell each other, as `bincode` over HTTP on `peer_bind`. Operators reach
//! [`crate::api::admin`] on the same address.

use std::time::Instant;

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::model::{JobId, MachineId, Term};
use crate::service::Shared;

/// Path of the digest.
pub const DIGEST: &str = "/peer/digest";
/// Content type between the nodes.
pub const BINCODE: &str = "application/x-bincode";
/// Largest digest taken: some ten thousand jobs.
pub const DIGEST_LIMIT: usize = 512 * 1024;

/// What a leader tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
    /// Completed and running tasks of the jobs under way, for display.
    pub counts: Vec<(JobId, u32, u32)>,
    /// Images the machines have fetched. A new leader can't learn them from reports; they are
    /// a hint for placement, and nothing that must be right hangs on them.
    pub images: Vec<(MachineId, Images)>,
}

/// Images with their sizes in GB, most recently used last.
pub type Images = Vec<(String, f64)>;

/// Encodes for a peer.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()
}

/// Decodes from a peer; never more than the body has.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<DIGEST_LIMIT>();
    let (value, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(value)
}

/// Takes a leader's digest.
pub async fn digest(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(digest) = decode::<Digest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let known = shared.settings.known.iter();
    if !known.clone().any(|peer| peer.member == digest.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.role.lock().hears(digest.term, &digest.member);
    *shared.peer_contact.lock() = Some(Instant::now());
    let counts = digest.counts.into_iter();
    *shared.counts.lock() = counts.map(|(id, d, r)| (id, (d, r))).collect();
    *shared.images.lock() = digest.images.into_iter().collect();
    HttpResponse::NoContent().finish()
}

/// The routes between nodes.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::resource(DIGEST)
            .app_data(web::PayloadConfig::new(DIGEST_LIMIT))
            .route(web::post().to(digest)),
    );
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_digest_arrives_as_it_was_sent_and_rubbish_does_not() {
        let digest = Digest {
            term: Term(3),
            member: "knot-1".to_owned(),
            counts: JobId::parse("wk-000001")
                .map(|id| (id, 2, 5))
                .into_iter()
                .collect(),
            images: vec![(MachineId("m-1".into()), vec![("img".to_owned(), 2.5)])],
        };
        let bytes = encode(&digest).unwrap();
        assert_eq!(decode::<Digest>(&bytes), Some(digest));
        assert_eq!(decode::<Digest>(&bytes[..bytes.len() - 1]), None);
        assert_eq!(decode::<Digest>(&[0xff; 64]), None);
    }
}
