//! Detection of data folders that were rolled back to an older copy.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Identifies one start of a process on a data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// How often the folder has been opened; stored in the folder itself.
    pub count: u64,
    /// Random number of this start.
    pub nonce: u64,
}

/// The minimum that a data folder must still hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderWatermark {
    /// Latest process start seen on the folder.
    pub start: ProcessStart,
    /// Highest committed index that the folder acknowledged as synced; no later
    /// leader can have cut it off.
    pub synced: u64,
    /// Highest term in which the folder's member took part.
    pub term: u64,
}

/// Watermarks by data folder, kept in memory.
///
/// Guards against a folder that was restored from an old copy. Entries that
/// counted as held by a majority no longer are, or its member votes twice in
/// one term. A later start of the same folder holds at least what an earlier
/// one had synced, so a start whose log or term is below the watermark proves
/// the loss. The leader sends its watermarks to all members, so that a new
/// leader knows them too.
#[derive(Clone, Debug, Default)]
pub struct FolderWatermarks {
    marks: BTreeMap<u64, FolderWatermark>,
}

impl FolderWatermarks {
    /// Records what a folder reports now. Returns the watermark if the report is
    /// below it.
    pub fn observe(
        &mut self,
        folder: u64,
        reported: FolderWatermark,
    ) -> Option<FolderWatermark> {
        let Some(mark) = self.marks.get_mut(&folder) else {
            let synced = 0;
            self.marks
                .insert(folder, FolderWatermark { synced, ..reported });
            return None;
        };
        if reported.start == mark.start {
            mark.term = mark.term.max(reported.term);
            return None;
        }
        let older = reported.start.count <= mark.start.count;
        if older || reported.synced < mark.synced || reported.term < mark.term {
            return Some(*mark);
        }
        mark.start = reported.start;
        mark.term = reported.term;
        None
    }

    /// Records that a folder acknowledged a committed index.
    pub fn record_acknowledged(&mut self, folder: u64, index: u64) {
        if let Some(mark) = self.marks.get_mut(&folder) {
            mark.synced = mark.synced.max(index);
        }
    }

    /// All watermarks, to be sent to other members.
    pub fn marks(&self) -> &BTreeMap<u64, FolderWatermark> {
        &self.marks
    }

    /// Raises the watermarks to those received from another member.
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
    /// True if this watermark proves that the folder has lost acknowledged state.
    /// `start`, `synced` and `term` are the folder's present ones.
    pub fn proves_loss(&self, start: ProcessStart, synced: u64, term: u64) -> bool {
        if self.start == start {
            return false;
        }
        let later = self.start.count >= start.count;
        later || self.synced > synced || self.term > term
    }
}
