//! Finds the route of a request: by its host, then the longest prefix that begins its path.

use std::borrow::Cow;
use std::collections::HashMap;

use compact_str::CompactString;

use crate::{Config, Route};

/// The routes of a configuration, ready to be asked for each request.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<CompactString, Vec<Entry>>,
}

/// A route among those of its host, which stand in the order of their prefixes.
#[derive(Debug, Clone, Copy)]
struct Entry {
    route: usize,
    /// The longest other prefix of the host which begins this one: what begins a path but isn't the last prefix
    /// up to it begins that one as well.
    shorter: Option<usize>,
}

impl RouteTable {
    /// A table of all routes.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let routes = config.routes.clone();
        let mut hosts: HashMap<CompactString, Vec<Entry>> = HashMap::new();
        let mut order: Vec<usize> = (0..routes.len()).collect();
        order.sort_by_key(|route| &routes[*route].path_prefix);
        for route in order {
            let entries = hosts.entry(host_key(&routes[route].host).into()).or_default();
            let prefix = &routes[route].path_prefix;
            let shorter = begins(&routes, entries, entries.len().checked_sub(1), prefix);
            entries.push(Entry { route, shorter });
        }
        Self { routes, hosts }
    }

    /// The route for a `Host` header, which may hold a port, and the target of a request, which may hold a query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.position(host, path).map(|route| &self.routes[route])
    }

    /// The number of that route among [`RouteTable::routes`].
    #[must_use]
    pub fn position(&self, host: &str, path: &str) -> Option<usize> {
        let entries = self.hosts.get(&*host_key(host))?;
        let path = path.find(['?', '#']).map_or(path, |end| &path[..end]);
        let after = entries.partition_point(|entry| self.routes[entry.route].path_prefix.as_str() <= path);
        let found = begins(&self.routes, entries, after.checked_sub(1), path)?;
        Some(entries[found].route)
    }

    /// The routes, in the order of the configuration.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// The first entry whose prefix begins the path, from an entry on to shorter ones.
fn begins(routes: &[Route], entries: &[Entry], mut from: Option<usize>, path: &str) -> Option<usize> {
    while let Some(at) = from {
        if path.starts_with(routes[entries[at].route].path_prefix.as_str()) {
            return from;
        }
        from = entries[at].shorter;
    }
    None
}

/// A host as it is compared: without a port, in small letters.
#[must_use]
pub fn host_key(host: &str) -> Cow<'_, str> {
    let name = match host.rfind(':') {
        // The colons of an IPv6 address stand inside brackets.
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}
