//! The newest of each kind, so that a stall that starts anew has it at once.
//!
//! Invariant: what is kept, and told on, is at least as new as what was before, whoever tells it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_config::{Config, JsonCursor, change};
use millpost_net::pack::{pack, unpack};
use millpost_protocol::{Instance, MembershipView, PeerMessage, Version};
use tinyjson::JsonValue;

/// Lines of the feed, and a configuration out of its pack.
pub const MAX_CONFIG_BYTES: usize = 8 << 20;
/// A configuration and the changes to it, before it has to come whole again.
const MOST: usize = 32 << 20;
/// Instances, as text; the stall takes no longer letter than [`MAX_CONFIG_BYTES`].
const MOST_OF_INSTANCES: usize = 6 << 20;

fn weight_of(i: &Instance) -> usize {
    64 + [&i.id, &i.service, &i.address, &i.zone, &i.worker].iter().map(|text| text.len()).sum::<usize>()
}

/// What becomes of something that control tells.
#[derive(Debug)]
pub enum Applied {
    /// It is no newer than what is held, or is of another kind.
    Stale,
    /// It is new, and goes on to the stall.
    New(PeerMessage),
    /// Likewise, without so many instances: there is no room for them.
    Partial(PeerMessage, usize),
    /// It can't be read, for this reason.
    Unreadable(String),
    /// This does not meet what is held, for this reason.
    BaseMissing(String, String),
    /// A shift goes from another naming of stalls than the one that is held: the two versions.
    VersionGap(Version, Version),
}

/// What is held.
#[derive(Clone, Debug, Default)]
pub struct LatestState {
    config: Option<Config>,
    /// Bytes that the whole one came in, and all changes since.
    weight: usize,
    /// The whole of it, as it came or once it was wanted.
    packed: Option<PeerMessage>,
    /// The stalls; under version 0 while none were named.
    stalls: MembershipView,
    version: Version,
    instances: BTreeMap<CompactString, Instance>,
    /// Bytes that they take as text, about.
    instances_weight: usize,
}

impl LatestState {
    /// The revision of the configuration; 0 without one.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    /// The versions of the stalls and of the instances.
    pub fn versions(&self) -> (Version, Version) {
        (self.stalls.version(), self.version)
    }

    /// How many instances there are.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Takes in what control tells, in a line of this many bytes.
    pub fn apply(&mut self, note: PeerMessage, weight: usize) -> Applied {
        match note {
            PeerMessage::Config { revision, .. }
            | PeerMessage::PackedConfig { revision, .. }
            | PeerMessage::Patch { revision, .. }
            | PeerMessage::PackedPatch { revision, .. }
                if self.config.is_some() && self.revision() >= revision =>
            {
                Applied::Stale
            }
            PeerMessage::Config { revision, body } => match Config::read(&JsonCursor::root(&body)) {
                Ok(config) => self.install(config, PeerMessage::Config { revision, body }, weight),
                Err(e) => Applied::Unreadable(format!("configuration {revision}: {e}")),
            },
            PeerMessage::PackedConfig { revision, packed } => {
                match unpack(&packed, MAX_CONFIG_BYTES).map(|text| (text.len(), Config::parse(&text))) {
                    Some((long, Ok(config))) => {
                        self.install(config, PeerMessage::PackedConfig { revision, packed }, long)
                    }
                    Some((_, Err(e))) => Applied::Unreadable(format!("configuration {revision}: {e}")),
                    None => Applied::Unreadable(format!("configuration {revision} can't be unpacked")),
                }
            }
            PeerMessage::Patch { revision, ref change } => self.change(revision, change, weight, &note),
            PeerMessage::PackedPatch { revision, ref packed } => {
                let text = unpack(packed, MAX_CONFIG_BYTES);
                match text.map(|text| (text.len(), text.parse::<JsonValue>())) {
                    Some((long, Ok(change))) => self.change(revision, &change, long, &note),
                    _ => Applied::Unreadable(format!("change to {revision} can't be unpacked")),
                }
            }
            PeerMessage::FullView { version, peers, leaving, split } => {
                if self.stalls.version() >= version {
                    return Applied::Stale;
                }
                self.stalls = MembershipView::new(version, peers, split).with_leaving(leaving);
                Applied::New(self.stalls.to_message())
            }
            PeerMessage::ViewChange(shift) if self.stalls.version() >= shift.version => Applied::Stale,
            PeerMessage::ViewChange(shift) => match self.stalls.apply(&shift) {
                Some(stalls) => {
                    self.stalls = stalls;
                    Applied::New(PeerMessage::ViewChange(shift))
                }
                None => Applied::VersionGap(shift.from, self.stalls.version()),
            },
            PeerMessage::Instances { version, all, set, gone } => {
                if version < self.version || !all && version == self.version {
                    return Applied::Stale;
                }
                self.version = version;
                self.list(all, set, gone)
            }
            // Said again and again while it holds: nothing is kept.
            note @ PeerMessage::MinInstances { .. } => Applied::New(note),
            _ => Applied::Stale,
        }
    }

    /// A change to the configuration, as `note` brings it.
    fn change(
        &mut self,
        revision: u64,
        difference: &JsonValue,
        weight: usize,
        note: &PeerMessage,
    ) -> Applied {
        let missed = |why| Applied::BaseMissing(format!("change to {revision}"), why);
        let Some(config) = &self.config else {
            return missed("nothing to change yet".to_owned());
        };
        let weight = self.weight.saturating_add(weight);
        if weight > MOST {
            return missed("too much has been added since the whole one".to_owned());
        }
        match change::apply(config, difference) {
            Ok(new) => self.install(new, note.clone(), weight),
            Err(e) => missed(e.to_string()),
        }
    }

    /// Instances that are new, changed or gone. Those for which there is no room are not told on.
    fn list(&mut self, all: bool, mut set: Vec<Instance>, gone: Vec<CompactString>) -> Applied {
        if all {
            self.instances.clear();
            self.instances_weight = 0;
        }
        for id in &gone {
            let weight = self.instances.remove(id).map_or(0, |i| weight_of(&i));
            self.instances_weight -= weight;
        }
        let came = set.len();
        set.retain(|instance| {
            let before = self.instances.get(&instance.id).map_or(0, weight_of);
            let weight = self.instances_weight - before + weight_of(instance);
            if weight > MOST_OF_INSTANCES {
                return false;
            }
            self.instances_weight = weight;
            self.instances.insert(instance.id.clone(), instance.clone());
            true
        });
        let left_out = came - set.len();
        let note = PeerMessage::Instances { version: self.version, all, set, gone };
        if left_out > 0 { Applied::Partial(note, left_out) } else { Applied::New(note) }
    }

    fn install(&mut self, config: Config, note: PeerMessage, weight: usize) -> Applied {
        let (PeerMessage::Config { revision, .. }
        | PeerMessage::PackedConfig { revision, .. }
        | PeerMessage::Patch { revision, .. }
        | PeerMessage::PackedPatch { revision, .. }) = note
        else {
            return Applied::Stale;
        };
        if config.revision != revision {
            return Applied::Unreadable(format!(
                "configuration {revision}: it says that it is {}",
                config.revision
            ));
        }
        self.packed = matches!(note, PeerMessage::PackedConfig { .. }).then(|| note.clone());
        (self.config, self.weight) = (Some(config), weight);
        Applied::New(note)
    }

    /// The whole configuration, for a stall that starts or could not follow a change. Packed: as a tree of values it takes some ten
    /// times the memory of its text, in the note that waits and at the stall that reads it.
    pub fn full_config(&mut self) -> Option<PeerMessage> {
        if self.packed.is_none() {
            let config = self.config.as_ref()?;
            let packed = pack(&config.to_json())?;
            self.packed = Some(PeerMessage::PackedConfig { revision: config.revision, packed });
        }
        self.packed.clone()
    }

    /// Everything, for a stall that starts.
    pub fn snapshot(&mut self) -> Vec<PeerMessage> {
        let mut notes = Vec::from_iter(self.full_config());
        if self.version > (0, 0) {
            let set = self.instances.values().cloned().collect();
            notes.push(PeerMessage::Instances { version: self.version, all: true, set, gone: Vec::new() });
        }
        if self.stalls.version() > (0, 0) {
            notes.push(self.stalls.to_message());
        }
        notes
    }
}
