//! Routing of calls, by the segments of the path and then by method.

use hyper::Method;

use crate::errors::CallError;

/// Maximum size of the body of a call, and so of a configuration, in bytes.
pub const MAX_BODY: usize = 4 << 20;

/// The endpoints of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// An operator puts a configuration.
    PutConfig,
    /// An operator reads the configuration.
    ReadConfig,
    /// An operator reads the status of the controller.
    Status,
    /// An operator reads the state of functions from the leader.
    Functions,
    /// An operator reads the state of the leader's duties.
    Duty,
    /// An operator lists the drains.
    Drains,
    /// An operator starts or undoes a drain.
    DrainOrder,
    /// An operator reads the state of migrations.
    Migrations,
    /// An operator's order about a migration.
    MigrationOrder,
    /// An agent opens its feed.
    Follow,
    /// Messages of an agent.
    Messages,
    /// A message for the local voter.
    Vote,
    /// Gossip of another controller.
    Gossip,
    /// Another controller fetches the chosen configuration.
    ChosenConfig,
    /// Reads the metrics.
    Metrics,
}

/// A segment of a path.
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

/// Returns the endpoint of a method and a path.
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
        metrics = { "GET", millpost_net::metrics::PATH, Ok(Endpoint::Metrics) },
        inner_node = { "GET", "/core", Ok(Endpoint::Status) },
        too_deep = { "GET", "/core/vote/x", Err(CallError::Unknown) },
        trailing_slash = { "GET", "/Config.Read/", Err(CallError::Unknown) },
        root = { "GET", "/", Err(CallError::Unknown) },
    )]
    fn calls_are_routed_by_path_and_method(method: &str, path: &str, expected: Result<Endpoint, CallError>) {
        assert_eq!(route(&method.parse().expect("a method"), path), expected);
    }
}
