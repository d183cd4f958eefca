//! The member list: roles, data folders and the quorum.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Whether a member counts in majorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes, and counts in majorities.
    Voter,
    /// Receives the log, and becomes a voter once it holds all committed
    /// entries.
    Learner,
}

/// Address, data folder and role of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Random id of its data folder. An instance that returns with another
    /// folder is another member, even under the same name.
    pub folder: u64,
    /// Whether it counts in majorities.
    pub role: MemberRole,
}

/// Members by instance name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    members: BTreeMap<Arc<str>, MemberRecord>,
    /// Data folders of members that were removed or returned with another
    /// folder, latest last.
    #[serde(default)]
    former: Vec<u64>,
}

/// Maximum number of former data folders kept: enough for every instance of a
/// fleet to be replaced several times.
const FORMER_MAX: usize = 64;

impl MemberList {
    /// The member with this instance name.
    pub fn get(&self, instance: &str) -> Option<&MemberRecord> {
        self.members.get(instance)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &MemberRecord)> {
        self.members.iter()
    }

    /// Adds or replaces a member.
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

    /// True if the data folder belonged to a member and belongs to none now.
    pub fn was_member(&self, folder: u64) -> bool {
        self.former.contains(&folder)
    }

    /// True if there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Instance names of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Arc<str>> {
        let voters = self.members.iter();
        let voters = voters.filter(|(_, record)| record.role == MemberRole::Voter);
        voters.map(|(instance, _)| instance)
    }

    /// True if this instance is a member with this data folder.
    pub fn contains(&self, instance: &str, folder: u64) -> bool {
        let record = self.members.get(instance);
        record.is_some_and(|record| record.folder == folder)
    }

    /// True if this instance is a voter with this data folder.
    pub fn is_voter(&self, instance: &str, folder: u64) -> bool {
        let record = self.members.get(instance);
        record.is_some_and(|record| {
            record.folder == folder && record.role == MemberRole::Voter
        })
    }

    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached, or `None`
    /// if there are no voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(&Arc<str>) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|one, other| other.cmp(one));
        values.into_iter().nth(self.quorum() - 1)
    }
}
