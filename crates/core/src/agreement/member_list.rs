//! Who agrees: the members, their roles and what a majority of them is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Whether a member counts in majorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// It counts.
    Voter,
    /// It receives the log and counts once it holds what is committed.
    Learner,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// Random number of its data folder. An instance that comes back with
    /// another folder is another member, whatever its name.
    pub folder: u64,
    /// Whether it counts.
    pub role: MemberRole,
}

/// Members by the name of their instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    members: BTreeMap<Arc<str>, MemberRecord>,
    /// Folders of members that were removed or came back with another one,
    /// the last at the end.
    #[serde(default)]
    former: Vec<u64>,
}

/// Former folders that are remembered: more than a fleet's
/// instances, each replaced some times.
const FORMER_MAX: usize = 64;

impl MemberList {
    /// The member of this name.
    pub fn get(&self, instance: &str) -> Option<&MemberRecord> {
        self.members.get(instance)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &MemberRecord)> {
        self.members.iter()
    }

    /// Sets a member's record.
    pub fn set(&mut self, instance: Arc<str>, record: MemberRecord) {
        let folder = record.folder;
        self.former.retain(|former| *former != folder);
        let before = self.members.insert(instance, record);
        if let Some(before) = before.filter(|before| before.folder != folder) {
            self.add_former(before.folder);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: &str) {
        if let Some(record) = self.members.remove(instance) {
            self.add_former(record.folder);
        }
    }

    fn add_former(&mut self, folder: u64) {
        if self.former.len() >= FORMER_MAX {
            self.former.remove(0);
        }
        self.former.push(folder);
    }

    /// True for a folder that was a member's once and is none's now.
    pub fn was_member(&self, folder: u64) -> bool {
        self.former.contains(&folder)
    }

    /// True where no member is known yet.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Names of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Arc<str>> {
        let voters = self.members.iter();
        let voters = voters.filter(|(_, record)| record.role == MemberRole::Voter);
        voters.map(|(instance, _)| instance)
    }

    /// True where this instance, with this folder, is a member.
    pub fn contains(&self, instance: &str, folder: u64) -> bool {
        let record = self.members.get(instance);
        record.is_some_and(|record| record.folder == folder)
    }

    /// True where this instance, with this folder, votes.
    pub fn is_voter(&self, instance: &str, folder: u64) -> bool {
        let record = self.members.get(instance);
        record.is_some_and(|record| {
            record.folder == folder && record.role == MemberRole::Voter
        })
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters reaches.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(&Arc<str>) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|one, other| other.cmp(one));
        values.into_iter().nth(self.quorum() - 1)
    }
}
