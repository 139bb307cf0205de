//! Keeps the newest configuration, membership and instances, so that a proxy that restarts gets them at once.
//!
//! Invariant: what is kept and passed on is at least as new as what was kept before, whichever controller it
//! came from.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_config::{Config, JsonCursor, change};
use millpost_net::pack::{pack, unpack};
use millpost_protocol::{Instance, MembershipView, PeerMessage, Version};
use tinyjson::JsonValue;

/// The largest line of a feed, and the largest unpacked configuration, in bytes.
pub const MAX_CONFIG_BYTES: usize = 8 << 20;
/// The most bytes of a configuration plus the changes to it. Beyond that the full configuration is requested
/// again.
const MAX_CONFIG_WITH_CHANGES: usize = 32 << 20;
/// The most bytes of all instances as text. The proxy accepts no batch above [`MAX_CONFIG_BYTES`].
const MAX_INSTANCES_BYTES: usize = 6 << 20;

fn approx_bytes(i: &Instance) -> usize {
    64 + [&i.id, &i.service, &i.address, &i.zone, &i.worker].iter().map(|text| text.len()).sum::<usize>()
}

/// The result of applying a controller's message.
#[derive(Debug)]
pub enum Applied {
    /// It is not newer than what is held, or its kind is not kept.
    Stale,
    /// It is new and is to be passed on to the proxy.
    New(PeerMessage),
    /// As [`Applied::New`], but this many instances were left out because there is no room for them.
    Partial(PeerMessage, usize),
    /// It could not be parsed, for this reason.
    Unreadable(String),
    /// This change does not fit the configuration that is held, for this reason.
    BaseMissing(String, String),
    /// A change to the membership has another base version than the version that is held: the two versions.
    VersionGap(Version, Version),
}

/// The newest state that controllers have sent.
#[derive(Clone, Debug, Default)]
pub struct LatestState {
    config: Option<Config>,
    /// The size of the last full configuration plus all changes since.
    config_bytes: usize,
    /// The full configuration, packed, once it has been received so or requested.
    packed_config: Option<PeerMessage>,
    /// The proxies; version 0 while none have been received.
    membership: MembershipView,
    instances_version: Version,
    instances: BTreeMap<CompactString, Instance>,
    /// The approximate size of the instances as text.
    instances_bytes: usize,
}

impl LatestState {
    /// The revision of the configuration; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    /// The versions of the membership and of the instances.
    pub fn versions(&self) -> (Version, Version) {
        (self.membership.version(), self.instances_version)
    }

    /// The number of instances.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Applies a controller's message, which came in a line of this many bytes.
    pub fn apply(&mut self, message: PeerMessage, bytes: usize) -> Applied {
        match message {
            PeerMessage::Config { revision, .. }
            | PeerMessage::PackedConfig { revision, .. }
            | PeerMessage::Patch { revision, .. }
            | PeerMessage::PackedPatch { revision, .. }
                if self.config.is_some() && self.revision() >= revision =>
            {
                Applied::Stale
            }
            PeerMessage::Config { revision, body } => match Config::read(&JsonCursor::root(&body)) {
                Ok(config) => self.install(config, PeerMessage::Config { revision, body }, bytes),
                Err(e) => Applied::Unreadable(format!("configuration {revision}: {e}")),
            },
            PeerMessage::PackedConfig { revision, packed } => {
                match unpack(&packed, MAX_CONFIG_BYTES).map(|text| (text.len(), Config::parse(&text))) {
                    Some((bytes, Ok(config))) => {
                        self.install(config, PeerMessage::PackedConfig { revision, packed }, bytes)
                    }
                    Some((_, Err(e))) => Applied::Unreadable(format!("configuration {revision}: {e}")),
                    None => Applied::Unreadable(format!("configuration {revision} could not be unpacked")),
                }
            }
            PeerMessage::Patch { revision, ref change } => {
                self.apply_change(revision, change, bytes, &message)
            }
            PeerMessage::PackedPatch { revision, ref packed } => {
                let text = unpack(packed, MAX_CONFIG_BYTES);
                match text.map(|text| (text.len(), text.parse::<JsonValue>())) {
                    Some((bytes, Ok(change))) => self.apply_change(revision, &change, bytes, &message),
                    _ => Applied::Unreadable(format!(
                        "change to configuration {revision} could not be unpacked"
                    )),
                }
            }
            PeerMessage::FullView { version, peers, leaving, split } => {
                if self.membership.version() >= version {
                    return Applied::Stale;
                }
                self.membership = MembershipView::new(version, peers, split).with_leaving(leaving);
                Applied::New(self.membership.to_message())
            }
            PeerMessage::ViewChange(change) if self.membership.version() >= change.version => Applied::Stale,
            PeerMessage::ViewChange(change) => match self.membership.apply(&change) {
                Some(membership) => {
                    self.membership = membership;
                    Applied::New(PeerMessage::ViewChange(change))
                }
                None => Applied::VersionGap(change.from, self.membership.version()),
            },
            PeerMessage::Instances { version, all, set, gone } => {
                if version < self.instances_version || !all && version == self.instances_version {
                    return Applied::Stale;
                }
                self.instances_version = version;
                self.update_instances(all, set, gone)
            }
            // Repeated by the controllers while it is in force, so it is not kept.
            message @ PeerMessage::MinInstances { .. } => Applied::New(message),
            _ => Applied::Stale,
        }
    }

    /// Applies a change to the configuration, which `message` has brought.
    fn apply_change(
        &mut self,
        revision: u64,
        difference: &JsonValue,
        bytes: usize,
        message: &PeerMessage,
    ) -> Applied {
        let base_missing = |why| Applied::BaseMissing(format!("change to configuration {revision}"), why);
        let Some(config) = &self.config else {
            return base_missing("there is no configuration yet".to_owned());
        };
        let bytes = self.config_bytes.saturating_add(bytes);
        if bytes > MAX_CONFIG_WITH_CHANGES {
            return base_missing("the changes since the last full configuration are too large".to_owned());
        }
        match change::apply(config, difference) {
            Ok(new) => self.install(new, message.clone(), bytes),
            Err(e) => base_missing(e.to_string()),
        }
    }

    /// Applies instances that are new, changed or gone. Those for which there is no room are not passed on.
    fn update_instances(&mut self, all: bool, mut set: Vec<Instance>, gone: Vec<CompactString>) -> Applied {
        if all {
            self.instances.clear();
            self.instances_bytes = 0;
        }
        for id in &gone {
            let bytes = self.instances.remove(id).map_or(0, |i| approx_bytes(&i));
            self.instances_bytes -= bytes;
        }
        let received = set.len();
        set.retain(|instance| {
            let before = self.instances.get(&instance.id).map_or(0, approx_bytes);
            let bytes = self.instances_bytes - before + approx_bytes(instance);
            if bytes > MAX_INSTANCES_BYTES {
                return false;
            }
            self.instances_bytes = bytes;
            self.instances.insert(instance.id.clone(), instance.clone());
            true
        });
        let left_out = received - set.len();
        let message = PeerMessage::Instances { version: self.instances_version, all, set, gone };
        if left_out > 0 { Applied::Partial(message, left_out) } else { Applied::New(message) }
    }

    /// Keeps a configuration that `message` has brought, if its revision is the message's.
    fn install(&mut self, config: Config, message: PeerMessage, bytes: usize) -> Applied {
        let (PeerMessage::Config { revision, .. }
        | PeerMessage::PackedConfig { revision, .. }
        | PeerMessage::Patch { revision, .. }
        | PeerMessage::PackedPatch { revision, .. }) = message
        else {
            return Applied::Stale;
        };
        if config.revision != revision {
            return Applied::Unreadable(format!(
                "configuration {revision} has revision {} in its body",
                config.revision
            ));
        }
        self.packed_config = matches!(message, PeerMessage::PackedConfig { .. }).then(|| message.clone());
        (self.config, self.config_bytes) = (Some(config), bytes);
        Applied::New(message)
    }

    /// The full configuration, for a proxy that starts or could not apply a change. It is packed because a
    /// tree of values takes about ten times the memory of its text, in the queued message and in the proxy
    /// that parses it.
    pub fn full_config(&mut self) -> Option<PeerMessage> {
        if self.packed_config.is_none() {
            let config = self.config.as_ref()?;
            let packed = pack(&config.to_json())?;
            self.packed_config = Some(PeerMessage::PackedConfig { revision: config.revision, packed });
        }
        self.packed_config.clone()
    }

    /// All that is kept, for a proxy that starts.
    pub fn snapshot(&mut self) -> Vec<PeerMessage> {
        let mut messages = Vec::from_iter(self.full_config());
        if self.instances_version > (0, 0) {
            let set = self.instances.values().cloned().collect();
            messages.push(PeerMessage::Instances {
                version: self.instances_version,
                all: true,
                set,
                gone: Vec::new(),
            });
        }
        if self.membership.version() > (0, 0) {
            messages.push(self.membership.to_message());
        }
        messages
    }
}
