//! The platform's host list, passed on between daemons while the platform can't be asked.

use super::{Event, frame::Frame, hub::State};
use policy::host::Host;
use std::sync::Arc;

/// The platform's host list at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostList {
    /// Version that the platform gave the list.
    pub version: u64,
    /// Targets on the list.
    pub hosts: Vec<Host>,
}

impl State {
    /// Keeps the list that the platform gave.
    pub fn set_host_list(&mut self, list: Arc<HostList>) {
        self.host_list = Some(list);
    }

    /// Asks the peers for a newer list than the one that is held.
    pub fn request_host_list(&mut self) {
        let request = Frame::WantHostList(self.host_list_version());
        self.links.retain(|_, link| link.send(&request));
    }

    /// Returns the held list if it is newer than `version`.
    pub fn newer_host_list(&self, version: Option<u64>) -> Option<Frame> {
        let list = self.host_list.as_ref()?;
        (Some(list.version) > version).then(|| Frame::HostList(Arc::clone(list)))
    }

    /// Takes in the list of a peer if it is newer than the one that is held.
    pub fn merge_host_list(&mut self, list: Arc<HostList>) {
        if Some(list.version) > self.host_list_version() {
            self.host_list = Some(Arc::clone(&list));
            self.emit(Event::Hosts(list));
        }
    }

    fn host_list_version(&self) -> Option<u64> {
        self.host_list.as_ref().map(|list| list.version)
    }
}
