//! Which call is meant: a tree of matchers, by segments of the path and then by method.

use hyper::Method;

use crate::errors::Kind;

/// The longest body of a call, and so the longest configuration, in bytes.
pub const LONGEST_BODY: usize = 4 << 20;

/// The calls that control takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// An operator puts a configuration.
    Replace,
    /// An operator reads the configuration.
    Read,
    /// An operator asks how things stand.
    Status,
    /// An operator asks the leader how functions stand.
    Functions,
    /// An operator asks how the leader's duty stands.
    Duty,
    /// An operator asks what is taken out for a while.
    Drains,
    /// An operator takes something out, or lets it back.
    Drain,
    /// An operator asks how moves stand.
    Moves,
    /// An operator's order about a move.
    Order,
    /// A porter wants to be fed.
    Follow,
    /// Notes of a porter.
    Mail,
    /// A message for the voter here.
    Vote,
    /// What another control machine knows.
    News,
    /// A configuration that is chosen, for another control machine.
    Chosen,
    /// Monitoring asks for figures.
    Metrics,
}

/// One segment of a path.
struct Node {
    segment: &'static str,
    methods: &'static [(&'static str, What)],
    below: &'static [Node],
}

const fn leaf(segment: &'static str, methods: &'static [(&'static str, What)]) -> Node {
    Node { segment, methods, below: &[] }
}

const TREE: &[Node] = &[
    leaf("Config.Replace", &[("POST", What::Replace)]),
    leaf("Config.Read", &[("GET", What::Read)]),
    leaf("follow", &[("POST", What::Follow)]),
    leaf("mail", &[("POST", What::Mail)]),
    leaf("metrics", &[("GET", What::Metrics)]),
    Node {
        segment: "core",
        methods: &[("GET", What::Status)],
        below: &[
            leaf("vote", &[("POST", What::Vote)]),
            leaf("news", &[("POST", What::News)]),
            leaf("chosen", &[("GET", What::Chosen)]),
            leaf("functions", &[("GET", What::Functions)]),
            leaf("duty", &[("GET", What::Duty)]),
            leaf("drains", &[("GET", What::Drains), ("POST", What::Drain)]),
            leaf("moves", &[("GET", What::Moves), ("POST", What::Order)]),
        ],
    },
];

/// The call that a method and a path name.
pub fn what(method: &Method, path: &str) -> Result<What, Kind> {
    let (mut level, mut found) = (TREE, None);
    for segment in path.strip_prefix('/').unwrap_or(path).split('/') {
        let node = level.iter().find(|n| n.segment == segment).ok_or(Kind::Unknown)?;
        (level, found) = (node.below, Some(node));
    }
    let node = found.filter(|n| !n.methods.is_empty()).ok_or(Kind::Unknown)?;
    node.methods.iter().find(|(m, _)| *m == method.as_str()).map(|(_, what)| *what).ok_or(Kind::Method)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[yare::parameterized(
        replace = { "POST", "/Config.Replace", Ok(What::Replace) },
        wrong_method = { "GET", "/Config.Replace", Err(Kind::Method) },
        read = { "GET", "/Config.Read", Ok(What::Read) },
        below = { "POST", "/core/vote", Ok(What::Vote) },
        figures = { "GET", millpost_net::metrics::PATH, Ok(What::Metrics) },
        between = { "GET", "/core", Ok(What::Status) },
        too_deep = { "GET", "/core/vote/x", Err(Kind::Unknown) },
        trailing = { "GET", "/Config.Read/", Err(Kind::Unknown) },
        nothing = { "GET", "/", Err(Kind::Unknown) },
    )]
    fn calls_are_found_by_path_and_method(method: &str, path: &str, expected: Result<What, Kind>) {
        assert_eq!(what(&method.parse().expect("a method"), path), expected);
    }
}
