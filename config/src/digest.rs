//! The digest of a configuration: the FNV-1a hashes of its parts, mixed and summed, so that the order of the
//! parts does not matter.
//!
//! Invariant: the hash of a part is mixed before it is summed. FNV-1a alone is nearly linear: the same change
//! made to either of two routes changed their hashes by the same amount, so that two different configurations
//! had the same digest.

use crate::{Config, Limits, Route, Service, Traffic};

/// A 64-bit FNV-1a hasher.
struct Fnv(u64);

impl Fnv {
    /// Starts with the kind of the part, so that different kinds of parts give different hashes.
    fn of(kind: u64) -> Self {
        Self(0xcbf2_9ce4_8422_2325).number(kind)
    }

    fn bytes(self, bytes: &[u8]) -> Self {
        Self(bytes.iter().fold(self.0, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)))
    }

    fn number(self, number: u64) -> Self {
        self.bytes(&number.to_le_bytes())
    }

    fn text(self, text: &str) -> Self {
        self.number(text.len() as u64).bytes(text.as_bytes())
    }

    /// Returns the hash with every bit depending on the whole input (the finalizer of SplitMix64).
    fn mixed(self) -> u64 {
        let hash = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    }
}

/// Returns the digest of the whole configuration.
pub(crate) fn digest(config: &Config) -> u64 {
    let routes = config.routes.iter().map(route);
    let services = config.services.iter().map(service);
    routes.chain(services).fold(revision_and_limits(config.revision, &config.limits), u64::wrapping_add)
}

// Each function destructures its part, so that the compiler reports a new field that is missing here.

fn route(route: &Route) -> u64 {
    let Route {
        name,
        host,
        path_prefix,
        traffic,
        deadline_ms,
        target_latency_ms,
        priority,
        max_tries,
        shares,
    } = route;
    let fnv = Fnv::of(1).text(name).text(host).text(path_prefix);
    let fnv = fnv.number(u64::from(*traffic == Traffic::Mutating)).number(*deadline_ms);
    let fnv = fnv.number(*target_latency_ms).number(u64::from(*priority)).number(u64::from(*max_tries));
    shares.iter().fold(fnv, |fnv, (service, weight)| fnv.text(service).number(u64::from(*weight))).mixed()
}

fn service(service: &Service) -> u64 {
    let Service { name, health_path, max_conns, protocol, tls, memory_mb, boot_ms, concurrency } = service;
    let fnv = Fnv::of(2).text(name).number(u64::from(health_path.is_some()));
    let fnv = fnv.text(health_path.as_deref().unwrap_or_default()).number(u64::from(*max_conns));
    let fnv = fnv.text(protocol).number(u64::from(*tls)).number(*memory_mb).number(*boot_ms);
    fnv.number(u64::from(*concurrency)).mixed()
}

fn revision_and_limits(revision: u64, limits: &Limits) -> u64 {
    let Limits { max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms } = *limits;
    let fnv = Fnv::of(3).number(revision).number(max_header_bytes).number(max_body_bytes);
    fnv.number(header_timeout_ms).number(idle_timeout_ms).mixed()
}
