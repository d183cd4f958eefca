//! A follower's copy of the directory of backend servers, and how it is
//! brought up to date with few bytes whichever source it asks.

use serde::Deserialize;
use serde::Serialize;

use crate::directory::DirectoryDigest;
use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;

/// A place in one source's directory of backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryPlace {
    /// Source's run; revisions of another run mean nothing here.
    pub run: u64,
    /// Revision read up to.
    pub revision: u64,
}

/// What a follower says of its directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryAsk {
    /// Where it has read up to.
    pub place: DirectoryPlace,
    /// Digest of its whole directory; 0 where that is empty.
    pub digest: u64,
    /// Digests of its parts, where the source has asked for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<DirectoryDigest>,
}

/// What a source answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Records that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<EndpointRecord>,
    /// The follower's new place; none where the source first needs the
    /// digests of the parts.
    pub place: Option<DirectoryPlace>,
}

/// How a source brings a follower up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryWay {
    /// From this revision on; the follower may wait there.
    Since(u64),
    /// These records now, and then from the present revision on.
    Records(Vec<EndpointRecord>),
    /// The follower must send the digests of its parts.
    NeedsParts,
}

impl DirectoryWay {
    /// The cheapest way for a follower that says `ask`, at a source of this
    /// run. Equal digests need no record at all, so that a herd which lost
    /// nothing costs a few bytes each.
    pub fn choose(directory: &EndpointDirectory, run: u64, ask: &DirectoryAsk) -> Self {
        if ask.place.run == run {
            return Self::Since(ask.place.revision);
        }
        if ask.digest == directory.digest().whole() {
            return Self::Since(directory.revision());
        }
        if ask.digest == 0 {
            return Self::Since(0);
        }
        match &ask.parts {
            Some(parts) => Self::Records(directory.differing(parts)),
            None => Self::NeedsParts,
        }
    }
}

/// State of one follower.
#[derive(Clone, Debug, Default)]
pub struct DirectoryFollower {
    directory: EndpointDirectory,
    place: DirectoryPlace,
    parts_wanted: bool,
}

impl DirectoryFollower {
    /// What to say with the next question.
    pub fn request(&self) -> DirectoryAsk {
        let digest = self.directory.digest();
        DirectoryAsk {
            place: self.place,
            digest: digest.whole(),
            parts: self.parts_wanted.then(|| digest.clone()),
        }
    }

    /// Takes an answer; what it changed comes back.
    pub fn take(&mut self, news: DirectoryUpdate) -> Vec<EndpointRecord> {
        self.parts_wanted = news.place.is_none();
        if let Some(place) = news.place {
            self.place = place;
        }
        let mut changed = Vec::new();
        for record in news.records {
            if self.directory.merge(record.clone()) {
                changed.push(record);
            }
        }
        changed
    }

    /// Another source is asked next, in whose directory no place is known.
    pub fn forget_place(&mut self) {
        self.place = DirectoryPlace::default();
        self.parts_wanted = false;
    }

    /// The copy.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Where it has read up to.
    pub fn place(&self) -> DirectoryPlace {
        self.place
    }
}
