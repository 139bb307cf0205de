//! Which call is meant: a tree of matchers, by segments of the path and then by method.

use hyper::Method;

use crate::errors::CallError;

/// The longest body of a call, and so the longest configuration, in bytes.
pub const MAX_BODY: usize = 4 << 20;

/// The calls that control takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// An operator puts a configuration.
    PutConfig,
    /// An operator reads the configuration.
    ReadConfig,
    /// An operator asks how things stand.
    Status,
    /// An operator asks the leader how functions stand.
    Functions,
    /// An operator asks how the leader's duty stands.
    Duty,
    /// An operator asks what is taken out for a while.
    Drains,
    /// An operator takes something out, or lets it back.
    DrainOrder,
    /// An operator asks how moves stand.
    Migrations,
    /// An operator's order about a move.
    MigrationOrder,
    /// A porter wants to be fed.
    Follow,
    /// Notes of a porter.
    Messages,
    /// A message for the voter here.
    Vote,
    /// Endpoint another control machine knows.
    Gossip,
    /// A configuration that is chosen, for another control machine.
    ChosenConfig,
    /// Monitoring asks for figures.
    Metrics,
}

/// One segment of a path.
struct Node {
    segment: &'static str,
    methods: &'static [(&'static str, Endpoint)],
    children: &'static [Node],
}

const fn leaf(segment: &'static str, methods: &'static [(&'static str, Endpoint)]) -> Node {
    Node { segment, methods, children: &[] }
}

const ROUTES: &[Node] = &[
    leaf("Config.Replace", &[("POST", Endpoint::PutConfig)]),
    leaf("Config.Read", &[("GET", Endpoint::ReadConfig)]),
    leaf("follow", &[("POST", Endpoint::Follow)]),
    leaf("mail", &[("POST", Endpoint::Messages)]),
    leaf("metrics", &[("GET", Endpoint::Metrics)]),
    Node {
        segment: "core",
        methods: &[("GET", Endpoint::Status)],
        children: &[
            leaf("vote", &[("POST", Endpoint::Vote)]),
            leaf("news", &[("POST", Endpoint::Gossip)]),
            leaf("chosen", &[("GET", Endpoint::ChosenConfig)]),
            leaf("functions", &[("GET", Endpoint::Functions)]),
            leaf("duty", &[("GET", Endpoint::Duty)]),
            leaf("drains", &[("GET", Endpoint::Drains), ("POST", Endpoint::DrainOrder)]),
            leaf("moves", &[("GET", Endpoint::Migrations), ("POST", Endpoint::MigrationOrder)]),
        ],
    },
];

/// The call that a method and a path name.
pub fn route(method: &Method, path: &str) -> Result<Endpoint, CallError> {
    let (mut level, mut found) = (ROUTES, None);
    for segment in path.strip_prefix('/').unwrap_or(path).split('/') {
        let node = level.iter().find(|n| n.segment == segment).ok_or(CallError::Unknown)?;
        (level, found) = (node.children, Some(node));
    }
    let node = found.filter(|n| !n.methods.is_empty()).ok_or(CallError::Unknown)?;
    node.methods
        .iter()
        .find(|(m, _)| *m == method.as_str())
        .map(|(_, endpoint)| *endpoint)
        .ok_or(CallError::Method)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[yare::parameterized(
        replace = { "POST", "/Config.Replace", Ok(Endpoint::PutConfig) },
        wrong_method = { "GET", "/Config.Replace", Err(CallError::Method) },
        read = { "GET", "/Config.Read", Ok(Endpoint::ReadConfig) },
        children = { "POST", "/core/vote", Ok(Endpoint::Vote) },
        figures = { "GET", millpost_net::metrics::PATH, Ok(Endpoint::Metrics) },
        between = { "GET", "/core", Ok(Endpoint::Status) },
        too_deep = { "GET", "/core/vote/x", Err(CallError::Unknown) },
        trailing = { "GET", "/Config.Read/", Err(CallError::Unknown) },
        nothing = { "GET", "/", Err(CallError::Unknown) },
    )]
    fn calls_are_found_by_path_and_method(method: &str, path: &str, expected: Result<Endpoint, CallError>) {
        assert_eq!(route(&method.parse().expect("a method"), path), expected);
    }
}
