//! Connections to peers, and calls over them.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use metrics::counter;
use prost::Message;
use thiserror::Error;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use dogwoodpier_proto::peer_client::PeerClient;

use crate::counters;

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to a peer has no answer. The call may have taken effect nevertheless.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address of the peer can't be used.
    #[error("peer address {address} is not valid: {source}")]
    Address {
        /// The address.
        address: String,
        /// The cause.
        source: tonic::transport::Error,
    },
    /// The peer or the connection to it failed.
    #[error("call {call} to peer {address} failed: {status}")]
    Failed {
        /// Name of the call.
        call: &'static str,
        /// Address of the peer.
        address: String,
        /// The cause.
        status: Box<Status>,
    },
    /// The peer didn't answer in time.
    #[error("call {call} to peer {address} was not answered within {timeout_ms} ms")]
    Timeout {
        /// Name of the call.
        call: &'static str,
        /// Address of the peer.
        address: String,
        /// Timeout of the call.
        timeout_ms: u64,
    },
}

/// Connections to peers by address.
pub struct Transport {
    timeout_ms: u64,
    clients: Mutex<HashMap<String, PeerClient<Channel>>>,
}

impl Transport {
    /// Returns a transport without connections. Each call times out after `timeout_ms`.
    pub fn new(timeout_ms: u64) -> Self {
        Self {
            timeout_ms,
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Calls a peer. `send` makes the call with the given client and request.
    ///
    /// A failed call drops the connection, since it may be dead while a new one would work.
    pub async fn call<Q, A, S, F>(
        &self,
        name: &'static str,
        address: &str,
        request: Q,
        send: S,
    ) -> Result<A, PeerError>
    where
        Q: Message,
        A: Message,
        S: FnOnce(PeerClient<Channel>, Q) -> F,
        F: Future<Output = Result<Response<A>, Status>>,
    {
        let client = self.client(address)?;
        count_bytes(counters::PEER_SENT_BYTES_TOTAL, name, request.encoded_len());
        let limit = Duration::from_millis(self.timeout_ms);
        let result = match tokio::time::timeout(limit, send(client, request)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(PeerError::Failed {
                call: name,
                address: address.to_owned(),
                status: Box::new(status),
            }),
            Err(_) => Err(PeerError::Timeout {
                call: name,
                address: address.to_owned(),
                timeout_ms: self.timeout_ms,
            }),
        };
        match &result {
            Ok(reply) => {
                count_bytes(
                    counters::PEER_RECEIVED_BYTES_TOTAL,
                    name,
                    reply.encoded_len(),
                );
            }
            Err(_) => self.drop_client(address),
        }
        let outcome = if result.is_ok() { "ok" } else { "error" };
        counter!(counters::PEER_CALLS_TOTAL, "call" => name, "result" => outcome).increment(1);
        result
    }

    fn client(&self, address: &str) -> Result<PeerClient<Channel>, PeerError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|source| PeerError::Address {
                address: address.to_owned(),
                source,
            })?
            .connect_timeout(Duration::from_millis(self.timeout_ms))
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .keep_alive_while_idle(true);
        let client = PeerClient::new(endpoint.connect_lazy());
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    fn drop_client(&self, address: &str) {
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(address);
    }
}

fn count_bytes(metric: &'static str, call: &'static str, bytes: usize) {
    counter!(metric, "call" => call).increment(bytes as u64);
}
