//! Consensus among the voting control instances on one log of changes.
//!
//! A Raft-style replicated log with terms, pre-vote, a leader lease,
//! snapshots and single-member membership changes. [`AgreementMember`] runs
//! the consensus protocol of one member; [`StateReplica`] applies committed
//! entries to the replicated state. Both are free of I/O: the caller passes
//! in the time and the incoming events, and executes the returned actions.
//! Entries that are too large to be held in memory are read through the caller's
//! [`EntryArchive`].

pub use self::contact_book::PeerContact;
pub use self::entry_archive::EntryArchive;
pub use self::entry_archive::FolderArchive;
pub use self::folder_watermarks::FolderWatermark;
pub use self::folder_watermarks::ProcessStart;
pub use self::log_entry::EntryBody;
pub use self::log_entry::LogEntry;
pub use self::member::AgreementMember;
pub use self::member::LeaderStatus;
pub use self::member_list::MemberList;
pub use self::member_list::MemberRecord;
pub use self::member_list::MemberRole;
pub use self::member_message::MemberMessage;
pub use self::member_message::MessageBody;
pub use self::membership::MemberAnswer;
pub use self::membership::MemberChange;
pub use self::membership::MemberLine;
pub use self::membership::MemberRefusal;
pub use self::replica_log::LogSize;
pub use self::replica_log::HELD_BYTES_MAX;
pub use self::saved_state::HardState;
pub use self::saved_state::MemberIdentity;
pub use self::saved_state::ReopenedFolder;
pub use self::saved_state::ReplicaSnapshot;
pub use self::saved_state::SavedState;
pub use self::saved_state::SnapshotWrite;
pub use self::saved_state::StoredEntry;
pub use self::saved_state::WriteBatch;
pub use self::state_replica::ChangeAnswer;
pub use self::state_replica::ReplicaAction;
pub use self::state_replica::ReplicaEvent;
pub use self::state_replica::StateReplica;
pub use self::voter_plan::PlanNote;
pub use self::voter_plan::PlanVerdict;

pub mod timing;

mod bootstrap;
mod contact_book;
mod election;
mod entry_archive;
mod folder_watermarks;
mod follower;
mod leadership;
mod log_entry;
mod member;
mod member_list;
mod member_message;
mod member_outbox;
mod member_writes;
mod membership;
mod output_queue;
mod replica_log;
mod saved_state;
mod state_replica;
mod sync_timer;
mod voter_plan;
