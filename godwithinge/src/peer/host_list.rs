//! Distribution of the platform's host list between daemons while the platform is unreachable.

use super::{Event, frame::Frame, hub::State};
use policy::host::Host;
use std::sync::Arc;

/// Host list of the platform at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostList {
    /// Version assigned by the platform.
    pub version: u64,
    /// Listed targets with the hosts on which they run.
    pub hosts: Vec<Host>,
}

impl State {
    /// Stores a list read from the platform, which replaces the stored one whatever its version.
    pub fn set_host_list(&mut self, list: Arc<HostList>) {
        self.host_list = Some(list);
    }

    /// Requests a list newer than the stored one over all links.
    pub fn request_host_list(&mut self) {
        let request = Frame::WantHostList(self.host_list_version());
        self.links.retain(|_, link| link.send(&request));
    }

    /// Returns the stored list as a frame if it is newer than `version`.
    pub fn newer_host_list(&self, version: Option<u64>) -> Option<Frame> {
        let list = self.host_list.as_ref()?;
        (Some(list.version) > version).then(|| Frame::HostList(Arc::clone(list)))
    }

    /// Stores the list of a peer and reports it if it is newer than the stored one.
    pub fn merge_host_list(&mut self, list: Arc<HostList>) {
        if Some(list.version) > self.host_list_version() {
            self.host_list = Some(Arc::clone(&list));
            self.emit(Event::HostList(list));
        }
    }

    fn host_list_version(&self) -> Option<u64> {
        self.host_list.as_ref().map(|list| list.version)
    }
}
