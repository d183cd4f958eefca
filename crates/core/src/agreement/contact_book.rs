//! Instances learned from others, which receive hellos besides the seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of contacts kept; a fleet has at most 18 control instances.
const CONTACTS_MAX: usize = 32;

/// Name and address of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerContact {
    /// Instance name.
    pub instance: Arc<str>,
    /// Address at which the instance listens.
    pub address: SocketAddr,
}

/// Contacts by instance name, kept in memory.
///
/// Guards against instances whose seeds are not members or are gone: such
/// instances would know only each other, and no leader would learn of them.
/// Contacts never expire, since no other contact may be left.
#[derive(Clone, Debug, Default)]
pub(super) struct ContactBook {
    contacts: BTreeMap<Arc<str>, (SocketAddr, Duration)>,
}

impl ContactBook {
    /// Adds contacts that another instance named. If there are too many, those
    /// named longest ago are dropped.
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
