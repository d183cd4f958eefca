//! Instances that others told of, to be greeted besides the own seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Contacts kept; a fleet has 18 control instances at most.
const CONTACTS_MAX: usize = 32;

/// An instance and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerContact {
    /// Its name.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Contacts by name, in memory.
///
/// Guards against instances whose seeds are no members or are gone: together
/// they would know only each other, and no leader would hear of them. Contacts
/// are never dropped for age, since nobody else may be left to ask.
#[derive(Clone, Debug, Default)]
pub(super) struct ContactBook {
    contacts: BTreeMap<Arc<str>, (SocketAddr, Duration)>,
}

impl ContactBook {
    /// Notes contacts that another instance named; the one that was named
    /// longest ago makes room.
    pub(super) fn merge(&mut self, now: Duration, received: &[PeerContact]) {
        for contact in received {
            let instance = Arc::clone(&contact.instance);
            self.contacts.insert(instance, (contact.address, now));
        }
        while self.contacts.len() > CONTACTS_MAX {
            let oldest = self.contacts.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(instance, _)| Arc::clone(instance)) else {
                return;
            };
            self.contacts.remove(&oldest);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        let contacts = self.contacts.iter();
        contacts.map(|(instance, (address, _))| (instance, *address))
    }
}
