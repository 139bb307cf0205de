//! The endpoint list: names, numbers and addresses of the endpoints. The list is saved in the store for the
//! next start.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use millpost::api::{EndpointId, Entry, State};
use millpost_core::Moment;
use millpost_settings::Shape;
use millpost_store::ledger::ListedEndpoint;

use crate::cordons::{Change, Cordons};
use crate::discovery::{Endpoint, List, Status};
use crate::store_writer::StoreWriter;

struct KnownEndpoint {
    name: String,
    address: SocketAddr,
    /// The entry as listed, without local overrides.
    entry: Entry,
}

pub struct Roster {
    shape: Shape,
    /// Whether the weights in the list are meaningful.
    rated: bool,
    /// Address of the discovery agent that provides the list.
    source: String,
    names: HashMap<String, EndpointId>,
    known: HashMap<EndpointId, KnownEndpoint>,
    next: EndpointId,
    /// Endpoints cordoned by operators, whatever the list says.
    cordons: Cordons,
    /// Endpoints that other dispatchers report as draining.
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

    /// Sets new names of zones and kinds; existing ones must keep their positions.
    pub fn set_shape(&mut self, shape: Shape) {
        self.shape = shape;
    }

    /// Encodes the list for the successor.
    pub fn write(&self) -> Vec<u8> {
        let known: Vec<_> =
            self.known.iter().map(|(id, known)| (*id, &known.name, known.address, known.entry)).collect();
        postcard::to_stdvec(&(self.next, known)).unwrap_or_default()
    }

    /// Restores a list from [`Self::write`]. Returns whether it could be decoded.
    pub fn read(&mut self, bytes: &[u8]) -> bool {
        type All = (EndpointId, Vec<(EndpointId, String, SocketAddr, Entry)>);
        let Ok((next, known)) = postcard::from_bytes::<All>(bytes) else { return false };
        self.next = next;
        for (id, name, address, entry) in known {
            self.names.insert(name.clone(), id);
            self.known.insert(id, KnownEndpoint { name, address, entry });
        }
        true
    }

    /// Address of the discovery agent that provides the list.
    pub fn source(&self) -> &str {
        &self.source
    }

    /// The address of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.known.get(&endpoint).map(|known| known.address)
    }

    /// Whether an endpoint accepts new work.
    pub fn ready(&self, endpoint: EndpointId) -> bool {
        self.known.get(&endpoint).is_some_and(|known| self.entry(known).state == State::Ready)
    }

    /// The endpoints in the list.
    pub fn all(&self) -> impl ExactSizeIterator<Item = EndpointId> + '_ {
        self.known.keys().copied()
    }

    /// The endpoints in the list with their names and entries.
    pub fn entries(&self) -> impl Iterator<Item = (EndpointId, &str, &Entry)> + '_ {
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

    /// The state of an endpoint, including its cause, for the audit log.
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

    /// The digest of everything in the list that affects decisions. Addresses are excluded, because they may
    /// differ between dispatchers.
    pub fn digest(&self) -> u32 {
        let piece = |known: &KnownEndpoint| {
            let Entry { zone, kind, dest, state, weight, .. } = known.entry;
            let text = (known.name.as_str(), zone, kind, dest, state as u8, weight.to_bits());
            millpost_tier::versions::piece(&postcard::to_stdvec(&text).unwrap_or_default())
        };
        millpost_tier::versions::fold(self.known.values().map(piece).fold(0, u64::wrapping_add))
    }

    /// Marks an endpoint as draining because other dispatchers report it, or removes the mark. Returns the
    /// new entry if it changed.
    pub fn set_held(&mut self, endpoint: EndpointId, held: bool) -> Option<Entry> {
        let changed = if held { self.held.insert(endpoint) } else { self.held.remove(&endpoint) };
        self.known.get(&endpoint).filter(|_| changed).map(|known| self.entry(known))
    }

    /// The entry of an endpoint with local overrides applied.
    fn entry(&self, known: &KnownEndpoint) -> Entry {
        let overridden = self.cordons.has(&known.name) || self.held.contains(&known.entry.endpoint);
        let out = known.entry.state == State::Ready && overridden;
        Entry { state: if out { State::Draining } else { known.entry.state }, ..known.entry }
    }

    /// The change that cordoning (`out`) or uncordoning an endpoint would make.
    ///
    /// # Errors
    /// If the endpoint is unknown or too many are cordoned.
    pub fn check_cordon(&self, name: &str, out: bool) -> Result<Change, &'static str> {
        self.cordons.check(name, out, self.names.contains_key(name))
    }

    /// Cordons or uncordons an endpoint. Returns its new entry if it is in the list.
    pub fn apply_cordon(&mut self, name: &str, change: Change) -> Option<Entry> {
        self.cordons.apply(name, change);
        self.names.get(name).and_then(|endpoint| self.known.get(endpoint)).map(|known| self.entry(known))
    }

    /// Returns the newer of the configured list (`known`) and the stored one.
    pub fn newest(&mut self, store: &StoreWriter, known: List) -> List {
        let known = List { snapshot: true, ..known };
        let Some((source, index, stored)) = store.ledger().endpoint_list() else { return known };
        for e in &stored {
            // Keeps the endpoint numbers, because learned state refers to them.
            self.names.insert(e.name.clone(), e.id);
            self.next = self.next.max(e.id);
        }
        if source != self.source || index < known.index {
            return known;
        }
        let endpoints = stored.into_iter().filter_map(|e| {
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

    /// Applies an update from discovery and saves it for the next start. Returns whether it was a snapshot,
    /// and the entries for the decision module.
    pub fn listed(&mut self, at: Moment, store: &mut StoreWriter, list: List) -> (bool, Vec<Entry>) {
        let (index, snapshot) = (list.index, list.snapshot);
        let mut gone = Vec::new();
        let mut listed: Vec<ListedEndpoint> = Vec::new();
        for e in &list.endpoints {
            if e.status == Status::Terminated {
                gone.push(e.name.clone());
                continue;
            }
            listed.push(ListedEndpoint {
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
        let entries = self.apply(list);
        for e in &mut listed {
            e.id = self.names.get(&e.name).copied().unwrap_or(0);
        }
        // The stored list is searched only if names may be missing from the update.
        let stored = Some(())
            .filter(|()| snapshot || !unreadable.is_empty())
            .and_then(|()| store.ledger().endpoint_list());
        let named: HashSet<String> = listed.iter().map(|e| e.name.clone()).collect();
        for e in stored.map(|(_, _, all)| all).unwrap_or_default() {
            if unreadable.contains(&e.name) {
                listed.push(ListedEndpoint { in_service: false, ..e });
            } else if snapshot && !named.contains(&e.name) {
                gone.push(e.name);
            }
        }
        store.save_list(at, &self.source, index, &listed, &gone);
        (snapshot, entries)
    }

    fn apply(&mut self, list: List) -> Vec<Entry> {
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
                let known = KnownEndpoint { name: e.name, address: e.address, entry };
                entries.push(self.entry(&known));
                self.known.insert(endpoint, known);
            }
        }
        // These entries cannot be parsed and may announce a drain, so the endpoints get no new work.
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
