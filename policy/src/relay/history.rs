//! Order of writes to the platform's store across its returns from older copies.
//!
//! After an outage, the store may come back from a copy that is some seconds old. Writes since that
//! copy are lost, and their version numbers are assigned again. Each return begins a new era.
//! Within an era, version numbers order writes. Across eras they don't, so the counters of the
//! writers decide: the revision of a configuration, or the start and sequence number of a target.

/// Number of returns of the store from an older copy.
pub type Era = u64;

/// Position of a write in the store's history.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Era of the store; 0 if the store does not state it.
    pub era: Era,
    /// Version number, unique within the era.
    pub number: u64,
}

/// Identifies one edition of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Edition {
    /// Version of the configuration's row.
    pub version: Version,
    /// Revision that the operator assigned, which increases with each change.
    pub revision: u64,
}

impl Edition {
    /// Returns whether this edition replaces `current`. A copy that the store came back from may
    /// hold an edition older than `current` in a later era.
    pub fn supersedes(&self, current: &Self) -> bool {
        if self.version.era == current.version.era {
            self.version.number > current.version.number
        } else {
            self.revision > current.revision
        }
    }
}
