//! Transfer of the configuration between daemons.

use super::{
    dialect::Row,
    frame::{Frame, WireRow},
    state::Relay,
};
use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use policy::{
    id::HostId,
    relay::distribution::{self, Fetcher},
};
use std::{
    cell::RefCell,
    collections::HashSet,
    io::{self, Read, Write},
    rc::Rc,
};

/// Maximum size of a decompressed configuration in bytes; the store limits it to less.
const MAX_PLAN_BYTES: u64 = 8 << 20;

/// State of the transfers of the configuration to and from peers.
#[derive(Debug)]
pub(super) struct Replication {
    pub fetcher: RefCell<Fetcher>,
    /// Compressed value of the configuration in force; absent until it is requested.
    packed: RefCell<Option<Bytes>>,
    uploads: Uploads,
}

/// Peers to which the configuration is being sent.
type Uploads = Rc<RefCell<HashSet<HostId>>>;

/// Marks a transfer to a peer as in progress until dropped.
#[derive(Debug)]
pub(super) struct UploadGuard {
    uploads: Uploads,
    host: HostId,
}

impl Replication {
    pub fn new(own_host: HostId) -> Self {
        Self {
            fetcher: RefCell::new(Fetcher::new(own_host)),
            packed: RefCell::default(),
            uploads: Rc::default(),
        }
    }

    /// Discards the compressed copy of an earlier configuration.
    pub fn clear_packed(&self) {
        *self.packed.borrow_mut() = None;
    }

    /// Marks a transfer as in progress; `None` if there are `max` already.
    fn begin_upload(&self, host: &HostId, max: usize) -> Option<UploadGuard> {
        let mut uploads = self.uploads.borrow_mut();
        (uploads.len() < max).then(|| {
            uploads.insert(host.clone());
            UploadGuard {
                uploads: Rc::clone(&self.uploads),
                host: host.clone(),
            }
        })
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.uploads.borrow_mut().remove(&self.host);
    }
}

impl Relay {
    /// Requests a newer configuration from a peer, if one has announced it and no request is
    /// pending.
    pub(super) fn request_plan(&self) {
        let current = self.plan_edition();
        let mut fetcher = self.replication.fetcher.borrow_mut();
        let is_receiving = |host: &HostId| self.links.is_receiving(host);
        if let Some(host) = fetcher.next_request(self.now(), current.as_ref(), is_receiving) {
            tracing::info!(%host, "configuration requested");
            if !self.links.send_to_host(&host, Frame::RequestPlan) {
                fetcher.end_request(self.now(), &host);
            }
        }
    }

    /// Starts a transfer of the configuration to a peer, or declines if the own network link is
    /// occupied by others. A repeated request is ignored while a transfer is in progress.
    pub(super) fn serve_plan(&self, host: &HostId) {
        if self.replication.uploads.borrow().contains(host) {
            return;
        }
        let link_rate = self.settings().link_bytes_per_second;
        let max_uploads = distribution::max_uploads(link_rate);
        let upload = self.replication.begin_upload(host, max_uploads);
        self.links.send_plan(host, upload);
    }

    /// Returns the frame with the configuration in force, compressed if a daemon that speaks
    /// `protocol` can decode that; `None` if there is no configuration.
    pub(super) fn plan_frame(&self, protocol: u32) -> Option<Frame> {
        let row = self.plan_row()?;
        if protocol == 0 {
            return Some(Frame::Plan(row.into()));
        }
        let mut packed = self.replication.packed.borrow_mut();
        let value = match &*packed {
            Some(value) => value.clone(),
            None => packed.insert(compress(row.value.as_ref()?)).clone(),
        };
        let row = Row {
            value: Some(value),
            ..row
        };
        Some(Frame::PackedPlan(row.into()))
    }

    /// Applies a configuration that a peer has sent.
    pub(super) fn receive_plan(self: &Rc<Self>, host: &HostId, row: WireRow) {
        self.apply_plan(row.into());
        self.end_plan_request(host);
    }

    /// Like [`receive_plan`](Self::receive_plan), but with a compressed value.
    pub(super) fn receive_packed_plan(self: &Rc<Self>, host: &HostId, row: WireRow) {
        let mut row = Row::from(row);
        let value = row.value.as_deref().map(decompress).transpose();
        match value {
            Ok(value) => {
                row.value = value;
                self.receive_plan(host, row.into());
            }
            Err(fault) => {
                tracing::warn!(%host, %fault, "configuration of a peer left out");
                self.end_plan_request(host);
            }
        }
    }

    /// Ends the request to a peer, and looks for another source of a newer configuration.
    pub(super) fn end_plan_request(&self, host: &HostId) {
        let now = self.now();
        self.replication.fetcher.borrow_mut().end_request(now, host);
        self.request_plan();
    }
}

fn compress(value: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(value);
    let packed = written.and_then(|()| encoder.finish());
    packed.expect("writing to a vector succeeds").into()
}

/// # Errors
///
/// Fails if the value is malformed or too large.
fn decompress(packed: &[u8]) -> io::Result<Bytes> {
    let mut value = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_PLAN_BYTES + 1);
    decoder.read_to_end(&mut value)?;
    if value.len() as u64 > MAX_PLAN_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(value.into())
}
