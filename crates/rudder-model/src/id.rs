//! Type aliases for ids, and the two hashes the product uses.

use std::sync::Arc;

use sha2::{Digest as _, Sha256};

/// Name of one process of the system, from its settings.
pub type InstanceId = Arc<str>;
/// Name of one site.
pub type HallId = Arc<str>;
/// Name of a region: halls between which data may move freely.
pub type RegionId = Arc<str>;
/// One life of a model engine or plain service replica: its name, and where it tells its start that too. All that is known
/// of a life is kept under it, see [`life_id`].
pub type EndpointId = Arc<str>;
/// Time of an endpoint's start, by its own clock, in milliseconds since the Unix epoch.
pub type Born = u64;
/// Name of a class of requests.
pub type ClassId = Arc<str>;
/// Name of a customer.
pub type OrgId = Arc<str>;
/// Name of a model, or of a plain service with the prefix [`SERVICE_PREFIX`].
pub type ModelId = Arc<str>;
/// One request: the start number of the instance in the upper half, a counter in the lower.
pub type RequestId = u128;
/// Number of one start of a process; differs between any two starts of the same instance.
pub type Start = u64;
/// Short form of an endpoint's name, where many are told often. Two of 12,000 endpoints share one with a
/// chance of 2 in 100; they then share their figures, and nothing else rests on it.
pub type EndpointTag = u32;
/// Short form of an organisation's name, where many are told often. Two of 47,000 organisations share one with a chance of
/// 1 in 4; they then share one fair share, and nothing else rests on it.
pub type OrgTag = u32;
/// Short form of a service's name. Two services that share one share their figures.
pub type ServiceTag = u32;
/// Short form of a request's content, to tell that a request comes again under another id. Two of 10,000 contents share one
/// with a chance of 3 in a million million.
pub type ContentTag = u64;
/// Short form of a place: a host and a path prefix.
pub type PlaceTag = u64;
/// Short form of a service of the route at a place. Two of 10,000 share one with a chance of 3 in a million million.
pub type ShareTag = u64;
/// SHA-256 of a key or a request body.
pub type Digest = [u8; 32];

/// Marks the name of a plain service where models and services share a name space.
pub const SERVICE_PREFIX: &str = "service/";

/// Maximum number of path prefixes that are told apart.
const MAX_PLACES: usize = 16;

/// Builds the id of the `count`-th request of a process start.
pub fn request_id(start: Start, count: u64) -> RequestId {
    (RequestId::from(start) << 64) | RequestId::from(count)
}

/// Returns the process start a request id belongs to.
pub fn start_of(id: RequestId) -> Start {
    (id >> 64) as Start
}

/// SHA-256 of `bytes`, for keys at rest and for telling request bodies apart.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Lower-case hexadecimal form of a digest, as it stands in configuration files.
pub fn hex(digest: &Digest) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(digest.len() * 2);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Rendezvous weight of `node` for `key`: the live node with the largest weight owns the key.
pub fn rendezvous(key: &str, node: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Hash of a node's name, for [`rendezvous_key`].
pub fn node_key(node: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(node.as_bytes())
}

/// Hash of a number, for [`rendezvous_key`]: numbers in a row would give related weights.
pub fn number_key(number: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes())
}

/// Rendezvous weight of a node for a key where both are hashes: as [`rendezvous`], for choices among thousands of nodes
/// whose names are hashed once. The mixing is that of `SplitMix64`, a third of the time of a hash of the bytes.
pub fn rendezvous_key(key: u64, node: u64) -> u64 {
    let mixed = (key ^ node).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 30)
}

/// The short form of an endpoint's name.
pub fn endpoint_tag(endpoint: &str) -> EndpointTag {
    xxhash_rust::xxh3::xxh3_64(endpoint.as_bytes()) as EndpointTag
}

/// The short form of the id of the attempt that began a stream.
pub fn stream_tag(attempt: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())
}

/// The short form of an organisation's name.
pub fn org_tag(organisation: &str) -> OrgTag {
    xxhash_rust::xxh3::xxh3_64(organisation.as_bytes()) as OrgTag
}

/// The short form of a service's name.
pub fn service_tag(service: &str) -> ServiceTag {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes()) as ServiceTag
}

/// The short forms of the places that begin a path, shortest first: its host, and the prefixes that end with a slash. Of
/// these only the first [`MAX_PLACES`] count, so that a long path is no burden.
pub fn place_tags<'a>(host: &'a str, path: &'a str) -> impl Iterator<Item = PlaceTag> + 'a {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&(host.len() as u64).to_le_bytes());
    let segments = path.split_inclusive('/').filter(|segment| segment.ends_with('/')).take(MAX_PLACES);
    std::iter::once(host).chain(segments).map(move |part| {
        hasher.update(part.as_bytes());
        hasher.digest()
    })
}

/// The short form of a service of the route at a place.
pub fn share_tag(place: PlaceTag, service: &str) -> ShareTag {
    xxhash_rust::xxh3::xxh3_64_with_seed(service.as_bytes(), place)
}

/// The short form of what `caller` asks for. Each field is hashed with its length, so that none runs into the next.
pub fn content_tag(caller: &str, method: &str, host: &str, target: &str, body: &[u8]) -> ContentTag {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for field in [caller.as_bytes(), method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// The short form of a part of a prompt for `model`.
pub fn part_tag(model: &str, part: u64) -> ContentTag {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&part.to_le_bytes());
    hasher.update(model.as_bytes());
    hasher.digest()
}

/// Stands between the name and the start in the id of a life.
const LIFE_MARK: char = '+';

/// The id of the life of endpoint `name` that began at `born`; the name alone where the endpoint does not tell its start.
pub fn life_id(name: &str, born: Option<Born>) -> EndpointId {
    born.map_or_else(|| name.into(), |born| format!("{name}{LIFE_MARK}{born}").into())
}

/// The name of the endpoint whose life, begun at `born`, is `life`.
pub fn name_of(life: &str, born: Option<Born>) -> &str {
    let marked = born.and_then(|_| life.rsplit_once(LIFE_MARK));
    marked.map_or(life, |(name, _)| name)
}
