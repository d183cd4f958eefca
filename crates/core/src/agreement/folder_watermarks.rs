//! What a member remembers of the others, to notice a folder that was
//! rolled back.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// One start of a process on a data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// How often the folder was opened, counted in the folder itself.
    pub count: u64,
    /// Random number of this start.
    pub nonce: u64,
}

/// The least that a folder must still hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderWatermark {
    /// Start that showed it.
    pub start: ProcessStart,
    /// Index that it acknowledged as synced and that is committed, so that
    /// no later leader can have cut it off.
    pub synced: u64,
    /// Highest term that it took part in.
    pub term: u64,
}

/// Marks by folder, kept in memory.
///
/// Guards against a folder restored from an old copy. It shows as a start
/// whose log or term is below what the folder had acknowledged: entries
/// that were counted as held by a majority no longer are, or a vote is
/// given twice. A later start of the same folder holds at least what an
/// earlier one had synced, so a lower figure proves the loss. The leader
/// tells all members its marks, so that a new leader knows them too.
#[derive(Clone, Debug, Default)]
pub struct FolderWatermarks {
    marks: BTreeMap<u64, FolderWatermark>,
}

impl FolderWatermarks {
    /// Takes what a folder shows now; gives the mark that it falls short of.
    pub fn observe(
        &mut self,
        folder: u64,
        shown: FolderWatermark,
    ) -> Option<FolderWatermark> {
        let Some(mark) = self.marks.get_mut(&folder) else {
            let synced = 0;
            self.marks
                .insert(folder, FolderWatermark { synced, ..shown });
            return None;
        };
        if shown.start == mark.start {
            mark.term = mark.term.max(shown.term);
            return None;
        }
        let older = shown.start.count <= mark.start.count;
        if older || shown.synced < mark.synced || shown.term < mark.term {
            return Some(*mark);
        }
        mark.start = shown.start;
        mark.term = shown.term;
        None
    }

    /// Notes that a folder acknowledged a committed index.
    pub fn record_acknowledged(&mut self, folder: u64, index: u64) {
        if let Some(mark) = self.marks.get_mut(&folder) {
            mark.synced = mark.synced.max(index);
        }
    }

    /// Marks to tell others.
    pub fn marks(&self) -> &BTreeMap<u64, FolderWatermark> {
        &self.marks
    }

    /// Takes the marks that another member told.
    pub fn merge(&mut self, marks: &BTreeMap<u64, FolderWatermark>) {
        for (folder, received) in marks {
            let mark = self.marks.entry(*folder).or_insert(*received);
            if received.start.count > mark.start.count {
                mark.start = received.start;
            }
            mark.synced = mark.synced.max(received.synced);
            mark.term = mark.term.max(received.term);
        }
    }
}

impl FolderWatermark {
    /// True where this mark of the own folder proves that the folder, at
    /// `start`, has lost what it once held.
    pub fn proves_loss(&self, start: ProcessStart, synced: u64, term: u64) -> bool {
        if self.start == start {
            return false;
        }
        let later = self.start.count >= start.count;
        later || self.synced > synced || self.term > term
    }
}
