//! Where a destination is reached from: routes by destination, class and label, each with sites in the order of preference,
//! and which of the sites is in use.
//!
//! Invariants kept here: a message that may have run on one route goes on no other; none goes to a site that it has passed,
//! nor further than the hop limit; a site is left only after its link was down for a while, and taken up again only after
//! it was up for a while without a break (hysteresis), so that a link that flaps does not move traffic with each flap.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// Delivered by this site itself.
pub const HERE: &str = "here";

/// Why a table can't be used. The text names line, key and reason where the reader knows them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is no TOML of this form.
    #[error("{0}")]
    Malformed(String),
    /// A route that can't be meant.
    #[error("route {number}: `{key}` {why}")]
    Route {
        /// Its place in the file, from 1.
        number: usize,
        /// The key.
        key: &'static str,
        /// What is wrong.
        why: String,
    },
    /// A site that can't be meant.
    #[error("site `{name}`: `{key}` {why}")]
    Site {
        /// Its name.
        name: String,
        /// The key.
        key: &'static str,
        /// What is wrong.
        why: String,
    },
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The first and the last destination that it is for; all, where there is none.
    pub destinations: Option<[u64; 2]>,
    /// The class that it is for; all, where there is none.
    pub class: Option<String>,
    /// The label that it is for; all, where there is none.
    pub label: Option<String>,
    /// Sites in the order of preference; `here` is this one.
    pub sites: Vec<String>,
}

/// A far site.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name, as it tells it.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its link must be down for so long before traffic leaves it, milliseconds.
    #[serde(default = "away_after")]
    pub away_after_ms: u64,
    /// Its link must be up for so long before traffic comes back, milliseconds.
    #[serde(default = "back_after")]
    pub back_after_ms: u64,
}

fn away_after() -> u64 {
    500
}
fn back_after() -> u64 {
    5_000
}
fn hops() -> usize {
    4
}

/// All routes, as a file gives them; the first that fits is taken.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// This site's name.
    pub site: String,
    /// Sites that a message may pass, this one included, at most.
    #[serde(default = "hops")]
    pub most_hops: usize,
    /// The far sites.
    #[serde(default, rename = "far")]
    pub sites: Vec<Site>,
    /// The routes.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
}

impl Table {
    /// Reads a table.
    ///
    /// # Errors
    /// [`Error`], with the line where it is no TOML of this form, or else the route or site and its key.
    pub fn read(text: &str) -> Result<Table, Error> {
        let table: Table = toml::from_str(text).map_err(|e| Error::Malformed(e.to_string()))?;
        table.check()?;
        Ok(table)
    }

    fn check(&self) -> Result<(), Error> {
        let site =
            |name: &str, key, why: &str| Error::Site { name: name.to_owned(), key, why: why.to_owned() };
        if self.site.is_empty() || self.site == HERE {
            return Err(site(&self.site, "site", "must be a name, and not `here`"));
        }
        if self.most_hops == 0 || self.most_hops > crate::frame::LONGEST_PATH {
            return Err(site(&self.site, "most_hops", "must be 1 to 16"));
        }
        for (n, far) in self.sites.iter().enumerate() {
            if far.name.is_empty() || far.name == HERE || far.name == self.site {
                return Err(site(&far.name, "name", "must be a name, not `here` and not this site's"));
            }
            if self.sites[..n].iter().any(|other| other.name == far.name) {
                return Err(site(&far.name, "name", "stands twice"));
            }
            if far.address.parse::<std::net::SocketAddr>().is_err() {
                return Err(site(&far.name, "address", "must be an address and a port"));
            }
        }
        for (n, route) in self.routes.iter().enumerate() {
            let wrong = |key, why: String| Err(Error::Route { number: n + 1, key, why });
            if route.sites.is_empty() {
                return wrong("sites", "must name a site".to_owned());
            }
            if let Some([first, last]) = route.destinations
                && first > last
            {
                return wrong("destinations", format!("goes from {first} down to {last}"));
            }
            for (place, name) in route.sites.iter().enumerate() {
                if name != HERE && !self.sites.iter().any(|far| far.name == *name) {
                    return wrong("sites", format!("names `{name}`, which is no `[[far]]`"));
                }
                if route.sites[..place].contains(name) {
                    return wrong("sites", format!("names `{name}` twice"));
                }
            }
        }
        Ok(())
    }

    fn route(&self, asked: &Asked) -> Option<&Route> {
        self.routes.iter().find(|route| {
            route.destinations.is_none_or(|[first, last]| (first..=last).contains(&asked.dest))
                && route.class.as_deref().is_none_or(|class| class == asked.class)
                && route.label.as_deref().is_none_or(|label| Some(label) == asked.label)
        })
    }
}

/// A message that needs a route.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Its destination.
    pub dest: u64,
    /// Its class.
    pub class: &'a str,
    /// Its label, if it has one.
    pub label: Option<&'a str>,
    /// Sites that it has passed, the first one first.
    pub path: &'a [String],
    /// The site where it may have run: it goes nowhere else.
    pub bound: Option<&'a str>,
}

/// Where a message goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// To this site; [`HERE`] for this one.
    Site(String),
    /// Nowhere yet: the link of the site that it is for is down, and at this time the next one is taken.
    Wait(Nanos),
    /// Nowhere, and why: it never ran because of this, and is refused.
    Nowhere(Why),
}

/// Why there is no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No route fits.
    NoRoute,
    /// It has passed this site before.
    Loop,
    /// It has passed as many sites as it may.
    TooFar,
    /// Every site of its route is down, or was passed.
    AllDown,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Health {
    /// Its link is up, or down, since then.
    up: bool,
    since: Nanos,
    /// Traffic goes there while the link is up.
    in_use: bool,
}

/// The routes, and how the far sites fare.
#[derive(Clone, Debug, Serialize)]
pub struct Routes {
    table: Table,
    health: BTreeMap<String, Health>,
}

const MILLI: Nanos = 1_000_000;

impl Routes {
    /// Every far site is down until its link comes up, and is in use from then on.
    pub fn new(table: Table, now: Nanos) -> Self {
        let mut routes = Routes { table, health: BTreeMap::new() };
        routes.fill(now);
        routes
    }

    fn fill(&mut self, now: Nanos) {
        for site in &self.table.sites {
            self.health.entry(site.name.clone()).or_insert(Health { up: false, since: now, in_use: true });
        }
        let sites = &self.table.sites;
        self.health.retain(|name, _| sites.iter().any(|site| site.name == *name));
    }

    /// Another table from now on; what is known of sites that stay is kept.
    pub fn reload(&mut self, table: Table, now: Nanos) {
        self.table = table;
        self.fill(now);
    }

    /// The link to a site came up, or broke.
    pub fn link(&mut self, site: &str, up: bool, now: Nanos) {
        self.tick(now);
        if let Some(health) = self.health.get_mut(site).filter(|health| health.up != up) {
            (health.up, health.since) = (up, now);
        }
    }

    /// Time has passed: sites are left, or taken up again.
    pub fn tick(&mut self, now: Nanos) {
        for site in &self.table.sites {
            if let Some(health) = self.health.get_mut(&site.name)
                && health.due(site).is_some_and(|due| due <= now)
            {
                health.in_use = health.up;
            }
        }
    }

    /// When [`Self::tick`] changes something next, if nothing happens.
    pub fn next(&self) -> Option<Nanos> {
        self.table.sites.iter().filter_map(|site| self.health.get(&site.name)?.due(site)).min()
    }

    /// Where a message goes now.
    pub fn pick(&self, asked: &Asked) -> Pick {
        if asked.path.contains(&self.table.site) {
            return Pick::Nowhere(Why::Loop);
        }
        let Some(route) = self.table.route(asked) else { return Pick::Nowhere(Why::NoRoute) };
        let far_allowed = asked.path.len() + 1 < self.table.most_hops;
        let mut too_far = false;
        let sites = route.sites.iter().map(String::as_str);
        // Where it may have run it is asked for there, also where the table says otherwise by now.
        let sites: Vec<&str> = asked.bound.map_or_else(|| sites.collect(), |site| vec![site]);
        for name in sites {
            if name == HERE {
                return Pick::Site(name.to_owned());
            }
            if asked.path.iter().any(|passed| passed == name) {
                continue;
            }
            if !far_allowed {
                too_far = true;
                continue;
            }
            let site = self.table.sites.iter().find(|site| site.name == name);
            let (Some(site), Some(health)) = (site, self.health.get(name)) else { continue };
            match (health.in_use, health.up) {
                (true, true) => return Pick::Site(name.to_owned()),
                (true, false) => return Pick::Wait(health.due(site).unwrap_or(health.since)),
                (false, _) => {}
            }
        }
        Pick::Nowhere(if too_far { Why::TooFar } else { Why::AllDown })
    }
}

impl Health {
    /// When it is left, or taken up again, if its link stays as it is.
    fn due(&self, site: &Site) -> Option<Nanos> {
        let after = if self.up { site.back_after_ms } else { site.away_after_ms };
        (self.up != self.in_use).then(|| self.since.saturating_add(after.saturating_mul(MILLI)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TABLE: &str = r#"
site = "lyon"
most_hops = 3
[[far]]
name = "oslo"
address = "127.0.0.1:7001"
away_after_ms = 500
back_after_ms = 5000
[[far]]
name = "turin"
address = "127.0.0.1:7002"
[[route]]
destinations = [100, 199]
class = "licence-order"
sites = ["oslo"]
[[route]]
destinations = [100, 199]
sites = ["oslo", "turin", "here"]
[[route]]
label = "north"
sites = ["oslo"]
[[route]]
destinations = [0, 99]
sites = ["here"]
"#;

    fn asked(dest: u64) -> Asked<'static> {
        Asked { dest, class: "loan-report", label: None, path: &[], bound: None }
    }

    fn routes() -> Routes {
        let mut routes = Routes::new(Table::read(TABLE).expect("a table"), 0);
        routes.link("oslo", true, 0);
        routes.link("turin", true, 0);
        routes
    }

    fn site(name: &str) -> Pick {
        Pick::Site(name.to_owned())
    }

    #[test]
    fn the_first_route_that_fits_is_taken() {
        let routes = routes();
        assert_eq!(routes.pick(&asked(150)), site("oslo"));
        assert_eq!(routes.pick(&asked(5)), site("here"));
        assert_eq!(routes.pick(&asked(500)), Pick::Nowhere(Why::NoRoute));
        assert_eq!(routes.pick(&Asked { label: Some("north"), ..asked(500) }), site("oslo"));
    }

    #[test]
    fn a_site_is_left_after_a_while_and_comes_back_after_a_longer_one_without_a_break() {
        let (mut routes, s) = (routes(), 1_000 * MILLI);
        routes.link("oslo", false, 10 * s);
        assert_eq!(routes.pick(&asked(150)), Pick::Wait(10 * s + 500 * MILLI));
        // A short break moves nothing.
        routes.link("oslo", true, 10 * s + 400 * MILLI);
        assert_eq!((routes.pick(&asked(150)), routes.next()), (site("oslo"), None));
        routes.link("oslo", false, 20 * s);
        assert_eq!(routes.next(), Some(20 * s + 500 * MILLI));
        routes.tick(20 * s + 500 * MILLI);
        assert_eq!(routes.pick(&asked(150)), site("turin"));
        // It flaps: nothing comes back until it has been up for five seconds on end.
        for n in 0..5 {
            routes.link("oslo", true, (21 + n) * s);
            routes.link("oslo", false, (21 + n) * s + 900 * MILLI);
            assert_eq!(routes.pick(&asked(150)), site("turin"));
        }
        routes.link("oslo", true, 30 * s);
        routes.tick(34 * s);
        assert_eq!(routes.pick(&asked(150)), site("turin"));
        routes.tick(35 * s);
        assert_eq!(routes.pick(&asked(150)), site("oslo"));
    }

    #[test]
    fn with_all_sites_of_a_route_down_it_says_so() {
        let (mut routes, s) = (routes(), 1_000 * MILLI);
        routes.link("oslo", false, s);
        routes.tick(2 * s);
        let order = Asked { class: "licence-order", ..asked(150) };
        assert_eq!(routes.pick(&order), Pick::Nowhere(Why::AllDown));
        routes.link("turin", false, 2 * s);
        routes.tick(3 * s);
        assert_eq!(routes.pick(&asked(150)), site("here"));
    }

    #[test]
    fn loops_and_long_ways_end() {
        let routes = routes();
        let path = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
        let (own, passed, long) = (path(&["lyon"]), path(&["oslo"]), path(&["a", "b"]));
        assert_eq!(routes.pick(&Asked { path: &own, ..asked(150) }), Pick::Nowhere(Why::Loop));
        assert_eq!(routes.pick(&Asked { path: &passed, ..asked(150) }), site("turin"));
        let order = Asked { class: "licence-order", path: &long, ..asked(150) };
        assert_eq!(routes.pick(&order), Pick::Nowhere(Why::TooFar));
        // What is delivered here goes no further.
        assert_eq!(routes.pick(&Asked { path: &long, ..asked(150) }), site("here"));
    }

    #[test]
    fn one_that_may_have_run_goes_nowhere_else() {
        let (mut routes, s) = (routes(), 1_000 * MILLI);
        let bound = Asked { bound: Some("oslo"), ..asked(150) };
        routes.link("oslo", false, s);
        routes.tick(9 * s);
        assert_eq!(routes.pick(&asked(150)), site("turin"));
        assert_eq!(routes.pick(&bound), Pick::Nowhere(Why::AllDown));
    }

    #[test]
    fn another_table_keeps_what_is_known_of_sites() {
        let (mut routes, s) = (routes(), 1_000 * MILLI);
        routes.link("oslo", false, s);
        routes.tick(2 * s);
        let other = TABLE.replace("sites = [\"oslo\", \"turin\", \"here\"]", "sites = [\"oslo\", \"here\"]");
        routes.reload(Table::read(&other).expect("a table"), 2 * s);
        assert_eq!(routes.pick(&asked(150)), site("here"));
    }

    #[test]
    fn what_is_wrong_with_a_table_is_named() {
        for (from, to, said) in [
            ("sites = [\"oslo\"]", "sites = [\"olso\"]", "route 1: `sites` names `olso`"),
            ("sites = [\"here\"]", "sites = []", "route 4: `sites` must name a site"),
            ("[0, 99]", "[99, 0]", "route 4: `destinations` goes from 99 down to 0"),
            ("127.0.0.1:7001", "oslo", "site `oslo`: `address`"),
            ("\"turin\"\naddress", "\"oslo\"\naddress", "stands twice"),
            ("name = \"turin\"", "name = \"lyon\"", "site `lyon`: `name`"),
            ("most_hops = 3", "most_hops = 99", "`most_hops` must be 1 to 16"),
            ("most_hops = 3", "most_hopes = 3", "line 3"),
        ] {
            let text = TABLE.replacen(from, to, 1);
            assert_ne!(text, TABLE);
            let why = Table::read(&text).expect_err("refused").to_string();
            assert!(why.contains(said), "{why}");
        }
    }
}
