//! Cache of parsed configurations: the hundreds of simulated processes need not parse the same text again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use millpost_config::{Config, RouteTable, change};
use millpost_net::messaging;
use millpost_net::pack::unpack;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

/// A parsed configuration with its digest.
#[derive(Debug)]
pub struct ParsedConfig {
    /// The configuration.
    pub config: Config,
    /// Digest of the configuration.
    pub digest: u64,
}

/// Parsed configurations by key; `None` for invalid input.
type Found<K> = RefCell<HashMap<K, Option<Rc<ParsedConfig>>>>;

/// Parsed configurations by the digest of their text, and route tables.
#[derive(Default)]
pub struct ParseCache {
    texts: Found<u64>,
    changed: Found<(u64, u64)>,
    tables: RefCell<HashMap<u64, Rc<RouteTable>>>,
}

const LONGEST: usize = 8 << 20;

impl ParseCache {
    /// Parses a configuration from JSON or from packed text.
    pub fn read(&self, content: &str) -> Option<Rc<ParsedConfig>> {
        let key = xxh3_64(content.as_bytes());
        if let Some(known) = self.texts.borrow().get(&key) {
            return known.clone();
        }
        let config = if content.starts_with('{') {
            Config::parse(content).ok()
        } else {
            unpack(content, LONGEST).and_then(|text| Config::parse(&text).ok())
        };
        let known = config.map(|config| Rc::new(ParsedConfig { digest: config.digest(), config }));
        self.texts.borrow_mut().insert(key, known.clone());
        known
    }

    /// Applies a change to a configuration.
    pub fn change(&self, old: &ParsedConfig, difference: &JsonValue) -> Option<Rc<ParsedConfig>> {
        let text = difference.stringify().unwrap_or_default();
        let key = (old.digest, xxh3_64(text.as_bytes()));
        if let Some(known) = self.changed.borrow().get(&key) {
            return known.clone();
        }
        let config = change::apply(&old.config, difference).ok();
        let known = config.map(|config| Rc::new(ParsedConfig { digest: config.digest(), config }));
        self.changed.borrow_mut().insert(key, known.clone());
        known
    }

    /// Applies a packed change to a configuration.
    pub fn packed_change(&self, old: &ParsedConfig, packed: &str) -> Option<Rc<ParsedConfig>> {
        let key = (old.digest, xxh3_64(packed.as_bytes()));
        if let Some(known) = self.changed.borrow().get(&key) {
            return known.clone();
        }
        let difference = unpack(packed, LONGEST).and_then(|text| messaging::json(text.as_bytes()));
        let known = difference.and_then(|difference| self.change(old, &difference));
        self.changed.borrow_mut().insert(key, known.clone());
        known
    }

    /// The route table of a configuration.
    pub fn table(&self, of: &ParsedConfig) -> Rc<RouteTable> {
        Rc::clone(
            self.tables.borrow_mut().entry(of.digest).or_insert_with(|| Rc::new(RouteTable::new(&of.config))),
        )
    }
}
