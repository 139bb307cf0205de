//! Who is in the list of endpoints: their names, their numbers, and where they listen. The list is noted in the store
//! for the next start.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use millpost::api::{EndpointId, Entry, State};
use millpost_core::Moment;
use millpost_settings::Shape;
use millpost_store::ledger::ListedEndpoint;

use crate::cordons::{Change, Cordons};
use crate::discovery::{Endpoint, List, Status};
use crate::record::Record;

struct Known {
    name: String,
    address: SocketAddr,
    /// As the list has it.
    entry: Entry,
}

pub struct Roster {
    shape: Shape,
    /// The list's weights mean something.
    rated: bool,
    /// Whose list it is.
    source: String,
    names: HashMap<String, EndpointId>,
    known: HashMap<EndpointId, Known>,
    next: EndpointId,
    /// What the staff has taken out, whatever the list says.
    cordons: Cordons,
    /// What other dispatchers were told drains.
    held: HashSet<EndpointId>,
}

impl Roster {
    pub fn new(shape: Shape, rated: bool, source: SocketAddr, cordons: Cordons) -> Self {
        Roster {
            shape,
            rated,
            source: source.to_string(),
            names: HashMap::new(),
            known: HashMap::new(),
            next: 0,
            cordons,
            held: HashSet::new(),
        }
    }

    /// Names of zones and kinds, where the ones of before stand where they stood.
    pub fn settle_on(&mut self, shape: Shape) {
        self.shape = shape;
    }

    /// As bytes, for the process that goes on.
    pub fn write(&self) -> Vec<u8> {
        let known: Vec<_> =
            self.known.iter().map(|(id, known)| (*id, &known.name, known.address, known.entry)).collect();
        postcard::to_stdvec(&(self.next, known)).unwrap_or_default()
    }

    /// Takes in what [`Self::write`] wrote; whether that could be read.
    pub fn read(&mut self, bytes: &[u8]) -> bool {
        type All = (EndpointId, Vec<(EndpointId, String, SocketAddr, Entry)>);
        let Ok((next, known)) = postcard::from_bytes::<All>(bytes) else { return false };
        self.next = next;
        for (id, name, address, entry) in known {
            self.names.insert(name.clone(), id);
            self.known.insert(id, Known { name, address, entry });
        }
        true
    }

    /// Whose list it is.
    pub fn source(&self) -> &str {
        &self.source
    }

    /// Where an endpoint listens.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.known.get(&endpoint).map(|known| known.address)
    }

    /// It takes new work.
    pub fn ready(&self, endpoint: EndpointId) -> bool {
        self.known.get(&endpoint).is_some_and(|known| self.entry(known).state == State::Ready)
    }

    /// Endpoints in the list.
    pub fn all(&self) -> impl ExactSizeIterator<Item = EndpointId> + '_ {
        self.known.keys().copied()
    }

    /// Endpoints in the list, by number, name and entry.
    pub fn places(&self) -> impl Iterator<Item = (EndpointId, &str, &Entry)> + '_ {
        self.known.iter().map(|(id, known)| (*id, known.name.as_str(), &known.entry))
    }

    /// The destination of an endpoint in the list; 0 for one that is not.
    pub fn dest(&self, endpoint: EndpointId) -> u64 {
        self.known.get(&endpoint).map_or(0, |known| known.entry.dest)
    }

    /// The name of an endpoint in the list.
    pub fn name(&self, endpoint: EndpointId) -> Option<&str> {
        self.known.get(&endpoint).map(|known| known.name.as_str())
    }

    /// What an endpoint is, and by whose word.
    pub fn state(&self, endpoint: EndpointId) -> Option<millpost_audit::State> {
        use millpost_audit::State as Is;
        let known = self.known.get(&endpoint)?;
        Some(match known.entry.state {
            State::Gone => Is::Gone,
            State::Draining => Is::Draining,
            State::Ready if self.cordons.has(&known.name) => Is::Cordoned,
            State::Ready if self.held.contains(&endpoint) => Is::Held,
            State::Ready => Is::InService,
        })
    }

    /// A digest of the list: of all that decisions go by. Addresses may be each dispatcher's own.
    pub fn digest(&self) -> u32 {
        let piece = |known: &Known| {
            let Entry { zone, kind, dest, state, weight, .. } = known.entry;
            let text = (known.name.as_str(), zone, kind, dest, state as u8, weight.to_bits());
            millpost_tier::versions::piece(&postcard::to_stdvec(&text).unwrap_or_default())
        };
        millpost_tier::versions::fold(self.known.values().map(piece).fold(0, u64::wrapping_add))
    }

    /// Others were told that an endpoint drains, or it is to be used again: what it is from now on.
    pub fn hold(&mut self, endpoint: EndpointId, held: bool) -> Option<Entry> {
        let changed = if held { self.held.insert(endpoint) } else { self.held.remove(&endpoint) };
        self.known.get(&endpoint).filter(|_| changed).map(|known| self.entry(known))
    }

    /// An entry as it counts here.
    fn entry(&self, known: &Known) -> Entry {
        let by_hand = self.cordons.has(&known.name) || self.held.contains(&known.entry.endpoint);
        let out = known.entry.state == State::Ready && by_hand;
        Entry { state: if out { State::Draining } else { known.entry.state }, ..known.entry }
    }

    /// What it would change to take an endpoint out by hand, or to put it back.
    pub fn asked(&self, name: &str, out: bool) -> Result<Change, &'static str> {
        self.cordons.asked(name, out, self.names.contains_key(name))
    }

    /// Takes an endpoint out by hand, or puts it back: what it is from now on, where the list has it.
    pub fn make(&mut self, name: &str, change: Change) -> Option<Entry> {
        self.cordons.make(name, change);
        self.names.get(name).and_then(|endpoint| self.known.get(endpoint)).map(|known| self.entry(known))
    }

    /// The list of the configuration, or the one that was noted last, if that is newer.
    pub fn newest(&mut self, record: &Record, known: List) -> List {
        let known = List { snapshot: true, ..known };
        let Some((source, index, noted)) = record.ledger().endpoint_list() else { return known };
        for e in &noted {
            // Numbers that lessons of routes go by.
            self.names.insert(e.name.clone(), e.id);
            self.next = self.next.max(e.id);
        }
        if source != self.source || index < known.index {
            return known;
        }
        let endpoints = noted.into_iter().filter_map(|e| {
            Some(Endpoint {
                address: e.address.parse().ok()?,
                name: e.name,
                zone: e.zone,
                kind: e.kind,
                group: e.dest,
                status: if e.in_service { Status::InService } else { Status::Terminating },
                weight: e.weight,
            })
        });
        List { snapshot: true, index, endpoints: endpoints.collect(), unreadable: Vec::new() }
    }

    /// Takes in what discovery says, and notes it for the next start: what it means for the module.
    pub fn listed(&mut self, at: Moment, record: &mut Record, list: List) -> (bool, Vec<Entry>) {
        let (index, snapshot) = (list.index, list.snapshot);
        let mut gone = Vec::new();
        let mut told: Vec<ListedEndpoint> = Vec::new();
        for e in &list.endpoints {
            if e.status == Status::Terminated {
                gone.push(e.name.clone());
                continue;
            }
            told.push(ListedEndpoint {
                name: e.name.clone(),
                id: 0,
                address: e.address.to_string(),
                zone: e.zone.clone(),
                kind: e.kind.clone(),
                dest: e.group,
                in_service: e.status == Status::InService,
                weight: e.weight,
            });
        }
        let unreadable = list.unreadable.clone();
        let entries = self.take_in(list);
        for e in &mut told {
            e.id = self.names.get(&e.name).copied().unwrap_or(0);
        }
        // Looked through as a whole only where names may be missing.
        let noted = Some(())
            .filter(|()| snapshot || !unreadable.is_empty())
            .and_then(|()| record.ledger().endpoint_list());
        let named: HashSet<String> = told.iter().map(|e| e.name.clone()).collect();
        for e in noted.map(|(_, _, all)| all).unwrap_or_default() {
            if unreadable.contains(&e.name) {
                told.push(ListedEndpoint { in_service: false, ..e });
            } else if snapshot && !named.contains(&e.name) {
                gone.push(e.name);
            }
        }
        record.list(at, &self.source, index, &told, &gone);
        (snapshot, entries)
    }

    fn take_in(&mut self, list: List) -> Vec<Entry> {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        let mut seen = HashSet::new();
        for e in list.endpoints {
            let next = &mut self.next;
            let endpoint = *self.names.entry(e.name.clone()).or_insert_with(|| {
                *next += 1;
                *next
            });
            seen.insert(endpoint);
            let state = match e.status {
                Status::InService => State::Ready,
                Status::Terminating | Status::Unknown => State::Draining,
                Status::Terminated => State::Gone,
            };
            let entry = Entry {
                endpoint,
                zone: position(&self.shape.zone_names, &e.zone),
                kind: position(&self.shape.kind_names, &e.kind),
                dest: e.group,
                state,
                weight: e.weight.filter(|w| self.rated && w.is_finite()).unwrap_or(0.0),
            };
            if state == State::Gone {
                self.names.remove(&e.name);
                self.known.remove(&endpoint);
                self.held.remove(&endpoint);
                entries.push(entry);
            } else {
                let known = Known { name: e.name, address: e.address, entry };
                entries.push(self.entry(&known));
                self.known.insert(endpoint, known);
            }
        }
        // What is said of these can't be read, and may be a drain: nothing new goes there.
        for name in list.unreadable {
            let Some(endpoint) = self.names.get(&name) else { continue };
            seen.insert(*endpoint);
            if let Some(known) = self.known.get_mut(endpoint) {
                known.entry.state = State::Draining;
                entries.push(known.entry);
            }
        }
        if list.snapshot {
            self.names.retain(|_, endpoint| seen.contains(endpoint));
            self.known.retain(|endpoint, _| seen.contains(endpoint));
            self.held.retain(|endpoint| seen.contains(endpoint));
        }
        entries
    }
}
