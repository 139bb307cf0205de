//! Finds the route of a request: by host, then by the longest matching path prefix.

use std::borrow::Cow;
use std::collections::HashMap;

use compact_str::CompactString;

use crate::{Config, Route};

/// The routes of a configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<CompactString, Vec<Entry>>,
}

/// A route in the list of its host, which is sorted by prefix.
#[derive(Debug, Clone, Copy)]
struct Entry {
    route: usize,
    /// The index of the longest other prefix of the host that is a prefix of this one. A prefix that matches
    /// a path but is not the last one sorted up to that path is also a prefix of the last one.
    shorter: Option<usize>,
}

impl RouteTable {
    /// Builds the table of all routes of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let routes = config.routes.clone();
        let mut hosts: HashMap<CompactString, Vec<Entry>> = HashMap::new();
        let mut order: Vec<usize> = (0..routes.len()).collect();
        order.sort_by_key(|route| &routes[*route].path_prefix);
        for route in order {
            let entries = hosts.entry(host_key(&routes[route].host).into()).or_default();
            let prefix = &routes[route].path_prefix;
            let shorter = find_prefix(&routes, entries, entries.len().checked_sub(1), prefix);
            entries.push(Entry { route, shorter });
        }
        Self { routes, hosts }
    }

    /// Returns the route for a `Host` header, with or without a port, and a request target, with or without a
    /// query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.position(host, path).map(|route| &self.routes[route])
    }

    /// Returns the index of that route in [`RouteTable::routes`].
    #[must_use]
    pub fn position(&self, host: &str, path: &str) -> Option<usize> {
        let entries = self.hosts.get(&*host_key(host))?;
        let path = path.find(['?', '#']).map_or(path, |end| &path[..end]);
        let after = entries.partition_point(|entry| self.routes[entry.route].path_prefix.as_str() <= path);
        let found = find_prefix(&self.routes, entries, after.checked_sub(1), path)?;
        Some(entries[found].route)
    }

    /// Returns the routes in the order of the configuration.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// Returns the first entry whose prefix matches the path, from an entry on to shorter prefixes.
fn find_prefix(routes: &[Route], entries: &[Entry], mut from: Option<usize>, path: &str) -> Option<usize> {
    while let Some(at) = from {
        if path.starts_with(routes[entries[at].route].path_prefix.as_str()) {
            return from;
        }
        from = entries[at].shorter;
    }
    None
}

/// Returns a host in the form used for comparison: without a port, in lowercase.
#[must_use]
pub fn host_key(host: &str) -> Cow<'_, str> {
    let name = match host.rfind(':') {
        // The colons of an IPv6 address are inside brackets.
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}
