//! Identifies what a request asks for, so that attempts of the same caller with different request
//! IDs are recognised as the same content on all VMs.

use std::net::IpAddr;

use bincode::{Decode, Encode};
use http::{Method, Uri};
use xxhash_rust::xxh3::Xxh3;

/// Content of a request and the caller that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Encode, Decode)]
pub struct Content {
    /// Hash of host, method, path, query and body.
    pub fingerprint: u64,
    /// Address of the caller.
    pub caller: IpAddr,
}

impl Content {
    /// Identifies the content of a request.
    ///
    /// Headers are left out: they include the request ID and the deadline, which differ between
    /// attempts, and may include others that do, such as signatures and trace IDs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::Content;
    /// use http::{Method, Uri};
    /// let caller = [127, 0, 0, 1].into();
    /// let uri = Uri::from_static("/orders/7");
    /// let first = Content::new("desk.example", &Method::POST, &uri, b"one", caller);
    /// let second = Content::new("desk.example", &Method::POST, &uri, b"two", caller);
    /// assert_ne!(first.fingerprint, second.fingerprint);
    /// ```
    pub fn new(host: &str, method: &Method, uri: &Uri, body: &[u8], caller: IpAddr) -> Self {
        let target = uri.path_and_query().map_or("", |target| target.as_str());
        let mut hasher = Xxh3::new();
        for part in [
            host.as_bytes(),
            method.as_str().as_bytes(),
            target.as_bytes(),
            body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self {
            fingerprint: hasher.digest(),
            caller,
        }
    }
}
